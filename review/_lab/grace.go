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

// The load and the disruption of the case "grace".
const (
	graceRunners    = 24
	graceCallers    = 60                      // of each node
	graceEvents     = 10                      // of a stream
	graceInterval   = 45 * time.Millisecond   // between two of them
	silentFrom      = 5900 * time.Millisecond // after SIGTERM
	silentRunners   = 1
	silentFor       = 1500 * time.Millisecond
	excusedSentFor  = 3 * time.Second // after SIGTERM; requests sent until then are not counted
	requestTimeout  = 8 * time.Second // as the route has it
	countedAfterEnd = time.Second     // after the grace, for which planned work goes on
)

// graceRun is one run of the case.
type graceRun struct {
	*cluster
	stop    chan struct{}
	group   sync.WaitGroup
	mutex   sync.Mutex
	beganAt map[string]string // the runner that began a request
	termAt  time.Time         // when the first node got SIGTERM; zero before
	sent    int
	good    int
	late    int      // requests to the stopping node that were sent more than excusedSentFor after SIGTERM
	lost    []string // those of them that were passed on, and whose channels ended without a complete answer
}

func graceCase(record *record) error {
	cluster, err := newCluster(record)
	if err != nil {
		return err
	}
	defer cluster.close()
	run := &graceRun{cluster: cluster, stop: make(chan struct{}), beganAt: map[string]string{}}
	cluster.began = func(execution fakes.Execution) {
		run.mutex.Lock()
		defer run.mutex.Unlock()
		run.beganAt[execution.RequestID] = execution.Runner
	}
	cluster.store.Put("op", "config", config(1, false))
	for index := range graceRunners {
		cluster.addRunner(fakes.ServiceModels, fmt.Sprintf("m-%d", index), fmt.Sprintf("domain-%d", index/6), fakes.WithEvents(graceEvents, graceInterval))
	}
	for index := range 3 {
		cluster.addRunner(fakes.ServicePlain, fmt.Sprintf("p-%d", index), "")
	}
	if err := cluster.addNodes(3); err != nil { // one in each zone
		return err
	}
	if err := cluster.waitReady(8); err != nil {
		return err
	}
	for _, node := range cluster.nodes {
		for index := range graceCallers {
			run.group.Go(func() { run.call(node, index) })
		}
	}
	time.Sleep(5 * time.Second)
	node := cluster.nodes[0]
	run.mutex.Lock()
	run.termAt = time.Now()
	run.mutex.Unlock()
	record.line("SIGTERM to %s, the only node of its zone", node.name)
	node.signal(syscall.SIGTERM)
	time.Sleep(silentFrom)
	if trouble() {
		left := silentRunners
		for _, runner := range cluster.runners {
			if runner.service == fakes.ServiceModels && runner.IsOpen() {
				runner.Pause(silentFor)
				record.line("%s falls silent for %s", runner.ID, silentFor)
				if left--; left == 0 {
					break
				}
			}
		}
	}
	select {
	case <-node.ended():
		record.line("%s has ended %.3f s after SIGTERM", node.name, time.Since(run.termAt).Seconds())
	case <-time.After(time.Until(run.termAt.Add(grace))):
		record.line("the platform kills %s", node.name)
		node.signal(syscall.SIGKILL)
	}
	time.Sleep(countedAfterEnd)
	close(run.stop)
	run.group.Wait()
	record.summary("%d requests, %d served; %d were sent to the stopping node later than %s after SIGTERM", run.sent, run.good, run.late, excusedSentFor)
	if len(run.lost) > 0 {
		for _, lost := range run.lost {
			record.summary("%s", lost)
		}
		return fmt.Errorf("%w: LOST, %d requests", errBroken, len(run.lost))
	}
	if run.late == 0 {
		return fmt.Errorf("no request came late in the grace")
	}
	return nil
}

// call is one caller. The platform goes on sending it to its node, since a zone of which
// fewer than half of the nodes are ready keeps all of its nodes.
func (run *graceRun) call(node *node, index int) {
	caller := &fakes.Caller{Address: node.callers()}
	defer caller.Disconnect()
	for number := 0; ; number++ {
		select {
		case <-run.stop:
			return
		default:
		}
		request := fakes.Request{Method: http.MethodPost, Path: "/draft/x", ID: fmt.Sprintf("%s-%d-%d", node.name, index, number), Key: "key-1", Model: fakes.ModelLarge, Tokens: "300,50", Timeout: requestTimeout}
		if number%2 == 0 {
			request.Model = fakes.ModelSmall
		}
		sentAt := time.Now()
		answer := caller.Do(request, request.Timeout+time.Second)
		run.count(node, request, answer, sentAt)
		pause := time.Duration(20+rand.IntN(100)) * time.Millisecond
		if answer.RetryAfter > 0 {
			pause = answer.RetryAfter
		}
		time.Sleep(pause)
	}
}

func (run *graceRun) count(node *node, request fakes.Request, answer fakes.Answer, sentAt time.Time) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	runner, took := run.beganAt[request.ID], time.Since(sentAt)
	run.sent++
	run.record.line("%s to %s, begun by %q: status %d, %d bytes in %.3f s, error %v", request.ID, node.name, runner, answer.Status, len(answer.Body), took.Seconds(), answer.Err)
	if answer.Err == nil && answer.Status == http.StatusOK {
		run.good++
	}
	if node != run.nodes[0] || run.termAt.IsZero() || sentAt.Before(run.termAt.Add(excusedSentFor)) || answer.Err != nil && runner == "" {
		return
	}
	run.late++
	if answer.Err != nil && took < requestTimeout {
		run.lost = append(run.lost, fmt.Sprintf("%s, sent %.3f s after SIGTERM and begun by %s, was cut %.3f s after it was sent with status %d and %d bytes: %v",
			request.ID, sentAt.Sub(run.termAt).Seconds(), runner, took.Seconds(), answer.Status, len(answer.Body), answer.Err))
	}
}
