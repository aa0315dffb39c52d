package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"hickorybend/io/soak"
	"hickorybend/platform/fakes"
)

const (
	usualTraffic   = 10 * time.Second // from the start of the nodes to the first request
	scaleOutAt     = 12 * time.Second
	loadTime       = 12 * time.Second        // of a model's weights, once clients have sent requests
	warmTime       = 1100 * time.Millisecond // to join with the weights on the host
	freezeTime     = 4 * time.Second
	addedRunners   = 3
	initialRunners = 12 // half of them in the domain to which runners are added
)

// configWithLoads returns a configuration whose model loads in loadTime.
func configWithLoads() ([]byte, error) {
	var config map[string]any
	if err := json.Unmarshal(fakes.Deployment{Version: 1, Keys: []string{key}, LargeReplicaSize: smallSize}.Config(), &config); err != nil {
		return nil, err
	}
	for _, service := range config["services"].([]any) {
		if engine, found := service.(map[string]any)["engine"].(map[string]any); found {
			for _, model := range engine["models"].([]any) {
				model.(map[string]any)["load_s"], model.(map[string]any)["warm_s"] = loadTime.Seconds(), warmTime.Seconds()
			}
		}
	}
	return json.Marshal(config)
}

func playBlind(world *world) (outcome, error) {
	fabric := newFabric(world)
	config, err := configWithLoads()
	if err != nil {
		return outcomeUnrun, err
	}
	world.store.Put("op", "config", config)
	start := func(id, domain string, load time.Duration) {
		delays := fakes.Delays{Rejoin: 200 * time.Millisecond, Warm: warmTime, Load: load, Open: 300 * time.Millisecond, MemberTimeout: stallTime}
		fakes.NewRunner(world.store, fakes.ServiceModels, id, domain, fakes.WithFabric(fabric), fakes.WithDelays(delays), fakes.WithEvents(10, 30*time.Millisecond))
	}
	for i := range initialRunners {
		start(fmt.Sprintf("runner-%02d", i+1), fmt.Sprintf("domain-%d", 1+2*i/initialRunners), loadTime/10)
	}
	for i := range 2 {
		if _, err := world.startNode(fmt.Sprintf("node-%d", i+1), true); err != nil {
			return outcomeUnrun, err
		}
	}
	if err := world.awaitReady(20 * time.Second); err != nil {
		return outcomeUnrun, err
	}
	go world.sendStreams(world.nodesStarted.Add(usualTraffic), 50*time.Millisecond, fakes.ModelLarge)
	time.Sleep(time.Until(world.nodesStarted.Add(scaleOutAt)))
	world.log("%d groups serve; %d empty runners are added", len(fabric.openGroups(smallSize)), addedRunners)
	var added []string
	for i := range addedRunners {
		id := fmt.Sprintf("runner-%02d", initialRunners+i+1)
		added = append(added, id)
		start(id, "domain-1", loadTime)
	}
	if !fabric.awaitAny(added, 3*loadTime, func(beat fakes.Heartbeat) bool { return isStaged(beat) }) {
		return outcomeUnrun, fmt.Errorf("no weights were loaded onto the added runners")
	}
	holder := world.holder()
	if holder == nil {
		return outcomeUnrun, fmt.Errorf("no node places")
	}
	other := world.nodes[slices.IndexFunc(world.nodes, func(node *node) bool { return node != holder })]
	if world.trouble {
		world.log("the weights are there; %s, which does not place, is frozen", other.name)
		_ = other.command.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			world.log("%s wakes", other.name)
			_ = other.command.Process.Signal(syscall.SIGCONT)
		})
	}
	if !fabric.awaitAny(added, 5*time.Second, func(beat fakes.Heartbeat) bool { return beat.Phase == "open" }) {
		return outcomeUnrun, fmt.Errorf("the added runners form no group")
	}
	head := added[slices.IndexFunc(added, func(id string) bool { return fabric.beat(id).Phase == "open" })]
	members := fabric.beat(head).Members
	if world.trouble {
		world.log("%s, the head of the group of %v, is partitioned from the store and the nodes", head, members)
		fabric.partition(head, soak.ModeReset)
		if !fabric.awaitAny(members[1:], 8*time.Second, func(beat fakes.Heartbeat) bool { return beat.Replica == "" }) {
			return outcomeUnrun, fmt.Errorf("no member was told to leave")
		}
		if os.Getenv("HISTORY") == "" {
			world.store.DropHistory()
			world.log("the store discards its history")
		}
	}
	world.log("%s, which places, gets SIGTERM", holder.name)
	if err := world.restart(holder); err != nil {
		return outcomeUnrun, err
	}
	time.Sleep(12 * time.Second)
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	world.log("%d joins against the rule", fabric.broken)
	if fabric.broken > 0 {
		return outcomeBroken, nil
	}
	return outcomeHeld, nil
}

// isStaged reports whether the weights of a model are on a runner's host.
func isStaged(beat fakes.Heartbeat) bool {
	var row struct {
		Staged []string `json:"staged"`
	}
	return json.Unmarshal(beat.Row, &row) == nil && len(row.Staged) > 0
}

// awaitAny waits until a condition holds for the latest state of any of some runners.
func (fabric *fabric) awaitAny(ids []string, timeout time.Duration, holds func(fakes.Heartbeat) bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if slices.ContainsFunc(ids, func(id string) bool { return holds(fabric.beat(id)) }) {
			return true
		}
	}
	return false
}
