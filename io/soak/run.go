package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickorybend/platform/fakes"
)

// Report is the result of a run.
type Report struct {
	Seed          uint64
	Faults        int
	Sent          int
	Served        int
	AfterRecovery RequestCounts // after the last fault and recoveryTime
	Findings      []Finding
}

// RequestCounts is how many requests were sent, and how many of them were served.
type RequestCounts struct {
	Sent   int
	Served int
}

const (
	startTimeout      = 20 * time.Second       // until all nodes and models serve at the start
	recoveryTime      = 15 * time.Second       // after the last fault has ended
	measurementTime   = 3 * time.Second        // after recoveryTime, in which requests count as sent after recovery
	minServedShare    = 0.25                   // of the requests after recovery
	requestTimeout    = 10 * time.Second       // until the answer is complete
	disconnectPercent = 4                      // of the streams, during which the caller disconnects
	disconnectAfter   = 150 * time.Millisecond // from the start of the request
	switchPercent     = 10                     // of the requests, before which the caller picks a node again
	maxRequestPause   = 150 * time.Millisecond // between two requests of a caller
	pollInterval      = 100 * time.Millisecond
)

// Run runs a cluster with the faults of one seed and returns its findings.
func Run(ctx context.Context, config Config) (Report, error) {
	cluster, err := newCluster(config)
	defer cluster.close()
	if err != nil {
		return Report{}, err
	}
	report := Report{Seed: config.Seed}
	if !cluster.waitUntil(ctx, startTimeout, cluster.allNodesServe) {
		cluster.checker.report(InvariantRecovery, "the cluster does not serve %s after its start", startTimeout)
		report.Findings = cluster.checker.finish()
		return report, ctx.Err()
	}
	counter := &counter{}
	go cluster.pollReadiness(ctx)
	stopCallers := cluster.startCallers(ctx, counter)
	schedule := GenerateSchedule(config.Seed, config.Scale)
	cluster.injectFaults(ctx, schedule)
	sleep(ctx, maxFaultDuration+recoveryTime)
	counter.measuring.Store(true)
	sleep(ctx, measurementTime)
	stopCallers()
	report.Faults, report.Sent, report.Served, report.AfterRecovery = len(schedule), int(counter.sent.Load()), int(counter.served.Load()), counter.afterRecovery()
	if ctx.Err() == nil && float64(report.AfterRecovery.Served) < minServedShare*float64(report.AfterRecovery.Sent) {
		cluster.checker.report(InvariantRecovery, "%d of %d requests served, %s after the last fault", report.AfterRecovery.Served, report.AfterRecovery.Sent, recoveryTime)
	}
	report.Findings = cluster.checker.finish()
	return report, ctx.Err()
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (cluster *cluster) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); ctx.Err() == nil && time.Now().Before(deadline); {
		if condition() {
			return true
		}
		sleep(ctx, pollInterval)
	}
	return false
}

// allNodesServe reports whether every node is ready and answers a stream of each
// model.
func (cluster *cluster) allNodesServe() bool {
	for index := range cluster.nodes {
		if !cluster.nodeReady(index) {
			return false
		}
		caller := &fakes.Caller{Address: cluster.nodeAddress(index, portCallers)}
		for _, model := range []string{fakes.ModelLarge, fakes.ModelSmall} {
			request := fakes.Request{Method: "POST", Path: fakes.PathStream, ID: fmt.Sprintf("first-%d-%s-%d", index, model, time.Now().UnixNano()), Key: firstKey, Model: model, Body: []byte("{}")}
			cluster.checker.requestSent(request, kindStream, index)
			answer := caller.Do(request, requestTimeout)
			cluster.checker.answerReceived(request.ID, answer)
			if answer.Err != nil || answer.Status != http.StatusOK {
				caller.Disconnect()
				return false
			}
		}
		caller.Disconnect()
	}
	return true
}

const (
	readinessInterval  = time.Second // between two readiness checks of a node
	unhealthyThreshold = 2           // consecutive failed checks that take a node out of rotation
)

// pollReadiness checks the nodes' readiness as the platform's load balancer does.
func (cluster *cluster) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil && !cluster.isClosed() {
		for index, node := range cluster.nodes {
			if cluster.nodeReady(index) {
				node.failedChecks.Store(0)
			} else {
				node.failedChecks.Add(1)
			}
		}
		sleep(ctx, readinessInterval)
	}
}

func (cluster *cluster) inRotation(index int) bool {
	return cluster.nodes[index].failedChecks.Load() < unhealthyThreshold
}

// injectFaults injects the scheduled faults, each at its time.
func (cluster *cluster) injectFaults(ctx context.Context, schedule []Injection) {
	began := time.Now()
	for _, injection := range schedule {
		sleep(ctx, time.Until(began.Add(injection.At)))
		if ctx.Err() != nil {
			return
		}
		cluster.inject(injection)
	}
}

// counter counts requests, and separately those sent after recovery.
type counter struct {
	sent           atomic.Int64
	served         atomic.Int64
	measuring      atomic.Bool // the recovery time is over
	measuredSent   atomic.Int64
	measuredServed atomic.Int64
}

// count counts a request; measured is whether it was sent after recovery.
func (counter *counter) count(served, measured bool) {
	add := func(sentCount, servedCount *atomic.Int64) {
		sentCount.Add(1)
		if served {
			servedCount.Add(1)
		}
	}
	add(&counter.sent, &counter.served)
	if measured {
		add(&counter.measuredSent, &counter.measuredServed)
	}
}

func (counter *counter) afterRecovery() RequestCounts {
	return RequestCounts{Sent: int(counter.measuredSent.Load()), Served: int(counter.measuredServed.Load())}
}

// startCallers starts the callers and returns a function that stops them.
func (cluster *cluster) startCallers(ctx context.Context, counter *counter) func() {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for index := range cluster.config.Scale.Callers {
		group.Go(func() {
			client := &client{cluster: cluster, name: fmt.Sprintf("caller-%d", index), random: rand.New(rand.NewPCG(cluster.config.Seed, uint64(index)))}
			for ctx.Err() == nil {
				measured := counter.measuring.Load()
				if served, counts := client.sendRequest(); counts {
					counter.count(served, measured)
				}
				sleep(ctx, time.Duration(client.random.Int64N(int64(maxRequestPause))))
			}
			client.caller.Disconnect()
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// client is a caller that keeps its connection, also to a node that is shutting
// down.
type client struct {
	cluster *cluster
	name    string
	random  *rand.Rand
	node    int
	sent    int
	caller  fakes.Caller
}

// sendRequest sends one request. served is whether the answer was complete and OK,
// and counts is false if the caller disconnects on purpose.
func (client *client) sendRequest() (served, counts bool) {
	cluster := client.cluster
	if client.caller.Address == "" || client.random.IntN(100) < switchPercent {
		client.switchNode()
	}
	request, kind := client.drawRequest()
	disconnects := kind == kindStream && client.random.IntN(100) < disconnectPercent
	cluster.checker.requestSent(request, kind, client.node)
	if disconnects {
		timer := time.AfterFunc(disconnectAfter, func() {
			cluster.checker.callerDisconnected(request.ID)
			client.caller.Disconnect()
		})
		defer timer.Stop()
	}
	answer := client.caller.Do(request, requestTimeout)
	cluster.checker.answerReceived(request.ID, answer)
	if answer.Err != nil || answer.Status >= http.StatusInternalServerError {
		client.switchNode()
	}
	return answer.Err == nil && answer.Status == http.StatusOK, !disconnects
}

// switchNode picks a random node from those in rotation, as the load balancer
// would, or from all nodes if none is.
func (client *client) switchNode() {
	client.caller.Disconnect()
	order := client.random.Perm(len(client.cluster.nodes))
	client.node = order[0]
	for _, index := range order {
		if client.cluster.inRotation(index) {
			client.node = index
			break
		}
	}
	client.caller.Address = client.cluster.nodes[client.node].callerProxy.Address()
}

func (client *client) drawRequest() (fakes.Request, kind) {
	client.sent++
	request := fakes.Request{ID: fmt.Sprintf("%s-%d", client.name, client.sent), Key: client.cluster.currentKey(), Method: "POST", Timeout: 8 * time.Second, Body: []byte(`{"n":` + fmt.Sprint(client.sent) + `}`)}
	switch client.random.IntN(4) {
	case 0:
		request.Path = fakes.PathAtMostOnce + "slot?day=" + fmt.Sprint(client.random.IntN(30))
		return request, kindAtMostOnce
	case 1:
		request.Method, request.Path, request.Body = "GET", fakes.PathIdempotent+"slot", nil
		return request, kindIdempotent
	case 2:
		request.Model = fakes.ModelLarge
	default:
		request.Model = fakes.ModelSmall
	}
	request.Path = fakes.PathStream + "now"
	return request, kindStream
}
