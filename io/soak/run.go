package soak

import (
	"context"
	"fmt"
	"math"
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
	returnPercent     = 80                     // of the refused attempts, after which the caller sends the request again
	maxReturns        = 5                      // further attempts of a caller at a request
	otherNodePercent  = 40                     // of the further attempts, which go to another node
	minReturnPause    = 4 * time.Millisecond   // between a refusal and the next attempt
	maxReturnPause    = time.Second
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
			client := newClient(cluster, index)
			for ctx.Err() == nil {
				measured := counter.measuring.Load()
				if served, counts := client.sendRequest(ctx); counts {
					counter.count(served, measured)
				}
				sleep(ctx, time.Duration(client.random.Int64N(int64(maxRequestPause))))
			}
			client.disconnect()
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// client is a caller that keeps its connections, one to each node that it uses, also to
// a node that is shutting down.
type client struct {
	cluster *cluster
	name    string
	random  *rand.Rand
	returns *rand.Rand // for attempts after a refusal; apart from the other draws
	node    int        // -1 before the first request
	sent    int
	callers []*fakes.Caller // by node
}

func newClient(cluster *cluster, index int) *client {
	seed := cluster.config.Seed
	client := &client{cluster: cluster, name: fmt.Sprintf("caller-%d", index), random: rand.New(rand.NewPCG(seed, uint64(index))), returns: rand.New(rand.NewPCG(uint64(index), ^seed)), node: -1}
	for _, node := range cluster.nodes {
		client.callers = append(client.callers, &fakes.Caller{Address: node.callerProxy.Address()})
	}
	return client
}

// sendRequest sends one request, and again while it is refused. served is whether the
// answer was complete and OK, and counts is false if the caller disconnects on purpose.
func (client *client) sendRequest(ctx context.Context) (served, counts bool) {
	if client.node < 0 || client.random.IntN(100) < switchPercent {
		client.switchNode()
	}
	request, kind := client.drawRequest()
	disconnects := kind == kindStream && client.random.IntN(100) < disconnectPercent
	answer := client.sendWhileRefused(ctx, request, kind, disconnects)
	return answer.Err == nil && answer.Status == http.StatusOK, !disconnects
}

// sendWhileRefused sends a request, and again with the same ID while it is refused.
func (client *client) sendWhileRefused(ctx context.Context, request fakes.Request, kind kind, disconnects bool) fakes.Answer {
	deadline := time.Now().Add(request.Timeout)
	answer := client.attempt(request, kind, disconnects)
	for request.Attempt < maxReturns && isRefusal(answer) && client.returns.IntN(100) < returnPercent && ctx.Err() == nil {
		client.awaitReturn(ctx)
		if request.Timeout = time.Until(deadline); request.Timeout < maxReturnPause {
			break
		}
		request.Attempt++
		answer = client.attempt(request, kind, disconnects)
	}
	if answer.Err != nil || answer.Status >= http.StatusInternalServerError {
		client.switchNode()
	}
	return answer
}

// awaitReturn waits until a refused request is sent again, and chooses the node for it.
func (client *client) awaitReturn(ctx context.Context) {
	factor := math.Pow(float64(maxReturnPause/minReturnPause), client.returns.Float64())
	sleep(ctx, time.Duration(factor*float64(minReturnPause)))
	if others := len(client.callers) - 1; others > 0 && client.returns.IntN(100) < otherNodePercent {
		client.node = (client.node + 1 + client.returns.IntN(others)) % len(client.callers)
	}
}

// attempt sends a request over the kept connection to the present node.
func (client *client) attempt(request fakes.Request, kind kind, disconnects bool) fakes.Answer {
	checker, caller := client.cluster.checker, client.callers[client.node]
	checker.requestSent(request, kind, client.node)
	if disconnects {
		timer := time.AfterFunc(disconnectAfter, func() {
			checker.callerDisconnected(request.ID)
			caller.Disconnect()
		})
		defer timer.Stop()
	}
	answer := caller.Do(request, requestTimeout)
	checker.answerReceived(request.ID, answer)
	return answer
}

// isRefusal reports whether an answer promises that the request has not run.
func isRefusal(answer fakes.Answer) bool {
	switch answer.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return answer.Err == nil
	default:
		return false
	}
}

func (client *client) disconnect() {
	for _, caller := range client.callers {
		caller.Disconnect()
	}
}

// switchNode picks a random node from those in rotation, as the load balancer
// would, or from all nodes if none is.
func (client *client) switchNode() {
	client.disconnect()
	order := client.random.Perm(len(client.cluster.nodes))
	client.node = order[0]
	for _, index := range order {
		if client.cluster.inRotation(index) {
			client.node = index
			break
		}
	}
}

// nextRequest returns a request that may run once.
func (client *client) nextRequest() fakes.Request {
	client.sent++
	return fakes.Request{
		ID: fmt.Sprintf("%s-%d", client.name, client.sent), Key: client.cluster.currentKey(), Method: "POST", Path: fakes.PathAtMostOnce + "slot",
		Timeout: 8 * time.Second, Body: []byte(`{"n":` + fmt.Sprint(client.sent) + `}`),
	}
}

func (client *client) drawRequest() (fakes.Request, kind) {
	request := client.nextRequest()
	switch client.random.IntN(4) {
	case 0:
		request.Path += "?day=" + fmt.Sprint(client.random.IntN(30))
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
