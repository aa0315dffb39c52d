package soak

import (
	"strconv"
	"syscall"
	"time"

	"hickorybend/platform/fakes"
)

const slowStoreDelay = 400 * time.Millisecond // added to each answer during StoreSlow

// inject begins a fault, which ends after its duration. It does not block.
func (cluster *cluster) inject(injection Injection) {
	switch fault := injection.Fault.(type) {
	case NodesKilled:
		for _, index := range fault.Nodes {
			go cluster.killNode(index, injection.Duration)
		}
	case NodePaused:
		node := cluster.nodes[fault.Node]
		_, process := node.current()
		cluster.pauseProcess(process, nodeComponent(fault.Node), injection.Duration)
	case NodeRestarted:
		go cluster.shutDownNode(fault.Node)
	case NodeReloaded:
		_, process := cluster.nodes[fault.Node].current()
		process.signal(syscall.SIGHUP)
	case StoreLinkFault:
		cluster.injectLinkFault(cluster.nodes[fault.Node].storeProxy, fault.Mode, storeLinkComponent(fault.Node), injection.Duration)
	case CallerLinkFault:
		cluster.injectLinkFault(cluster.nodes[fault.Node].callerProxy, fault.Mode, callerLinkComponent(fault.Node), injection.Duration)
	default:
		cluster.injectRunnerFault(injection)
	}
}

// injectRunnerFault begins a fault of a runner, and passes others to
// injectStoreFault.
func (cluster *cluster) injectRunnerFault(injection Injection) {
	switch fault := injection.Fault.(type) {
	case RunnerLinkFault:
		slot := cluster.slots[fault.Runner]
		name, _ := slot.current()
		cluster.injectLinkFault(slot.proxy, fault.Mode, runnerComponent(name), injection.Duration)
	case RunnerKilled:
		go cluster.killRunner(cluster.slots[fault.Runner], fault.Renamed, injection.Duration)
	case RunnerPaused:
		name, process := cluster.slots[fault.Runner].current()
		cluster.pauseProcess(process, runnerComponent(name), injection.Duration)
	case RunnerDrained:
		go cluster.drainRunner(cluster.slots[fault.Runner])
	case RunnerUnlisted:
		cluster.unlist(cluster.slots[fault.Runner], injection.Duration)
	case RunnersPaused, RunnerBusy, RunnerLimited, CrashingRequests, ConfigStorm, RunnerContradicts:
		cluster.injectSilence(injection)
	case RunnersRefuse, AnswersCopied, ConnectionsKept, NodeCutOff:
		cluster.injectCopies(injection)
	default:
		cluster.injectStoreFault(injection)
	}
}

// injectStoreFault begins a fault of the store or a change of the operators'
// configuration.
func (cluster *cluster) injectStoreFault(injection Injection) {
	switch fault := injection.Fault.(type) {
	case StoreOutage:
		cluster.injectFor(storeComponent, injection.Duration, func() { cluster.setOutage(true) }, func() { cluster.setOutage(false) })
	case StoreSlow:
		cluster.injectFor(storeComponent, injection.Duration, func() { cluster.store.SetDelay(slowStoreDelay) }, func() { cluster.store.SetDelay(0) })
	case StoreAnswersLost:
		cluster.store.LoseAnswers(fault.Count)
	case StoreCommitsDelayed:
		cluster.store.DelayCommits(fault.Count)
	case StoreHistoryDropped:
		cluster.store.DropHistory()
	case StoreWentBack:
		cluster.injectFor(storeComponent, injection.Duration, func() { cluster.loseChanges(fault.Changes) }, cluster.writeAgain)
	case ZoneEvacuated:
		cluster.evacuate(injection.Duration)
	case RouteAdded:
		go cluster.addRoute()
	case RouteDropped:
		go cluster.dropRoute()
	case KeyRevoked:
		go cluster.revokeKey()
	}
}

// injectFor begins a fault of a component and ends it after the duration.
func (cluster *cluster) injectFor(component string, duration time.Duration, begin, end func()) {
	endFault := cluster.timeline.beginFault(component, time.Now())
	begin()
	time.AfterFunc(duration, func() {
		end()
		endFault(time.Now())
	})
}

func (cluster *cluster) pauseProcess(process *process, component string, duration time.Duration) {
	cluster.injectFor(component, duration, func() { process.signal(syscall.SIGSTOP) }, func() { process.signal(syscall.SIGCONT) })
}

func (cluster *cluster) injectLinkFault(proxy *Proxy, mode Mode, component string, duration time.Duration) {
	cluster.injectFor(component, duration, func() { proxy.SetMode(mode) }, func() { proxy.SetMode(ModePass) })
}

// killNode kills a node and starts it again after the duration. It does nothing
// if another fault has stopped the node already.
func (cluster *cluster) killNode(index int, duration time.Duration) {
	node := cluster.nodes[index]
	incarnation, process := node.current()
	if !process.running() {
		return
	}
	endFault := cluster.timeline.beginFault(nodeComponent(index), time.Now())
	process.kill()
	time.Sleep(duration)
	cluster.restartNode(node, incarnation)
	endFault(time.Now())
}

// shutDownNode stops a node by SIGTERM and starts it again. The node must exit
// within its grace period, unless another fault pauses or kills it meanwhile.
func (cluster *cluster) shutDownNode(index int) {
	node := cluster.nodes[index]
	incarnation, process := node.current()
	if !process.running() || process.isStopping() {
		return
	}
	began := time.Now()
	endFault := cluster.timeline.beginFault(nodeRestartComponent(index), began)
	timeout := shutdownGrace + time.Second
	if !process.stop(timeout) && cluster.timeline.faultFree(began, time.Now(), nodeComponent(index)) {
		cluster.checker.report(InvariantProcessAlive, "node %d did not exit within %s of SIGTERM", index+1, timeout)
	}
	cluster.restartNode(node, incarnation)
	endFault(time.Now())
}

func (cluster *cluster) restartNode(node *node, incarnation int) {
	if current, _ := node.current(); current != incarnation || cluster.isClosed() {
		return // another fault has restarted the node already, or the run is over
	}
	if err := cluster.startNode(node); err != nil {
		cluster.checker.report(InvariantProcessAlive, "node %d cannot start: %v", node.index+1, err)
	}
}

func (cluster *cluster) isClosed() bool {
	select {
	case <-cluster.closed:
		return true
	default:
		return false
	}
}

// killRunner kills a runner and starts it again after the duration, under the same
// name or a new one.
func (cluster *cluster) killRunner(slot *slot, renamed bool, duration time.Duration) {
	name, process := slot.current()
	if !process.running() {
		return
	}
	endFault := cluster.timeline.beginFault(runnerComponent(name), time.Now())
	process.kill()
	cluster.checker.runnerExited(name)
	time.Sleep(duration)
	cluster.restartRunner(slot, process, renamed)
	endFault(time.Now())
}

const drainTimeout = 20 * time.Second // after SIGTERM, until a runner that has not exited is killed

// drainRunner stops a runner by SIGTERM and starts another one behind the same
// proxy. The drain itself counts as no fault: the bounds hold until the runner
// has exited.
func (cluster *cluster) drainRunner(slot *slot) {
	name, process := slot.current()
	if !process.running() || process.isStopping() {
		return
	}
	process.stop(drainTimeout)
	endFault := cluster.timeline.beginFault(runnerComponent(name), time.Now())
	cluster.checker.runnerExited(name)
	cluster.restartRunner(slot, process, true)
	endFault(time.Now())
}

func (cluster *cluster) restartRunner(slot *slot, previous *process, renamed bool) {
	if _, current := slot.current(); current != previous || cluster.isClosed() {
		return // another fault has restarted the runner already, or the run is over
	}
	if err := cluster.startRunner(slot, renamed); err != nil {
		cluster.checker.report(InvariantProcessAlive, "runner %d cannot start: %v", slot.index, err)
	}
}

// unlist stops updates of a runner's row in the store, so that the row expires after
// rowTTL. It then stays out of the store for the duration.
func (cluster *cluster) unlist(slot *slot, duration time.Duration) {
	name, _ := slot.current()
	set := func(unlisted bool) {
		slot.mutex.Lock()
		defer slot.mutex.Unlock()
		slot.unlisted = unlisted
	}
	cluster.injectFor(runnerComponent(name), duration+rowTTL, func() { set(true) }, func() { set(false) })
}

// addRoute adds a route to the operators' configuration and checks that every
// node serves it as long as it exists.
func (cluster *cluster) addRoute() {
	prefix := ""
	committedAt := cluster.changeConfig(func(deployment *fakes.Deployment) {
		prefix = "/added-" + strconv.Itoa(deployment.Version) + "/"
		deployment.AddedPrefixes = append(deployment.AddedPrefixes, prefix)
	})
	cluster.checkPropagation(change{committedAt: committedAt, request: fakes.Request{Method: "GET", Path: prefix + "x", Key: cluster.currentKey()}, inForce: func() bool { return cluster.hasRoute(prefix) }, expected: expectServed})
}

// dropRoute removes the oldest added route from the operators' configuration and
// checks that no node serves it any more.
func (cluster *cluster) dropRoute() {
	prefix := ""
	committedAt := cluster.changeConfig(func(deployment *fakes.Deployment) {
		if len(deployment.AddedPrefixes) > 0 {
			prefix, deployment.AddedPrefixes = deployment.AddedPrefixes[0], deployment.AddedPrefixes[1:]
		}
	})
	if prefix != "" {
		cluster.checkPropagation(change{committedAt: committedAt, request: fakes.Request{Method: "GET", Path: prefix + "x", Key: cluster.currentKey()}, inForce: func() bool { return true }, expected: expectNoRoute})
	}
}

// revokeKey adds a key for the callers and revokes the oldest one
// propagationTimeout later, so that both are valid until every node has the new
// one.
func (cluster *cluster) revokeKey() {
	cluster.changeConfig(func(deployment *fakes.Deployment) {
		deployment.Keys = append(deployment.Keys, "key-"+strconv.Itoa(deployment.Version+1))
	})
	time.Sleep(propagationTimeout)
	revoked := ""
	committedAt := cluster.changeConfig(func(deployment *fakes.Deployment) {
		if len(deployment.Keys) > 1 {
			revoked, deployment.Keys = deployment.Keys[0], deployment.Keys[1:]
			cluster.checker.keyRevoked(revoked)
		}
	})
	if revoked != "" {
		cluster.checkPropagation(change{committedAt: committedAt, request: fakes.Request{Method: "GET", Path: fakes.PathIdempotent, Key: revoked}, inForce: func() bool { return true }, expected: expectNoKey})
	}
}

// currentKey returns the oldest valid key, which nodes have had time to receive.
func (cluster *cluster) currentKey() string { return cluster.deployment().Keys[0] }
