package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hickorybend/platform/fakes"
)

// The load and the disruption of the case "recover".
const (
	recoverNodes   = 6
	replaced       = 72 // machines: each of the six twelve times
	recoverRunners = 24
	cutFor         = 12 * time.Second
	callersPerNode = 12
)

// recoverRun is one run of the case.
type recoverRun struct {
	*cluster
	stop   chan struct{}
	group  sync.WaitGroup
	mutex  sync.Mutex
	counts map[string]*served // by node
	from   time.Time          // requests sent before are not counted
}

// served counts first tries.
type served struct{ sent, good int }

func recoverCase(record *record) error {
	cluster, err := newCluster(record)
	if err != nil {
		return err
	}
	defer cluster.close()
	run := &recoverRun{cluster: cluster, stop: make(chan struct{}), counts: map[string]*served{}, from: time.Now().Add(time.Hour)}
	cluster.began = func(execution fakes.Execution) {
		record.line("%s runs %s", execution.Runner, execution.RequestID)
	}
	cluster.store.Put("op", "config", config(1, true))
	ways := newWays()
	for index := range recoverRunners + 3 {
		id, service, domain := fmt.Sprintf("m-%d", index), fakes.ServiceModels, fmt.Sprintf("domain-%d", index/6)
		if index >= recoverRunners {
			id, service, domain = fmt.Sprintf("p-%d", index-recoverRunners), fakes.ServicePlain, ""
		}
		runner := cluster.addRunner(service, id, domain, fakes.WithEvents(10, 30*time.Millisecond))
		address, err := ways.to(runner.Address())
		if err != nil {
			return err
		}
		cluster.mutex.Lock()
		cluster.address[id] = address
		cluster.mutex.Unlock()
	}
	live := recoverNodes
	if err := cluster.addNodes(live); err != nil {
		return err
	}
	if err := cluster.waitReady(8); err != nil {
		return err
	}
	if err := run.replace(env("REPLACED", replaced)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	cutNodes := cluster.nodes[:1]
	for _, node := range cluster.nodes[:live] {
		run.counts[node.name] = &served{}
		for index := range callersPerNode {
			run.group.Go(func() { run.call(node, index) })
		}
	}
	time.Sleep(4 * time.Second)
	if trouble() {
		var pids []int
		for _, node := range cutNodes {
			record.summary("%s is partitioned from all runners", node.name)
			pids = append(pids, node.pid())
		}
		ways.cutOff(pids...)
	}
	run.mutex.Lock()
	run.from = time.Now().Add(contactTime)
	run.mutex.Unlock()
	time.Sleep(cutFor)
	close(run.stop)
	run.group.Wait()
	record.summary("%d connections to runners were reset", ways.resets.Load())
	for _, node := range cluster.nodes[:live] {
		record.summary("%s: %d of %d first tries served", node.name, run.counts[node.name].good, run.counts[node.name].sent)
	}
	return run.judge(cutNodes)
}

// replace starts machines at new addresses and removes them for good, as when machines are
// replaced one after the other over some weeks.
func (run *recoverRun) replace(count int) error {
	const batch = 10
	for first := 0; first < count; first += batch {
		var added []*node
		for index := first; index < min(count, first+batch); index++ {
			node, err := run.newNode(fmt.Sprintf("edge-old-%d", index+1), fmt.Sprintf("zone-%c", 'a'+index%3), 100+index)
			if err != nil {
				return err
			}
			node.starts = 1
			if err := node.start(run.dir); err != nil {
				return err
			}
			added = append(added, node)
		}
		known := waitFor(10*time.Second, func() bool { return len(run.store.Keys("nodes")) >= len(run.nodes) })
		for _, node := range added {
			node.signal(syscall.SIGKILL)
			<-node.ended()
		}
		if !known {
			return fmt.Errorf("%d nodes are known, not %d", len(run.store.Keys("nodes")), len(run.nodes))
		}
	}
	run.record.summary("%d machines were replaced, %d rows of nodes", count, len(run.store.Keys("nodes")))
	return nil
}

// call is one caller of a node.
func (run *recoverRun) call(node *node, index int) {
	caller := &fakes.Caller{Address: node.callers()}
	defer caller.Disconnect()
	for number := 0; ; number++ {
		select {
		case <-run.stop:
			return
		default:
		}
		request := fakes.Request{Method: http.MethodPost, Path: "/draft/x", ID: fmt.Sprintf("%s-%d-%d", node.name, index, number), Key: "key-1", Model: fakes.ModelLarge, Tokens: "300,50", Timeout: 8 * time.Second}
		switch number % 4 {
		case 0:
			request.Model = fakes.ModelSmall
		case 1:
			request.Method, request.Path, request.Model, request.Timeout = http.MethodGet, "/lookup/x", "", 3*time.Second
		case 2:
			request.Path, request.Model, request.Timeout, request.Body = "/confirm/x", "", 3*time.Second, []byte("order")
		}
		sentAt := time.Now()
		answer := caller.Do(request, request.Timeout+time.Second)
		run.record.line("%s %s sent %.3f s ago: status %d, %d bytes, error %v", request.ID, request.Path, time.Since(sentAt).Seconds(), answer.Status, len(answer.Body), answer.Err)
		run.mutex.Lock()
		if sentAt.After(run.from) {
			run.counts[node.name].sent++
			if answer.Err == nil && answer.Status == http.StatusOK {
				run.counts[node.name].good++
			}
		}
		run.mutex.Unlock()
		time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
	}
}

// judge applies the rule RECOVER on machines that are partitioned from all runners.
func (run *recoverRun) judge(cutNodes []*node) error {
	var cut, others served
	for name, counts := range run.counts {
		sum := &others
		for _, node := range cutNodes {
			if node.name == name {
				sum = &cut
			}
		}
		sum.sent += counts.sent
		sum.good += counts.good
	}
	if cut.sent == 0 || others.sent == 0 {
		return fmt.Errorf("no requests")
	}
	shareCut, shareOthers := float64(cut.good)/float64(cut.sent), float64(others.good)/float64(others.sent)
	run.record.summary("served: %.3f of %d at the machines that were cut, %.3f of %d at the others", shareCut, cut.sent, shareOthers, others.sent)
	if shareCut < shareOthers*2/3 && float64(cut.sent-cut.good) > 10+float64(cut.sent+others.sent)/50 {
		return fmt.Errorf("%w: RECOVER", errBroken)
	}
	return nil
}
