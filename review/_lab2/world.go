package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hickorybend/platform/fakes"
)

// The figures of a small deployment, as its site file has them.
const (
	memoryMB    = 284
	descriptors = 4100
	contactTime = 3 * time.Second
	stallTime   = 6 * time.Second
	grace       = 8 * time.Second
	storeDelay  = 4 * time.Millisecond // of each answer
	key         = "key-1"
)

// settingsText has the fields of deploy/node.jsonc with the figures of the small deployment.
const settingsText = `{
	"node": %q, "zone": "zone-%s", "region": "region-1", "zones": {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"},
	"callers-address": %q, "ready-address": %q, "peers-address": %q,
	"peer-key": "hickorybend-nodes", "store-address": %q, "seeds": [], "first-start": %t,
	"start-spread": "1.2s", "memory-mb": %d, "processor": 0.4, "grace": "8s", "endpoint-heartbeat": "1200ms",
	"drain-bound": "2000ms", "config-bound": "2000ms", "assignment": true, "reject-late": false, "stall": "6000ms",
	"retry": {"ratio": 0.2, "extra": 107, "window": "10s"},
}
`

// outcome is how a case has ended.
type outcome int

// The outcomes are the exit codes of the scripts.
const (
	outcomeHeld   outcome = 0
	outcomeBroken outcome = 1
	outcomeUnrun  outcome = 2
)

// world is the deployment under test: the store and the runners in this process, the nodes in processes of their own.
type world struct {
	directory string
	started   time.Time

	nodesStarted time.Time // when the first node was
	trouble      bool
	store        *fakes.Store
	nodes        []*node
	mutex        sync.Mutex
	record       *os.File
}

// node is a node's process.
type node struct {
	name                  string
	callers, ready, peers string
	command               *exec.Cmd
	exited                chan struct{}
}

func newWorld() (*world, error) {
	directory, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	store := fakes.NewStore()
	store.SetDelay(storeDelay)
	return &world{directory: directory, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: store, record: record}, nil
}

// log writes a line with the time since the start to the record.
func (world *world) log(format string, arguments ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(world.started).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(world.record, line)
}

// close ends all processes that this program has started.
func (world *world) close() {
	for _, node := range world.nodes {
		node.kill()
	}
	if os.Getenv("KEEP") == "" { // KEEP=1 leaves the nodes' settings and logs in the temporary directory
		_ = os.RemoveAll(world.directory)
	}
	_ = world.record.Close()
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startNode starts a node by the command of the deploy file, with the descriptors of its machine.
func (world *world) startNode(name string, firstStart bool) (*node, error) {
	started := &node{name: name, exited: make(chan struct{})}
	for _, address := range []*string{&started.callers, &started.ready, &started.peers} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return started, world.run(started, firstStart)
}

// restart stops a node as the platform does, and starts it again at its addresses once it has ended.
func (world *world) restart(stopped *node) error {
	if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	go func() {
		select {
		case <-stopped.exited:
		case <-time.After(grace):
			stopped.kill()
		}
		again := &node{name: stopped.name, callers: stopped.callers, ready: stopped.ready, peers: stopped.peers, exited: make(chan struct{})}
		if err := world.run(again, false); err != nil {
			world.log("%s could not be started again: %v", again.name, err)
		}
	}()
	return nil
}

// zoneOf returns the zone of a node: node-1 is in zone-a, node-2 in zone-b, and so on.
func zoneOf(name string) string { return string(rune('a' + (name[len(name)-1]-'1')%3)) }

// listNodes returns the processes that run.
func (world *world) listNodes() []*node {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var running []*node
	for _, node := range world.nodes {
		if node.alive() {
			running = append(running, node)
		}
	}
	return running
}

// run starts a node's process.
func (world *world) run(started *node, firstStart bool) error {
	name := started.name
	settings := filepath.Join(world.directory, name+".jsonc")
	text := fmt.Sprintf(settingsText, name, zoneOf(name), started.callers, started.ready, started.peers, world.store.Address(), firstStart, memoryMB)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(world.directory, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	started.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), "target/hickorybend", "edge", "--config", settings)
	started.command.Stdout, started.command.Stderr = output, output
	if err := started.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = started.command.Wait()
		close(started.exited)
	}()
	world.mutex.Lock()
	world.nodes = append(world.nodes, started)
	if world.nodesStarted.IsZero() {
		world.nodesStarted = time.Now()
	}
	world.mutex.Unlock()
	world.log("%s started, process %d", name, started.command.Process.Pid)
	return nil
}

func (node *node) alive() bool {
	select {
	case <-node.exited:
		return false
	default:
		return true
	}
}

func (node *node) kill() {
	if node.alive() {
		_ = node.command.Process.Signal(syscall.SIGKILL)
		<-node.exited
	}
}

// isReady asks the node's readiness address as the platform does.
func (node *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + node.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes say that they are ready.
func (world *world) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, node := range world.nodes {
			if node.isReady() {
				ready++
			}
		}
		if ready == len(world.nodes) {
			world.log("all %d nodes say that they are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready")
}

// memory returns a figure of the process's status file in MB.
func (node *node) memory(field string) float64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", node.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if fields := strings.Fields(scanner.Text()); len(fields) > 1 && fields[0] == field+":" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
