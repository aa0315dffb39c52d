package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hickorybend/platform/fakes"
)

// The bounds of the deployments' pages.
const (
	contactTime = 3 * time.Second
	grace       = 8 * time.Second
	memoryMB    = 284
	modelSlots  = 17
	plainSlots  = 6
)

// config returns a configuration with the figures of a deployment's sheet. resumable says
// whether its streams may be resumed.
func config(version int, resumable bool) []byte {
	type dict = map[string]any
	route := func(name, prefix, kind, service string, timeout, target, attempts int) dict {
		return dict{
			"name": name, "hostname": fakes.Hostname, "prefix": prefix, "type": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": 1, "service": service, "max_attempts": attempts, "allow_anonymous": false,
		}
	}
	stream := route("quote-draft", "/draft/", "streaming", fakes.ServiceModels, 8000, 400, 2)
	stream["resumable"], stream["session_affinity"], stream["gap_aim_ms"] = resumable, true, 300
	value, err := json.Marshal(dict{
		"version": version,
		"routes": []dict{
			stream, route("order-confirm", "/confirm/", "unsafe", fakes.ServicePlain, 3000, 300, 1), route("order-lookup", "/lookup/", "safe", fakes.ServicePlain, 3000, 300, 2),
		},
		"services": []dict{
			{"name": fakes.ServiceModels, "health_path": "/health", "max_connections": 368, "engine": dict{
				"slots": modelSlots, "step_ms": 7.8, "per_seq_ms": 0.0947, "read_per_s": 45900, "loads_per_s": 5, "loads_at_once": 7,
				"models": []dict{
					{"name": fakes.ModelLarge, "size": 4, "share": 0.5, "pace": 1, "load_s": 16, "warm_s": 1.6},
					{"name": fakes.ModelSmall, "size": 2, "share": 0.5, "pace": 0.6, "load_s": 12, "warm_s": 1.1},
				},
			}},
			{"name": fakes.ServicePlain, "health_path": "/health", "max_connections": 110},
		},
		"limits":  dict{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []dict{{"name": "fitters", "api_keys": []string{"key-1"}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return value
}

// cluster is a small deployment: a store, runners, and nodes as processes of their own.
type cluster struct {
	dir       string
	record    *record
	store     *fakes.Store
	nodes     []*node
	network   string // of the nodes: the first three numbers of their addresses
	peersPort int
	runners   []*runner
	mutex     sync.Mutex
	rows      map[string]string                    // last row of each runner, without its sequence number
	address   map[string]string                    // that a runner's row states in place of its own
	began     func(execution fakes.Execution)      // a runner begins to run a request
	present   func(heartbeat fakes.Heartbeat) bool // all members of the runner's replica are there
	phases    map[string]fakes.Heartbeat           // latest state of each runner
}

// runner is a stand-in runner of the project with the service that it belongs to.
type runner struct {
	*fakes.Runner
	service string
}

// node is one process of the system.
type node struct {
	name     string
	zone     string
	ip       string
	settings string
	command  *exec.Cmd
	done     chan struct{}
	mutex    sync.Mutex
	starts   int
}

func newCluster(record *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	cluster := &cluster{
		dir: dir, record: record, store: fakes.NewStore(), rows: map[string]string{}, address: map[string]string{}, phases: map[string]fakes.Heartbeat{},
		began: func(fakes.Execution) {},
	}
	return cluster, nil
}

// Heartbeat implements fakes.Fabric: it writes the runner's row if it has changed.
func (cluster *cluster) Heartbeat(heartbeat fakes.Heartbeat) bool {
	fields := map[string]any{}
	if json.Unmarshal(heartbeat.Row, &fields) != nil {
		return true
	}
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.phases[heartbeat.ID] = heartbeat
	if address := cluster.address[heartbeat.ID]; address != "" {
		fields["address"] = address
	}
	if fields["service"] == fakes.ServiceModels {
		fields["slots"] = modelSlots
	} else {
		fields["slots"] = plainSlots
	}
	row, _ := json.Marshal(fields)
	delete(fields, "sequence")
	compared, _ := json.Marshal(fields)
	if cluster.rows[heartbeat.ID] != string(compared) {
		cluster.rows[heartbeat.ID] = string(compared)
		cluster.store.Put("servers", heartbeat.ID, row)
	}
	if cluster.present != nil {
		return cluster.present(heartbeat)
	}
	return true
}

// BeginExecution implements fakes.Fabric.
func (cluster *cluster) BeginExecution(execution fakes.Execution) bool {
	cluster.began(execution)
	return true
}

// RecordRejection implements fakes.Fabric.
func (cluster *cluster) RecordRejection(fakes.Rejection) {}

func (cluster *cluster) addRunner(service, id, domain string, options ...fakes.Option) *runner {
	options = append([]fakes.Option{fakes.WithFabric(cluster), fakes.WithDelays(fakes.Delays{
		Rejoin: 200 * time.Millisecond, Warm: 300 * time.Millisecond, Load: time.Second, Open: 300 * time.Millisecond, MemberTimeout: 6 * time.Second,
	})}, options...)
	added := &runner{Runner: fakes.NewRunner(cluster.store, service, id, domain, options...), service: service}
	cluster.runners = append(cluster.runners, added)
	return added
}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// addNodes starts nodes in three zones, with the settings that deploy/node.jsonc gives.
func (cluster *cluster) addNodes(count int) error {
	cluster.network = fmt.Sprintf("127.%d.%d", 90+os.Getpid()%100, 1+os.Getpid()/100%250)
	cluster.peersPort = freePort(cluster.network + ".1")
	for index := range count {
		if _, err := cluster.newNode(fmt.Sprintf("edge-%d", index+1), fmt.Sprintf("zone-%c", 'a'+index%3), index+1); err != nil {
			return err
		}
	}
	for _, added := range cluster.nodes {
		if err := added.start(cluster.dir); err != nil {
			return err
		}
	}
	return nil
}

// newNode adds a node, which is not started yet, at an address of its own.
func (cluster *cluster) newNode(name, zone string, host int) (*node, error) {
	var seeds []string
	for index := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", cluster.network, index+1, cluster.peersPort)))
	}
	added := &node{name: name, zone: zone, ip: fmt.Sprintf("%s.%d", cluster.network, host), settings: filepath.Join(cluster.dir, name+".jsonc")}
	text := fmt.Sprintf(`{"node": %q, "zone": %q, "callers-address": "%[3]s:8227", "ready-address": "%[3]s:8220", "peers-address": "%[3]s:%[4]d",
	"peer-key": "hickorybend-nodes", "store-address": %[5]q, "seeds": [%[6]s], "first-start": FIRST, "memory-mb": %[7]d, "processor": 0.4,
	"grace": "8s", "endpoint-heartbeat": "1200ms", "drain-bound": "2000ms", "config-bound": "2000ms", "stall": "6000ms",
	"retry": {"ratio": 0.2, "extra": 103, "window": "10s"}}`, name, zone, added.ip, cluster.peersPort, cluster.store.Address(), strings.Join(seeds, ", "), memoryMB)
	if err := os.WriteFile(added.settings+".template", []byte(text), 0o644); err != nil {
		return nil, err
	}
	cluster.nodes = append(cluster.nodes, added)
	return added, nil
}

// start starts the node's process by the command of the deploy file.
func (node *node) start(dir string) error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	template, err := os.ReadFile(node.settings + ".template")
	if err != nil {
		return err
	}
	first := "true"
	if node.starts > 0 {
		first = "false"
	}
	node.starts++
	if err := os.WriteFile(node.settings, []byte(strings.ReplaceAll(string(template), "FIRST", first)), 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(dir, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command("target/hickorybend", "edge", "--config", node.settings)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		return err
	}
	started.add(command)
	node.command, node.done = command, make(chan struct{})
	done := node.done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

func (node *node) callers() string { return node.ip + ":8227" }

func (node *node) pid() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.command.Process.Pid
}

func (node *node) signal(signal syscall.Signal) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	select {
	case <-node.done:
	default:
		_ = node.command.Process.Signal(signal)
	}
}

// ended returns a channel that is closed when the present process has ended.
func (node *node) ended() chan struct{} {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.done
}

func (node *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + node.ip + ":8220/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitFor waits until a condition holds, and reports whether it does.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// waitReady waits until all nodes are ready and a number of replicas is open.
func (cluster *cluster) waitReady(replicas int) error {
	ok := waitFor(20*time.Second, func() bool {
		for _, node := range cluster.nodes {
			if !node.ready() {
				return false
			}
		}
		return cluster.open() >= replicas
	})
	if !ok {
		return fmt.Errorf("not ready: %d replicas are open", cluster.open())
	}
	time.Sleep(time.Second)
	return nil
}

// open returns the number of open replicas.
func (cluster *cluster) open() int {
	count := 0
	for _, runner := range cluster.runners {
		if runner.IsOpen() {
			count++
		}
	}
	return count
}

// close ends all processes that the cluster has started.
func (cluster *cluster) close() {
	for _, node := range cluster.nodes {
		if node.command != nil {
			node.signal(syscall.SIGKILL)
			<-node.ended()
		}
	}
	for _, runner := range cluster.runners {
		runner.Close()
	}
	cluster.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(cluster.dir)
	} else {
		fmt.Println("kept", cluster.dir)
	}
}
