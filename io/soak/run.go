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

// Report is what a run showed.
type Report struct {
	Seed          uint64
	Faults        int
	Sent          int
	Served        int
	AfterRecovery RequestCounts // after the troubles and the time to recover
	Findings      []Finding
}

// RequestCounts is how many requests were served of those asked.
type RequestCounts struct {
	Sent   int
	Served int
}

const (
	startLimit   = 20 * time.Second // for nodes and replicas to serve at first
	recoverTime  = 15 * time.Second // after the last trouble
	lastTime     = 3 * time.Second  // in which the recovery is measured
	recoverShare = 0.25             // of the requests that are served then, at least
	askLimit     = 10 * time.Second // for a whole answer
	leavePct     = 4                // of the streams whose caller leaves
	leaveAfter   = 150 * time.Millisecond
	hangPct      = 10 // of the requests after which a caller goes to another node
	mostPause    = 150 * time.Millisecond
	checkPause   = 100 * time.Millisecond
)

// Run plays one seed.
func Run(ctx context.Context, config Config) (Report, error) {
	site, err := newSite(config)
	defer site.close()
	if err != nil {
		return Report{}, err
	}
	report := Report{Seed: config.Seed}
	if !site.waitUntil(ctx, startLimit, site.serves) {
		site.judge.note(InvariantRecovery, "the deployment does not serve %s after its start", startLimit)
		report.Findings = site.judge.end()
		return report, ctx.Err()
	}
	tally := &tally{}
	go site.balance(ctx)
	callers := site.callers(ctx, tally)
	steps := GenerateSchedule(config.Seed, config.Scale)
	site.troubles(ctx, steps)
	pause(ctx, longest+recoverTime)
	tally.last.Store(true)
	pause(ctx, lastTime)
	callers()
	report.Faults, report.Sent, report.Served, report.AfterRecovery = len(steps), int(tally.asked.Load()), int(tally.served.Load()), tally.share()
	if ctx.Err() == nil && float64(report.AfterRecovery.Served) < recoverShare*float64(report.AfterRecovery.Sent) {
		site.judge.note(InvariantRecovery, "%d of %d requests are served %s after the troubles", report.AfterRecovery.Served, report.AfterRecovery.Sent, recoverTime)
	}
	report.Findings = site.judge.end()
	return report, ctx.Err()
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (site *site) waitUntil(ctx context.Context, limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); ctx.Err() == nil && time.Now().Before(deadline); {
		if holds() {
			return true
		}
		pause(ctx, checkPause)
	}
	return false
}

// serves tells whether every node answers a stream of each model.
func (site *site) serves() bool {
	for index := range site.nodes {
		if !site.ready(index) {
			return false
		}
		caller := &fakes.Caller{Address: site.address(index, portCallers)}
		for _, model := range []string{fakes.ModelLarge, fakes.ModelSmall} {
			request := fakes.Request{Method: "POST", Path: fakes.PathStream, ID: fmt.Sprintf("first-%d-%s-%d", index, model, time.Now().UnixNano()), Key: firstKey, Model: model, Body: []byte("{}")}
			site.judge.sent(request, kindStream, index)
			answer := caller.Do(request, askLimit)
			site.judge.answered(request.ID, answer)
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
	balanceEvery = time.Second // between two looks at a node's readiness
	balanceMiss  = 2           // looks in a row that take a node out
)

// balance looks at the nodes' readiness as the platform's balancer does.
func (site *site) balance(ctx context.Context) {
	for ctx.Err() == nil && !site.over() {
		for index, node := range site.nodes {
			if site.ready(index) {
				node.missed.Store(0)
			} else {
				node.missed.Add(1)
			}
		}
		pause(ctx, balanceEvery)
	}
}

func (site *site) inRotation(index int) bool { return site.nodes[index].missed.Load() < balanceMiss }

// troubles plays the steps in time.
func (site *site) troubles(ctx context.Context, steps []ScheduledFault) {
	began := time.Now()
	for _, scheduledfault := range steps {
		pause(ctx, time.Until(began.Add(scheduledfault.At)))
		if ctx.Err() != nil {
			return
		}
		site.apply(scheduledfault)
	}
}

// tally counts requests.
type tally struct {
	asked      atomic.Int64
	served     atomic.Int64
	last       atomic.Bool
	lastAsked  atomic.Int64
	lastServed atomic.Int64
}

func (tally *tally) count(served, last bool) {
	add := func(asked, done *atomic.Int64) {
		asked.Add(1)
		if served {
			done.Add(1)
		}
	}
	add(&tally.asked, &tally.served)
	if last {
		add(&tally.lastAsked, &tally.lastServed)
	}
}

func (tally *tally) share() RequestCounts {
	return RequestCounts{Sent: int(tally.lastAsked.Load()), Served: int(tally.lastServed.Load())}
}

// callers run until the function that it gives is called.
func (site *site) callers(ctx context.Context, tally *tally) func() {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for index := range site.config.Scale.Callers {
		group.Go(func() {
			client := &client{site: site, name: fmt.Sprintf("caller-%d", index), random: rand.New(rand.NewPCG(site.config.Seed, uint64(index)))}
			for ctx.Err() == nil {
				last := tally.last.Load()
				if served, counts := client.ask(); counts {
					tally.count(served, last)
				}
				pause(ctx, time.Duration(client.random.Int64N(int64(mostPause))))
			}
			client.caller.Disconnect()
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// client is one caller that keeps its connection, also to a node that leaves.
type client struct {
	site   *site
	name   string
	random *rand.Rand
	node   int
	asked  int
	caller fakes.Caller
}

// ask sends one request; counts is false where the caller left by itself.
func (client *client) ask() (served, counts bool) {
	site := client.site
	if client.caller.Address == "" || client.random.IntN(100) < hangPct {
		client.move()
	}
	request, kind := client.draw()
	leaves := kind == kindStream && client.random.IntN(100) < leavePct
	site.judge.sent(request, kind, client.node)
	if leaves {
		timer := time.AfterFunc(leaveAfter, func() {
			site.judge.left(request.ID)
			client.caller.Disconnect()
		})
		defer timer.Stop()
	}
	answer := client.caller.Do(request, askLimit)
	site.judge.answered(request.ID, answer)
	if answer.Err != nil || answer.Status >= http.StatusInternalServerError {
		client.move()
	}
	return answer.Err == nil && answer.Status == http.StatusOK, !leaves
}

// move goes to a node that the balancer would give; it knows who is ready.
func (client *client) move() {
	client.caller.Disconnect()
	order := client.random.Perm(len(client.site.nodes))
	client.node = order[0]
	for _, index := range order {
		if client.site.inRotation(index) {
			client.node = index
			break
		}
	}
	client.caller.Address = client.site.nodes[client.node].callers.Address()
}

func (client *client) draw() (fakes.Request, kind) {
	client.asked++
	request := fakes.Request{ID: fmt.Sprintf("%s-%d", client.name, client.asked), Key: client.site.key(), Method: "POST", Timeout: 8 * time.Second, Body: []byte(`{"n":` + fmt.Sprint(client.asked) + `}`)}
	switch client.random.IntN(4) {
	case 0:
		request.Path = fakes.PathUnsafe + "slot?day=" + fmt.Sprint(client.random.IntN(30))
		return request, kindOnce
	case 1:
		request.Method, request.Path, request.Body = "GET", fakes.PathSafe+"slot", nil
		return request, kindSafe
	case 2:
		request.Model = fakes.ModelLarge
	default:
		request.Model = fakes.ModelSmall
	}
	request.Path = fakes.PathStream + "now"
	return request, kindStream
}
