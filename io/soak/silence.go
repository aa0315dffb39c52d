package soak

import (
	"fmt"
	"strconv"
	"time"

	"hickorybend/platform/fakes"
)

// injectSilence begins a fault that drawSilences draws.
func (cluster *cluster) injectSilence(injection Injection) {
	switch fault := injection.Fault.(type) {
	case RunnersPaused:
		for _, slot := range cluster.slotsFrom(fault.First, fault.Count) {
			name, process := slot.current()
			cluster.pauseProcess(process, pauseComponent(name), injection.Duration)
		}
	case RunnerBusy:
		value, none := strconv.Itoa(int(fault.RetryAfter/time.Second)), ""
		go cluster.behaveFor(cluster.slots[fault.Runner], injection.Duration, fakes.Behavior{RetryAfter: &value}, fakes.Behavior{RetryAfter: &none})
	case RunnerLimited:
		value, none := strconv.Itoa(fault.PerSecond), ""
		go cluster.behaveFor(cluster.slots[fault.Runner], injection.Duration, fakes.Behavior{Limit: &value}, fakes.Behavior{Limit: &none})
	case RunnerContradicts:
		script, none := fakes.Contradictions()[fault.Script], ""
		go cluster.misbehaveFor(cluster.slots[fault.Runner], injection.Duration, fakes.Behavior{Script: &script}, fakes.Behavior{Script: &none})
	case CrashingRequests:
		go cluster.sendCrashingRequests(injection.Duration)
	case ConfigStorm:
		go cluster.changeOften(fault.Count)
	}
}

const (
	behaviorRetryInterval = 100 * time.Millisecond // a runner that is paused or gone can't be told
	stormInterval         = 50 * time.Millisecond  // between two changes of a storm
	crashingInterval      = 150 * time.Millisecond // between two requests that crash runners
)

// behaveFor has a slot's runner behave in a way for a duration.
func (cluster *cluster) behaveFor(slot *slot, duration time.Duration, behavior, usual fakes.Behavior) {
	if fakes.SetBehavior(slot.proxy.Target(), behavior) == nil {
		time.Sleep(duration)
	}
	// A paused runner carries out what it was told meanwhile when it goes on, so that it is told
	// again after its first answer.
	for answers := 0; answers < 2 && !cluster.isClosed(); time.Sleep(behaviorRetryInterval) {
		if fakes.SetBehavior(slot.proxy.Target(), usual) == nil {
			answers++
		}
	}
}

// misbehaveFor does the same with behavior that counts as a fault of the runner.
func (cluster *cluster) misbehaveFor(slot *slot, duration time.Duration, behavior, usual fakes.Behavior) {
	name, _ := slot.current()
	endFault := cluster.timeline.beginFault(runnerComponent(name), time.Now())
	cluster.behaveFor(slot, duration, behavior, usual)
	endFault(time.Now())
}

// slotsFrom returns a number of slots, from one on.
func (cluster *cluster) slotsFrom(first, count int) (slots []*slot) {
	for i := range count {
		slots = append(slots, cluster.slots[(first+i)%len(cluster.slots)])
	}
	return slots
}

// sendCrashingRequests sends streams on which runners crash to all nodes in turn.
func (cluster *cluster) sendCrashingRequests(duration time.Duration) {
	began := time.Now()
	for i := 0; time.Since(began) < duration && !cluster.isClosed(); i++ {
		index := i % len(cluster.nodes)
		request := fakes.Request{
			Method: "POST", Path: fakes.PathStream + "now", ID: fmt.Sprintf("crashing-%d-%d", began.UnixNano(), i), Key: cluster.currentKey(),
			Model: fakes.ModelSmall, Parts: "shared:40," + crashPart + ":60", Body: []byte("{}"),
		}
		go func() {
			caller := &fakes.Caller{Address: cluster.nodes[index].callerProxy.Address()}
			defer caller.Disconnect()
			cluster.checker.requestSent(request, kindStream, index)
			cluster.checker.answerReceived(request.ID, caller.Do(request, requestTimeout))
		}()
		time.Sleep(crashingInterval)
	}
}

// changeOften changes the operators' configuration several times in a row.
func (cluster *cluster) changeOften(count int) {
	for i := range count {
		switch i % 4 {
		case 0:
			go cluster.addRoute()
		case 1:
			cluster.changeConfig(func(deployment *fakes.Deployment) {
				deployment.IdempotentTimeout = 1500*time.Millisecond + time.Duration(deployment.Version%5)*100*time.Millisecond
			})
		case 2:
			cluster.changeConfig(func(deployment *fakes.Deployment) { deployment.IdempotentWeight = 2 + deployment.Version%7 })
		default:
			cluster.changeConfig(func(deployment *fakes.Deployment) { deployment.AddedTeams = deployment.Version % 3 })
		}
		time.Sleep(stormInterval)
	}
}
