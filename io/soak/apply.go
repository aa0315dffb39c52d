package soak

import (
	"strconv"
	"syscall"
	"time"

	"hickorybend/platform/fakes"
)

const storeDelay = 400 * time.Millisecond // of each answer of a slow store

// apply brings a fault about and takes it away when its time is over; it
// returns at once.
func (site *site) apply(scheduledfault ScheduledFault) {
	switch fault := scheduledfault.Fault.(type) {
	case NodesKilled:
		for _, index := range fault.Nodes {
			go site.killNode(index, scheduledfault.Duration)
		}
	case NodePaused:
		node := site.nodes[fault.Node]
		_, process := node.boot()
		site.pause(process, partNode(fault.Node), scheduledfault.Duration)
	case NodeRestarted:
		go site.leaveNode(fault.Node)
	case NodeReloaded:
		_, process := site.nodes[fault.Node].boot()
		process.signal(syscall.SIGHUP)
	case StoreLinkFault:
		site.trouble(site.nodes[fault.Node].storeLink, fault.Mode, partStoreOf(fault.Node), scheduledfault.Duration)
	case CallerLinkFault:
		site.trouble(site.nodes[fault.Node].callers, fault.Mode, partCallers(fault.Node), scheduledfault.Duration)
	default:
		site.applyToRunner(scheduledfault)
	}
}

func (site *site) applyToRunner(scheduledfault ScheduledFault) {
	switch fault := scheduledfault.Fault.(type) {
	case RunnerLinkFault:
		slot := site.slots[fault.Runner]
		name, _ := slot.life()
		site.trouble(slot.link, fault.Mode, partRunner(name), scheduledfault.Duration)
	case RunnerKilled:
		go site.killRunner(site.slots[fault.Runner], fault.Renamed, scheduledfault.Duration)
	case RunnerPaused:
		name, process := site.slots[fault.Runner].life()
		site.pause(process, partRunner(name), scheduledfault.Duration)
	case RunnerDrained:
		go site.drainRunner(site.slots[fault.Runner])
	case RunnerUnlisted:
		site.unlist(site.slots[fault.Runner], scheduledfault.Duration)
	default:
		site.applyToStore(scheduledfault)
	}
}

func (site *site) applyToStore(scheduledfault ScheduledFault) {
	switch fault := scheduledfault.Fault.(type) {
	case StoreOutage:
		site.during(partStore, scheduledfault.Duration, func() { site.setAway(true) }, func() { site.setAway(false) })
	case StoreSlow:
		site.during(partStore, scheduledfault.Duration, func() { site.store.SetDelay(storeDelay) }, func() { site.store.SetDelay(0) })
	case StoreAnswersLost:
		site.store.LoseAnswers(fault.Count)
	case StoreCommitsDelayed:
		site.store.DelayCommits(fault.Count)
	case StoreHistoryDropped:
		site.store.DropHistory()
	case RouteAdded:
		go site.addRoute()
	case RouteDropped:
		go site.dropRoute()
	case KeyRevoked:
		go site.revokeKey()
	}
}

// during troubles a part for a while.
func (site *site) during(part string, length time.Duration, begin, end func()) {
	healed := site.calm.begin(part, time.Now())
	begin()
	time.AfterFunc(length, func() {
		end()
		healed(time.Now())
	})
}

func (site *site) pause(process *process, part string, length time.Duration) {
	site.during(part, length, func() { process.signal(syscall.SIGSTOP) }, func() { process.signal(syscall.SIGCONT) })
}

func (site *site) trouble(proxy *Proxy, mode Mode, part string, length time.Duration) {
	site.during(part, length, func() { proxy.SetMode(mode) }, func() { proxy.SetMode(ModePass) })
}

// killNode ends a node at once and starts it again; one that another fault has
// ended already is left to that.
func (site *site) killNode(index int, length time.Duration) {
	node := site.nodes[index]
	boot, process := node.boot()
	if !process.live() {
		return
	}
	healed := site.calm.begin(partNode(index), time.Now())
	process.kill()
	time.Sleep(length)
	site.restartNode(node, boot)
	healed(time.Now())
}

// leaveNode asks a node to end. It has to within its grace, unless it is paused
// or killed on the way.
func (site *site) leaveNode(index int) {
	node := site.nodes[index]
	boot, process := node.boot()
	if !process.live() || process.wasAsked() {
		return
	}
	began := time.Now()
	healed := site.calm.begin(partPlanned(index), began)
	limit := grace + time.Second
	if !process.end(limit) && site.calm.was(began, time.Now(), partNode(index)) {
		site.judge.note(InvariantProcessAlive, "node %d has not ended %s after it was asked to", index+1, limit)
	}
	site.restartNode(node, boot)
	healed(time.Now())
}

func (site *site) restartNode(node *node, boot int) {
	if now, _ := node.boot(); now != boot || site.over() {
		return // another fault has begun the next life
	}
	if err := site.startNode(node); err != nil {
		site.judge.note(InvariantProcessAlive, "node %d cannot start: %v", node.index+1, err)
	}
}

func (site *site) over() bool {
	select {
	case <-site.closed:
		return true
	default:
		return false
	}
}

func (site *site) killRunner(slot *slot, renamed bool, length time.Duration) {
	name, process := slot.life()
	if !process.live() {
		return
	}
	healed := site.calm.begin(partRunner(name), time.Now())
	process.kill()
	site.judge.ended(name)
	time.Sleep(length)
	site.restartRunner(slot, process, renamed)
	healed(time.Now())
}

const drainLimit = 20 * time.Second // for a runner to leave once it was asked to

// drainRunner has a runner leave; another one gets its address.
func (site *site) drainRunner(slot *slot) {
	name, process := slot.life()
	if !process.live() || process.wasAsked() {
		return
	}
	process.end(drainLimit)
	healed := site.calm.begin(partRunner(name), time.Now())
	site.judge.ended(name)
	site.restartRunner(slot, process, true)
	healed(time.Now())
}

func (site *site) restartRunner(slot *slot, former *process, renamed bool) {
	if _, now := slot.life(); now != former || site.over() {
		return
	}
	if err := site.startRunner(slot, renamed); err != nil {
		site.judge.note(InvariantProcessAlive, "runner %d cannot start: %v", slot.index, err)
	}
}

// unlist keeps a runner's row from the store for a while.
func (site *site) unlist(slot *slot, length time.Duration) {
	name, _ := slot.life()
	set := func(unlisted bool) {
		slot.mutex.Lock()
		defer slot.mutex.Unlock()
		slot.unlisted = unlisted
	}
	site.during(partRunner(name), length+rowTerm, func() { set(true) }, func() { set(false) })
}

// addRoute has the operators add a route, and looks for it at all nodes.
func (site *site) addRoute() {
	prefix := ""
	at := site.configure(func(deployment *fakes.Deployment) {
		prefix = "/added-" + strconv.Itoa(deployment.Version) + "/"
		deployment.AddedPrefixes = append(deployment.AddedPrefixes, prefix)
	})
	site.follow(change{at: at, ask: fakes.Request{Method: "GET", Path: prefix + "x", Key: site.key()}, holds: func() bool { return site.routed(prefix) }, want: wantServed})
}

// dropRoute has the operators take the oldest added route away.
func (site *site) dropRoute() {
	prefix := ""
	at := site.configure(func(deployment *fakes.Deployment) {
		if len(deployment.AddedPrefixes) > 0 {
			prefix, deployment.AddedPrefixes = deployment.AddedPrefixes[0], deployment.AddedPrefixes[1:]
		}
	})
	if prefix != "" {
		site.follow(change{at: at, ask: fakes.Request{Method: "GET", Path: prefix + "x", Key: site.key()}, holds: func() bool { return true }, want: wantNoRoute})
	}
}

// revokeKey has the operators take the callers' key away and give another one;
// callers have both for a while.
func (site *site) revokeKey() {
	site.configure(func(deployment *fakes.Deployment) {
		deployment.Keys = append(deployment.Keys, "key-"+strconv.Itoa(deployment.Version+1))
	})
	time.Sleep(changeLimit)
	revoked := ""
	at := site.configure(func(deployment *fakes.Deployment) {
		if len(deployment.Keys) > 1 {
			revoked, deployment.Keys = deployment.Keys[0], deployment.Keys[1:]
			site.judge.revoke(revoked)
		}
	})
	if revoked != "" {
		site.follow(change{at: at, ask: fakes.Request{Method: "GET", Path: fakes.PathSafe, Key: revoked}, holds: func() bool { return true }, want: wantNoKey})
	}
}

// key gives the oldest key that holds, which nodes had time to learn of.
func (site *site) key() string { return site.deployment().Keys[0] }
