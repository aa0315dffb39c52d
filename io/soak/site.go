package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// Config is one run of the soak.
type Config struct {
	Seed  uint64
	Bin   string // folder of the programs
	Dir   string // for settings and logs
	Scale Scale
}

const (
	streamEvents = 10
	streamPause  = 30 * time.Millisecond
	grace        = 4 * time.Second
	rowTerm      = 3600 * time.Millisecond // after which the store drops the row of a silent runner
	portCallers  = 7001
	portReady    = 7002
	portPeers    = 7003
	domainSize   = 6 // a replica of three, one of two, and a spare
)

// site is the deployment under trouble: the store, nodes and runners, with a
// link in front of each.
type site struct {
	config   Config
	host     string // the first three numbers of the nodes' addresses
	store    *fakes.Store
	fabric   *httptest.Server
	calm     *calm
	judge    *judge
	nodes    []*node
	slots    []*slot
	mutex    sync.Mutex
	rows     map[string]listed
	away     bool // the store takes no rows
	deployed fakes.Deployment
	closed   chan struct{}
}

// node is a place for a node's process.
type node struct {
	index     int
	process   *process
	storeLink *Proxy
	callers   *Proxy
	settings  string
	mutex     sync.Mutex
	boots     int
	missed    atomic.Int64 // looks in a row at which it was not ready
}

// slot is a place for a runner's process.
type slot struct {
	index    int
	service  string
	domain   string
	link     *Proxy
	mutex    sync.Mutex
	name     string
	lives    int
	process  *process
	unlisted bool
}

// listed is a runner's row as the store has it.
type listed struct {
	row     []byte
	heardAt time.Time
}

func newSite(config Config) (*site, error) {
	calm := newCalm()
	site := &site{
		config: config, host: fmt.Sprintf("127.%d.%d", 20+config.Seed/200%200, 1+config.Seed%200), store: fakes.NewStore(), calm: calm,
		judge: newJudge(calm, streamEvents), rows: map[string]listed{}, closed: make(chan struct{}),
		deployed: fakes.Deployment{Version: 1, Keys: []string{firstKey}, LargeReplicaSize: 3, SmallReplicaSize: 2},
	}
	site.fabric = httptest.NewServer(fakes.FabricHandler(site))
	site.store.Put("op", "config", site.deployed.Config())
	for index := range config.Scale.ModelRunners + config.Scale.PlainRunners {
		if err := site.addSlot(index); err != nil {
			return site, err
		}
	}
	for index := range config.Scale.Nodes {
		if err := site.addNode(index); err != nil {
			return site, err
		}
	}
	go site.dropSilent()
	go calm.watch(site.closed)
	return site, site.start()
}

// start begins all processes.
func (site *site) start() error {
	for _, slot := range site.slots {
		if err := site.startRunner(slot, true); err != nil {
			return err
		}
	}
	for _, node := range site.nodes {
		if err := site.startNode(node); err != nil {
			return err
		}
	}
	return nil
}

const firstKey = "key-1"

func (site *site) addSlot(index int) error {
	proxy, err := NewProxy("127.0.0.1:0", "127.0.0.1:1")
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	slot := &slot{index: index, service: fakes.ServicePlain, link: proxy}
	if index < site.config.Scale.ModelRunners {
		slot.service, slot.domain = fakes.ServiceModels, fmt.Sprintf("domain-%d", index/domainSize)
	}
	site.slots = append(site.slots, slot)
	return nil
}

// startRunner begins a runner's next life, under its name or a new one.
func (site *site) startRunner(slot *slot, renamed bool) error {
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	slot.lives++
	if renamed {
		slot.name = fmt.Sprintf("%s-%d-%d", slot.service, slot.index, slot.lives)
	}
	started, err := startProcess(filepath.Join(site.config.Dir, slot.name+".log"), filepath.Join(site.config.Bin, "standin"), "runner",
		"--id", slot.name, "--service", slot.service, "--domain", slot.domain, "--fabric", site.fabric.Listener.Addr().String(),
		"--events", fmt.Sprint(streamEvents), "--pause", streamPause.String(), "--stall", stall.String())
	slot.process = started
	return err
}

const settingsText = `{
	"node": "node-%d", "zone": "zone-a", "callers-address": "%s", "ready-address": "%s", "peers-address": "%s",
	"peer-key": "soak", "store-address": "%s", "seeds": [%s], "first-start": %t, "grace": "%s", "notice": "1s", "stall": "%s",
	"retry": {"ratio": %g, "extra": %g, "window": "%s"},
}
`

func (site *site) addNode(index int) error {
	storeLink, err := NewProxy("127.0.0.1:0", site.store.Address())
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	callers, err := NewProxy("127.0.0.1:0", site.address(index, portCallers))
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	node := &node{index: index, storeLink: storeLink, callers: callers, settings: filepath.Join(site.config.Dir, fmt.Sprintf("node-%d.jsonc", index+1))}
	site.nodes = append(site.nodes, node)
	return nil
}

func (site *site) address(index, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", site.host, index+1), fmt.Sprint(port))
}

func (site *site) startNode(node *node) error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	var seeds []string
	for index := range site.config.Scale.Nodes {
		seeds = append(seeds, `"`+site.address(index, portPeers)+`"`)
	}
	text := fmt.Sprintf(settingsText, node.index+1, site.address(node.index, portCallers), site.address(node.index, portReady), site.address(node.index, portPeers),
		node.storeLink.Address(), strings.Join(seeds, ", "), node.boots == 0, grace, stall, budgetRatio, budgetExtra, budgetTime)
	if err := os.WriteFile(node.settings, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "soak")
	}
	node.boots++
	started, err := startProcess(strings.TrimSuffix(node.settings, ".jsonc")+".log", filepath.Join(site.config.Bin, "hickorybend"), "edge", "--config", node.settings)
	if err != nil {
		return err
	}
	node.process = started
	go site.watch(node.index, started)
	return nil
}

// watch finds a node that ends by itself.
func (site *site) watch(index int, process *process) {
	<-process.done
	if !process.wasAsked() {
		site.judge.note(InvariantProcessAlive, "node %d ended by itself: %s", index+1, process.command.ProcessState)
	}
}

// boot tells which life of its node is under way.
func (node *node) boot() (int, *process) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.boots, node.process
}

func (slot *slot) life() (string, *process) {
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	return slot.name, slot.process
}

func (site *site) ready(index int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + site.address(index, portReady) + "/")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// BeginExecution implements fakes.Fabric.
func (site *site) BeginExecution(execution fakes.Execution) bool {
	return site.judge.BeginExecution(execution)
}

// Heartbeat implements fakes.Fabric: the runner's row goes to the store when it has
// changed, with the address of its link.
func (site *site) Heartbeat(heartbeat fakes.Heartbeat) bool {
	whole := site.judge.Heartbeat(heartbeat)
	slot := site.slotOf(heartbeat.ID)
	if slot == nil {
		return whole
	}
	slot.link.SetTarget(heartbeat.Address)
	row, compared, err := relist(heartbeat.Row, slot.link.Address())
	if err != nil {
		site.judge.note(InvariantProcessAlive, "row of %s: %v", heartbeat.ID, err)
		return whole
	}
	slot.mutex.Lock()
	unlisted := slot.unlisted
	slot.mutex.Unlock()
	site.mutex.Lock()
	defer site.mutex.Unlock()
	if site.away || unlisted {
		return whole
	}
	known := site.rows[heartbeat.ID]
	if !bytes.Equal(known.row, compared) {
		site.store.Put("servers", heartbeat.ID, row)
		if bytes.Contains(compared, []byte(`"state":"draining"`)) {
			site.judge.draining(heartbeat.ID)
		}
	}
	site.rows[heartbeat.ID] = listed{row: compared, heardAt: time.Now()}
	return whole
}

// relist puts the link's address into a row, and gives it also without the
// count that changes each time.
func relist(row []byte, address string) (whole, compared []byte, err error) {
	fields := map[string]any{}
	if err := json.Unmarshal(row, &fields); err != nil {
		return nil, nil, errors.Wrap(err, "soak")
	}
	fields["address"] = address
	if whole, err = json.Marshal(fields); err != nil {
		return nil, nil, errors.Wrap(err, "soak")
	}
	delete(fields, "sequence")
	compared, err = json.Marshal(fields)
	return whole, compared, errors.Wrap(err, "soak")
}

func (site *site) slotOf(name string) *slot {
	for _, slot := range site.slots {
		if current, _ := slot.life(); current == name {
			return slot
		}
	}
	return nil
}

// dropSilent drops the rows of runners that have been silent for too long.
func (site *site) dropSilent() {
	for {
		select {
		case <-site.closed:
			return
		case <-time.After(rowTerm / 10):
		}
		site.mutex.Lock()
		for id, row := range site.rows {
			if time.Since(row.heardAt) > rowTerm && !site.away {
				site.store.Delete("servers", id)
				delete(site.rows, id)
			}
		}
		site.mutex.Unlock()
	}
}

func (site *site) setAway(away bool) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.away = away
	site.store.SetOutage(away)
	for id, row := range site.rows {
		row.heardAt = time.Now() // what lives has time to come back
		site.rows[id] = row
	}
}

// configure writes a new version and gives when the store had it.
func (site *site) configure(change func(*fakes.Deployment)) time.Time {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.deployed.Keys, site.deployed.AddedPrefixes = slices.Clone(site.deployed.Keys), slices.Clone(site.deployed.AddedPrefixes)
	change(&site.deployed)
	site.deployed.Version++
	site.store.Put("op", "config", site.deployed.Config())
	return time.Now()
}

// deployment gives the configuration that is in force.
func (site *site) deployment() fakes.Deployment {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	return site.deployed
}

// close ends all that was started.
func (site *site) close() {
	close(site.closed)
	for _, node := range site.nodes {
		if _, process := node.boot(); process != nil {
			process.kill()
		}
		node.storeLink.Close()
		node.callers.Close()
	}
	for _, slot := range site.slots {
		if _, process := slot.life(); process != nil {
			process.kill()
		}
		slot.link.Close()
	}
	site.fabric.CloseClientConnections()
	site.fabric.Close()
	site.store.Close()
}
