package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/platform/fakes"
)

// Config describes one run of the soak.
type Config struct {
	Seed     uint64
	Bin      string // directory of the programs
	OtherBin string // directory of another build of the node's program, which nodes run at half of their starts; empty for none
	Dir      string // directory for settings and logs
	Scale    Scale
}

// nodeProgram returns the program that a node runs at a start, counted from 0. It does not draw from the
// streams of the faults, which stay as they are.
func (config Config) nodeProgram(node, start int) string {
	directory := config.Bin
	if config.OtherBin != "" && rand.New(rand.NewPCG(config.Seed, uint64(node)<<32|uint64(start))).IntN(2) == 0 {
		directory = config.OtherBin
	}
	return filepath.Join(directory, "hickorybend")
}

const (
	streamEvents  = 10
	eventInterval = 30 * time.Millisecond   // between two events of a stream
	shutdownGrace = 4 * time.Second         // for a node to exit after SIGTERM
	rowTTL        = 3600 * time.Millisecond // after which the row of a runner without heartbeats is deleted
	crashPart     = "bad7"                  // part of a prompt on which runners crash
	crashDowntime = time.Second             // until they have started again
	portCallers   = 7001
	portReady     = 7002
	portPeers     = 7003
	domainSize    = 6 // runners: a replica of three, one of two, and a spare
)

// cluster is the deployment under test: the store, nodes and runners, with proxies
// in front of each.
type cluster struct {
	config   Config
	network  string // first three octets of the nodes' addresses; derived from the seed, so that several seeds can run at once
	store    *fakes.Store
	fabric   *httptest.Server
	timeline *timeline
	checker  *checker
	nodes    []*node
	slots    []*slot
	mutex    sync.Mutex
	rows     map[string]storedRow // by the runner's name
	outage   bool                 // of the store: no rows are written or deleted
	deployed fakes.Deployment     // the operators' configuration
	closed   chan struct{}
}

// node is a node of the cluster. Its process may be killed and started again.
type node struct {
	index        int
	process      *process
	storeProxy   *Proxy
	callerProxy  *Proxy
	settingsFile string
	mutex        sync.Mutex
	incarnation  int          // counts the starts
	failedChecks atomic.Int64 // consecutive failed readiness checks
	cuts         atomic.Int64 // that keep it from the runners
	table        connectionTable
}

// slot holds one runner at a time. Its proxy stays when another runner replaces that
// runner.
type slot struct {
	index       int
	service     string
	domain      string
	proxy       *Proxy
	mutex       sync.Mutex
	name        string
	incarnation int // counts the starts
	process     *process
	unlisted    bool // the runner's row is not written to the store
}

// storedRow is the last row of a runner that reached the store.
type storedRow struct {
	row         []byte // without the sequence number
	heartbeatAt time.Time
}

// newCluster starts a cluster. If that fails, it also returns the cluster, for the
// caller to close what was started.
func newCluster(config Config) (*cluster, error) {
	timeline := newTimeline()
	cluster := &cluster{
		config: config, network: networkOf(config.Seed), store: fakes.NewStore(), timeline: timeline,
		checker: newChecker(timeline, streamEvents), rows: map[string]storedRow{}, closed: make(chan struct{}),
		deployed: fakes.Deployment{Version: 1, Keys: []string{firstKey}, LargeReplicaSize: 3, SmallReplicaSize: 2},
	}
	cluster.fabric = httptest.NewServer(fakes.FabricHandler(cluster))
	cluster.store.Put("op", "config", cluster.deployed.Config())
	for index := range config.Scale.ModelRunners + config.Scale.PlainRunners {
		if err := cluster.addSlot(index); err != nil {
			return cluster, err
		}
	}
	for index := range config.Scale.Nodes {
		if err := cluster.addNode(index); err != nil {
			return cluster, err
		}
	}
	go cluster.expireRows()
	go timeline.watchMachine(cluster.closed)
	return cluster, cluster.start()
}

// start starts all runners and nodes.
func (cluster *cluster) start() error {
	for _, slot := range cluster.slots {
		if err := cluster.startRunner(slot, true); err != nil {
			return err
		}
	}
	for _, node := range cluster.nodes {
		if err := cluster.startNode(node); err != nil {
			return err
		}
	}
	return nil
}

const firstKey = "key-1"

func (cluster *cluster) addSlot(index int) error {
	proxy, err := NewProxy("127.0.0.1:0", "127.0.0.1:1") // the first heartbeat sets the target
	if err != nil {
		return errors.Wrap(err, "soak: starting the proxy of a runner")
	}
	proxy.SetCut(cluster.isCut)
	slot := &slot{index: index, service: fakes.ServicePlain, proxy: proxy}
	if index < cluster.config.Scale.ModelRunners {
		slot.service, slot.domain = fakes.ServiceModels, fmt.Sprintf("domain-%d", index/domainSize)
	}
	cluster.slots = append(cluster.slots, slot)
	return nil
}

// startRunner starts the next incarnation of a runner, under the same name or a
// new one.
func (cluster *cluster) startRunner(slot *slot, renamed bool) error {
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	slot.incarnation++
	if renamed {
		slot.name = fmt.Sprintf("%s-%d-%d", slot.service, slot.index, slot.incarnation)
	}
	started, err := startProcess(filepath.Join(cluster.config.Dir, slot.name+".log"), filepath.Join(cluster.config.Bin, "standin"), "runner",
		"--id", slot.name, "--service", slot.service, "--domain", slot.domain, "--fabric", cluster.fabric.Listener.Addr().String(),
		"--events", fmt.Sprint(streamEvents), "--pause", eventInterval.String(), "--stall", stallTimeout.String(),
		"--crash-part", crashPart, "--crash-downtime", crashDowntime.String())
	slot.process = started
	return err
}

const settingsTemplate = `{
	"node": "node-%d", "zone": "zone-a", "callers-address": "%s", "ready-address": "%s", "peers-address": "%s",
	"peer-key": "soak", "store-address": "%s", "seeds": [%s], "first-start": %t, "grace": "%s", "notice": "1s", "stall": "%s",
	"config-bound": "%s", "drain-bound": "%s", "endpoint-heartbeat": "%s",
	"retry": {"ratio": %g, "extra": %g, "window": "%s"},
	%s
}
`

func (cluster *cluster) addNode(index int) error {
	storeProxy, err := NewProxy("127.0.0.1:0", cluster.store.Address())
	if err != nil {
		return errors.Wrap(err, "soak: starting the store proxy of a node")
	}
	callerProxy, err := NewProxy("127.0.0.1:0", cluster.nodeAddress(index, portCallers))
	if err != nil {
		return errors.Wrap(err, "soak: starting the caller proxy of a node")
	}
	node := &node{index: index, storeProxy: storeProxy, callerProxy: callerProxy, settingsFile: filepath.Join(cluster.config.Dir, fmt.Sprintf("node-%d.jsonc", index+1))}
	cluster.nodes = append(cluster.nodes, node)
	return nil
}

func (cluster *cluster) nodeAddress(index, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", cluster.network, index+1), fmt.Sprint(port))
}

func (cluster *cluster) startNode(node *node) error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	var seeds []string
	for index := range cluster.config.Scale.Nodes {
		seeds = append(seeds, `"`+cluster.nodeAddress(index, portPeers)+`"`)
	}
	program, added := cluster.config.nodeProgram(node.index, node.incarnation), ""
	if cluster.config.OtherBin == "" {
		added = fmt.Sprintf(`"evacuation-bound": "%s"`, evacuationBound) // other builds may not have it
	}
	text := fmt.Sprintf(settingsTemplate, node.index+1, cluster.nodeAddress(node.index, portCallers), cluster.nodeAddress(node.index, portReady), cluster.nodeAddress(node.index, portPeers),
		node.storeProxy.Address(), strings.Join(seeds, ", "), node.incarnation == 0, shutdownGrace, stallTimeout, configBound, drainBound, rowTTL/3, budgetRatio, budgetExtra, budgetWindow, added)
	if err := os.WriteFile(node.settingsFile, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "soak: writing the settings of a node")
	}
	node.incarnation++
	started, err := startProcess(strings.TrimSuffix(node.settingsFile, ".jsonc")+".log", program, "edge", "--config", node.settingsFile)
	if err != nil {
		return err
	}
	node.process = started
	go cluster.watchNode(node.index, started)
	return nil
}

// watchNode reports a node that exits without being stopped.
func (cluster *cluster) watchNode(index int, process *process) {
	<-process.done
	if !process.isStopping() {
		cluster.checker.report(InvariantProcessAlive, "node %d exited unexpectedly: %s", index+1, process.command.ProcessState)
	}
}

// current returns the node's incarnation and its process.
func (node *node) current() (int, *process) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.incarnation, node.process
}

// current returns the name of the slot's runner and its process.
func (slot *slot) current() (string, *process) {
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	return slot.name, slot.process
}

func (cluster *cluster) nodeReady(index int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + cluster.nodeAddress(index, portReady) + "/")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// BeginExecution implements fakes.Fabric.
func (cluster *cluster) BeginExecution(execution fakes.Execution) bool {
	if slot := cluster.slotOf(execution.Runner); slot != nil && cluster.config.OtherBin == "" { // other builds may not know of evacuations
		cluster.checker.checkEvacuation(execution, zoneOf(slot))
	}
	return cluster.checker.BeginExecution(execution)
}

// RecordRejection implements fakes.Fabric.
func (cluster *cluster) RecordRejection(rejection fakes.Rejection) {
	cluster.checker.RecordRejection(rejection)
}

// networkOf returns the first three bytes of the loopback addresses of a seed's nodes. Seeds below 40,000 have one
// each; of the others, those that differ by multiples of it have different ones, as they may run at once.
func networkOf(seed uint64) string {
	return fmt.Sprintf("127.%d.%d", 20+(seed/200+7*(seed/40000))%200, 1+seed%200)
}

// Heartbeat implements fakes.Fabric. It writes the runner's row to the store if it
// has changed, with the address of the runner's proxy.
func (cluster *cluster) Heartbeat(heartbeat fakes.Heartbeat) bool {
	complete := cluster.checker.Heartbeat(heartbeat)
	slot := cluster.slotOf(heartbeat.ID)
	if slot == nil || cluster.checker.isOutdated(heartbeat) {
		return complete
	}
	slot.proxy.SetTarget(heartbeat.Address)
	row, withoutSequence, err := rewriteRow(heartbeat.Row, slot.proxy.Address(), zoneOf(slot))
	if err != nil {
		cluster.checker.report(InvariantProcessAlive, "cannot rewrite the row of %s: %v", heartbeat.ID, err)
		return complete
	}
	slot.mutex.Lock()
	unlisted := slot.unlisted
	slot.mutex.Unlock()
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if cluster.outage || unlisted {
		return complete
	}
	known := cluster.rows[heartbeat.ID]
	if !bytes.Equal(known.row, withoutSequence) {
		cluster.store.Put("servers", heartbeat.ID, row)
		if bytes.Contains(withoutSequence, []byte(`"state":"draining"`)) {
			cluster.checker.runnerDraining(heartbeat.ID)
		}
	}
	cluster.rows[heartbeat.ID] = storedRow{row: withoutSequence, heartbeatAt: time.Now()}
	return complete
}

// rewriteRow sets a row's address and zone. It returns the row, and for comparison the same
// without the sequence number, which each heartbeat increments.
func rewriteRow(row []byte, address, zone string) (rewritten, withoutSequence []byte, err error) {
	fields := map[string]any{}
	if err := json.Unmarshal(row, &fields); err != nil {
		return nil, nil, errors.Wrap(err, "soak: decoding a row")
	}
	fields["address"], fields["zone"] = address, zone
	if rewritten, err = json.Marshal(fields); err != nil {
		return nil, nil, errors.Wrap(err, "soak: encoding a row")
	}
	delete(fields, "sequence")
	withoutSequence, err = json.Marshal(fields)
	return rewritten, withoutSequence, errors.Wrap(err, "soak: encoding a row")
}

func (cluster *cluster) slotOf(name string) *slot {
	for _, slot := range cluster.slots {
		if slotName, _ := slot.current(); slotName == name {
			return slot
		}
	}
	return nil
}

// expireRows deletes the rows of runners without a heartbeat for rowTTL, except
// during an outage of the store.
func (cluster *cluster) expireRows() {
	for {
		select {
		case <-cluster.closed:
			return
		case <-time.After(rowTTL / 10):
		}
		cluster.mutex.Lock()
		for id, row := range cluster.rows {
			if time.Since(row.heartbeatAt) > rowTTL && !cluster.outage {
				cluster.store.Delete("servers", id)
				delete(cluster.rows, id)
			}
		}
		cluster.mutex.Unlock()
	}
}

func (cluster *cluster) setOutage(outage bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.outage = outage
	cluster.store.SetOutage(outage)
	for id, row := range cluster.rows {
		row.heartbeatAt = time.Now() // running runners keep their rows until they have had time to report
		cluster.rows[id] = row
	}
}

// loseChanges has the store come back from an older copy. The runners write their
// rows again with their next heartbeats.
func (cluster *cluster) loseChanges(changes int) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.store.GoBack(changes)
	for id, row := range cluster.rows {
		cluster.rows[id] = storedRow{heartbeatAt: row.heartbeatAt}
	}
}

// writeAgain writes the configuration again after a loss, and deletes the rows that
// had been deleted.
func (cluster *cluster) writeAgain() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.store.Put("op", "config", cluster.deployed.Config())
	for _, id := range cluster.store.Keys("servers") {
		if _, found := cluster.rows[id]; !found {
			cluster.store.Delete("servers", id)
		}
	}
	cluster.evacuateAgain()
}

// changeConfig writes a new version of the operators' configuration to the store
// and returns the time at which the store had it.
func (cluster *cluster) changeConfig(change func(*fakes.Deployment)) time.Time {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.deployed.Keys, cluster.deployed.AddedPrefixes = slices.Clone(cluster.deployed.Keys), slices.Clone(cluster.deployed.AddedPrefixes)
	change(&cluster.deployed)
	cluster.deployed.Version++
	cluster.store.Put("op", "config", cluster.deployed.Config())
	return time.Now()
}

// deployment returns the operators' configuration in its last version.
func (cluster *cluster) deployment() fakes.Deployment {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.deployed
}

// close kills all processes and closes the proxies, the fabric and the store.
func (cluster *cluster) close() {
	close(cluster.closed)
	for _, node := range cluster.nodes {
		if _, process := node.current(); process != nil {
			process.kill()
		}
		node.storeProxy.Close()
		node.callerProxy.Close()
	}
	for _, slot := range cluster.slots {
		if _, process := slot.current(); process != nil {
			process.kill()
		}
		slot.proxy.Close()
	}
	cluster.fabric.CloseClientConnections()
	cluster.fabric.Close()
	cluster.store.Close()
}
