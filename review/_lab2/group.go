package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"hickorybend/io/soak"
	"hickorybend/platform/fakes"
)

const (
	heartbeatTime = 1200 * time.Millisecond
	rowTTL        = 3 * heartbeatTime // without a liveness report, after which the store removes a row
	largeSize     = 4
	smallSize     = 2
	runners       = 12
	settleTime    = 500 * time.Millisecond // after a group of that size has opened, until its head is cut off
	partitionTime = 10 * time.Second
	trafficDelay  = 20 * time.Second // from the start of the nodes to the first request
	runTime       = 26 * time.Second
)

// fabric links the runners of groups, writes their rows to the store, and checks the rule TWO.
type fabric struct {
	world   *world
	mutex   sync.Mutex
	proxies map[string]*soak.Proxy
	beats   map[string]fakes.Heartbeat // the latest of each runner
	groups  map[string]group           // the last one that each runner was a member of
	rows    map[string]storedRow
	cut     map[string]bool // runners that reach neither the store nor the nodes
	broken  int             // joins against the rule
}

type group struct {
	name string
	head string
}

type storedRow struct {
	text string
	at   time.Time
}

func newFabric(world *world) *fabric {
	created := &fabric{
		world: world, proxies: map[string]*soak.Proxy{}, beats: map[string]fakes.Heartbeat{}, groups: map[string]group{},
		rows: map[string]storedRow{}, cut: map[string]bool{},
	}
	go created.expire()
	return created
}

// Heartbeat implements fakes.Fabric. A runner calls it after each change of its state and ten times a second.
func (fabric *fabric) Heartbeat(beat fakes.Heartbeat) bool {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	before, known := fabric.beats[beat.ID]
	fabric.beats[beat.ID] = beat
	if known && before.Replica != beat.Replica || before.Phase != beat.Phase {
		fabric.world.log("%s: group %q epoch %d %s (was %q %s)", beat.ID, beat.Replica, beat.Epoch, beat.Phase, before.Replica, before.Phase)
	}
	if beat.Replica != "" && beat.Replica != fabric.groups[beat.ID].name {
		fabric.checkJoin(beat)
		fabric.groups[beat.ID] = group{name: beat.Replica, head: beat.Members[0]}
	}
	fabric.writeRow(beat)
	return fabric.complete(beat)
}

// checkJoin checks a join of another group: the head of the runner's last one must serve no more.
func (fabric *fabric) checkJoin(beat fakes.Heartbeat) {
	last := fabric.groups[beat.ID]
	head := fabric.beats[last.head]
	if last.name == "" || last.head == beat.ID || head.Replica != last.name || head.Phase != "open" && head.Phase != "closing" {
		return
	}
	fabric.broken++
	fabric.world.log("TWO: %s takes the join of group %s while %s, the head of its group %s, is %s", beat.ID, beat.Replica, last.head, last.name, head.Phase)
}

// complete reports whether all members of a runner's group are there.
func (fabric *fabric) complete(beat fakes.Heartbeat) bool {
	for _, member := range beat.Members {
		if fabric.beats[member].Replica != beat.Replica {
			return false
		}
	}
	return true
}

// writeRow writes a runner's row to the store, with the address of its proxy, if it has changed.
func (fabric *fabric) writeRow(beat fakes.Heartbeat) {
	if fabric.cut[beat.ID] {
		return
	}
	proxy := fabric.proxies[beat.ID]
	if proxy == nil {
		var err error
		if proxy, err = soak.NewProxy("127.0.0.1:0", beat.Address); err != nil {
			return
		}
		fabric.proxies[beat.ID] = proxy
	}
	fields := map[string]any{}
	if json.Unmarshal(beat.Row, &fields) != nil {
		return
	}
	sequence := fields["sequence"]
	delete(fields, "sequence")
	fields["address"] = proxy.Address()
	text, _ := json.Marshal(fields)
	known := fabric.rows[beat.ID]
	if known.text != string(text) || time.Since(known.at) >= heartbeatTime {
		fields["sequence"] = sequence
		value, _ := json.Marshal(fields)
		fabric.world.store.Put("servers", beat.ID, value)
		fabric.rows[beat.ID] = storedRow{text: string(text), at: time.Now()}
	}
}

// expire removes the rows of runners that the store has not heard of for rowTTL.
func (fabric *fabric) expire() {
	for range time.Tick(100 * time.Millisecond) {
		fabric.mutex.Lock()
		for id, row := range fabric.rows {
			if time.Since(row.at) > rowTTL {
				fabric.world.log("the store removes the row of %s", id)
				fabric.world.store.Delete("servers", id)
				delete(fabric.rows, id)
			}
		}
		fabric.mutex.Unlock()
	}
}

// partition cuts a runner from the store and from all nodes for partitionTime. It still reaches the other runners.
func (fabric *fabric) partition(id string, mode soak.Mode) {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	fabric.cut[id] = true
	proxy := fabric.proxies[id]
	proxy.SetMode(mode)
	time.AfterFunc(partitionTime, func() {
		fabric.mutex.Lock()
		defer fabric.mutex.Unlock()
		fabric.world.log("%s reaches the store and the nodes again", id)
		delete(fabric.cut, id)
		proxy.SetMode(soak.ModePass)
	})
}

// BeginExecution implements fakes.Fabric.
func (fabric *fabric) BeginExecution(fakes.Execution) bool { return true }

// RecordRejection implements fakes.Fabric.
func (fabric *fabric) RecordRejection(fakes.Rejection) {}

// openGroups returns the members of the open groups of a size, heads first.
func (fabric *fabric) openGroups(size int) (groups [][]string) {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	for id, beat := range fabric.beats {
		if beat.Phase == "open" && len(beat.Members) == size && beat.Members[0] == id {
			groups = append(groups, beat.Members)
		}
	}
	slices.SortFunc(groups, slices.Compare)
	return groups
}

func (fabric *fabric) beat(id string) fakes.Heartbeat {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	return fabric.beats[id]
}

// holder returns the node whose name the lease's row has.
func (world *world) holder() *node {
	response, err := http.Get("http://" + world.store.Address() + "/-/rows-get?table=lease&part=")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if json.NewDecoder(response.Body).Decode(&reply) != nil {
		return nil
	}
	for _, row := range reply.Rows {
		var value struct {
			Body []byte `json:"body"`
		}
		var record struct {
			Holder string `json:"holder"`
		}
		if row.Key != "placement" || json.Unmarshal(row.Value, &value) != nil || json.Unmarshal(value.Body, &record) != nil {
			continue
		}
		for _, node := range world.nodes {
			if node.name == record.Holder {
				return node
			}
		}
	}
	return nil
}

func playGroup(world *world) (outcome, error) {
	fabric := newFabric(world)
	world.store.Put("op", "config", fakes.Deployment{Version: 1, Keys: []string{key}, LargeReplicaSize: largeSize, SmallReplicaSize: smallSize}.Config())
	delays := fakes.Delays{Rejoin: 200 * time.Millisecond, Warm: 1600 * time.Millisecond, Load: 1600 * time.Millisecond, Open: 300 * time.Millisecond, MemberTimeout: stallTime}
	for i := range runners {
		fakes.NewRunner(world.store, fakes.ServiceModels, fmt.Sprintf("runner-%02d", i+1), "domain-1", fakes.WithFabric(fabric), fakes.WithDelays(delays), fakes.WithEvents(10, 30*time.Millisecond))
	}
	for i := range 3 {
		if _, err := world.startNode(fmt.Sprintf("node-%d", i+1), true); err != nil {
			return outcomeUnrun, err
		}
	}
	if err := world.awaitReady(20 * time.Second); err != nil {
		return outcomeUnrun, err
	}
	traffic := world.nodesStarted.Add(trafficDelay)
	go world.sendStreams(traffic, 200*time.Millisecond, fakes.ModelLarge, fakes.ModelSmall)
	var groups [][]string
	for groups = fabric.openGroups(largeSize); len(groups) == 0; groups = fabric.openGroups(largeSize) {
		if time.Now().After(traffic) {
			return outcomeUnrun, fmt.Errorf("no group serves before the first request")
		}
		time.Sleep(10 * time.Millisecond)
	}
	members := groups[0]
	name := fabric.beat(members[0]).Replica
	time.Sleep(settleTime)
	if world.trouble {
		world.log("%s, the head of group %s of %v, is partitioned from the store and the nodes", members[0], name, members)
		fabric.partition(members[0], soak.ModeBlackhole)
		for end := time.Now().Add(8 * time.Second); !slices.ContainsFunc(members[1:], func(id string) bool { return fabric.beat(id).Replica != name }); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				return outcomeUnrun, fmt.Errorf("no member was told to leave")
			}
		}
	} else {
		time.Sleep(rowTTL)
	}
	holder := world.holder()
	if holder == nil {
		return outcomeUnrun, fmt.Errorf("no node places")
	}
	world.log("%s, which places, gets SIGTERM", holder.name)
	if err := world.restart(holder); err != nil {
		return outcomeUnrun, err
	}
	time.Sleep(time.Until(world.nodesStarted.Add(runTime)))
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	world.log("%d joins against the rule", fabric.broken)
	if fabric.broken > 0 {
		return outcomeBroken, nil
	}
	return outcomeHeld, nil
}

// sendStreams sends requests for models in turn to all nodes from a time on, and records what became of them.
func (world *world) sendStreams(begin time.Time, pause time.Duration, models ...string) {
	time.Sleep(time.Until(begin))
	world.log("clients begin to send")
	for number := 0; ; number++ {
		model := models[number%len(models)]
		for _, node := range world.listNodes() {
			go func() {
				caller := &fakes.Caller{Address: node.callers}
				defer caller.Disconnect()
				id := fmt.Sprintf("%s-%d", node.name, number)
				answer := caller.Do(fakes.Request{Method: http.MethodPost, Path: fakes.PathStream + "1", ID: id, Key: key, Model: model, Tokens: "1420,175", Body: []byte("prompt")}, 8*time.Second)
				world.log("request %s for model %s at %s: status %d, %d bytes", id, model, node.name, answer.Status, len(answer.Body))
			}()
		}
		time.Sleep(pause)
	}
}
