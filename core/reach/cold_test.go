package reach_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/limit"
	"hickorybend/core/reach"
)

// coldReplay lets many nodes choose endpoints, with loads of each other that are half a second
// old, while some of the endpoints are cold.
type coldReplay struct {
	nodes, endpoints int
	cold             func(endpoint int, at time.Duration) bool
	perSecond        float64 // mean of a periodic load of ±0.55
	arrivals         map[int][]time.Duration
	rejected, all    int // requests
}

const (
	replayTime     = 20 * time.Second
	replayStep     = 5 * time.Millisecond
	answerTime     = 1200 * time.Millisecond // that an answer takes
	replaySlots    = 20
	replayPeriod   = 13                     // seconds
	replayNews     = 450 * time.Millisecond // at most, until a node knows that an endpoint has turned cold
	digestInterval = 500 * time.Millisecond
)

func (coldreplay *coldReplay) run(seed uint64) {
	random, start := rand.New(rand.NewPCG(seed, 9)), time.Unix(1000, 0)
	var members []string
	for i := range coldreplay.nodes {
		members = append(members, fmt.Sprint("node-", i))
	}
	pools, inFlight := make([]*reach.ServicePool, coldreplay.nodes), make([][]int, coldreplay.nodes)
	for node := range pools {
		pools[node], inFlight[node] = &reach.ServicePool{Service: "app"}, make([]int, coldreplay.endpoints)
		for endpoint := range coldreplay.endpoints {
			pools[node].Plain = append(pools[node].Plain, &reach.Candidate{
				ID: fmt.Sprint(endpoint), Slots: replaySlots, SameZone: endpoint%3 == node%3, TieBreak: random.Float64(), Load: &reach.Load{},
			})
		}
	}
	type end struct {
		at             time.Duration
		node, endpoint int
	}
	var ends []end
	coldreplay.arrivals, coldreplay.rejected, coldreplay.all = map[int][]time.Duration{}, 0, 0
	due := 0.0
	news := make([]time.Duration, coldreplay.nodes)
	for node := range news {
		news[node] = time.Duration(random.Int64N(int64(replayNews)))
	}
	for at := time.Duration(0); at < replayTime; at += replayStep {
		for node := range pools {
			coldreplay.learn(pools[node], members, node, at-news[node], start.Add(at))
		}
		if at%digestInterval == 0 {
			for endpoint := range coldreplay.endpoints {
				sum := 0
				for node := range pools {
					sum += inFlight[node][endpoint]
				}
				for node := range pools {
					pools[node].Plain[endpoint].Load.SetPeerLoad(sum-inFlight[node][endpoint], 0)
				}
			}
		}
		for len(ends) > 0 && ends[0].at <= at {
			inFlight[ends[0].node][ends[0].endpoint]--
			pools[ends[0].node].Plain[ends[0].endpoint].Load.End()
			ends = ends[1:]
		}
		due += coldreplay.perSecond * replayStep.Seconds() * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/replayPeriod))
		for ; due >= 1; due-- {
			node := random.IntN(coldreplay.nodes)
			now := start.Add(at)
			policy := reach.DefaultPolicy()
			decision := reach.Choose(policy, pools[node], reach.Request{Now: now, Deadline: now.Add(time.Second), SampleSize: policy.SampleSizeFor(coldreplay.nodes), Random: random.Float64()})
			coldreplay.all++
			send, sent := decision.(reach.Send)
			if !sent {
				coldreplay.rejected++
				continue
			}
			endpoint := slices.Index(pools[node].Plain, send.Candidate)
			send.Candidate.Load.Begin()
			inFlight[node][endpoint]++
			ends = append(ends, end{at + answerTime, node, endpoint})
			coldreplay.arrivals[endpoint] = append(coldreplay.arrivals[endpoint], at)
		}
	}
}

// learn limits a node's requests to the endpoints that are cold as of an earlier time.
func (coldreplay *coldReplay) learn(servicepool *reach.ServicePool, members []string, node int, asOf time.Duration, now time.Time) {
	quota := limit.Cold{PerSecond: 14, Over: 1.5, Slack: 5}
	for endpoint, candidate := range servicepool.Plain {
		isCold := coldreplay.cold(endpoint, asOf)
		if isCold == (len(candidate.Owners) > 0) {
			continue
		}
		if candidate.Owners = nil; !isCold {
			candidate.Load.RemoveRate()
			continue
		}
		candidate.Owners = []string{"known"}
		share := limit.ColdShare(candidate.ID, members[node], quota, members)
		if share > 0 {
			candidate.Load.HoldTurn(now.Add(time.Duration(candidate.TieBreak * float64(time.Second) / share)))
		}
		candidate.Load.SetRate(share)
	}
}

// expectReplay checks that no cold endpoint gets more than 26 requests in any second, that each
// gets some, and that the others take what they do not.
func expectReplay(t *testing.T, replay coldReplay, seed uint64) {
	t.Helper()
	replay.run(seed)
	most, coldRequests, coldSeconds, coldEndpoints, unused := 0, 0, 0.0, 0, 0
	for endpoint := range replay.endpoints {
		var arrived []time.Duration
		for _, at := range replay.arrivals[endpoint] {
			if replay.cold(endpoint, at) {
				arrived = append(arrived, at)
			}
		}
		for at := time.Duration(0); at < replayTime; at += replayStep {
			if replay.cold(endpoint, at) {
				coldSeconds += replayStep.Seconds()
			}
		}
		for i, at := range arrived {
			last, _ := slices.BinarySearch(arrived, at+time.Second)
			most = max(most, last-i)
		}
		if replay.cold(endpoint, replayTime/2) {
			coldEndpoints++
			if len(arrived) == 0 {
				unused++
			}
		}
		coldRequests += len(arrived)
	}
	t.Logf("%d nodes, %d of %d endpoints cold: at most %d in a second, %.1f a second each; %d of %d requests rejected",
		replay.nodes, coldEndpoints, replay.endpoints, most, float64(coldRequests)/coldSeconds, replay.rejected, replay.all)
	assert.Check(t, most <= 26, "%d requests in a second", most)
	assert.Check(t, unused == 0, "%d cold endpoints get nothing", unused)
	assert.Check(t, float64(replay.rejected) <= 0.01*float64(replay.all), "%d of %d requests rejected", replay.rejected, replay.all)
}

// TestColdEndpointsUnderLoad guards against bursts at endpoints that turn cold under load, in many
// sizes, against ones that stay idle meanwhile, and against requests that are rejected
// although warm endpoints have room.
func TestColdEndpointsUnderLoad(t *testing.T) {
	between := func(at, from, to time.Duration) bool { return at >= from && at < to }
	for _, test := range []struct {
		name   string
		replay coldReplay
	}{
		{"one of 70", coldReplay{nodes: 79, endpoints: 70, perSecond: 444, cold: func(endpoint int, at time.Duration) bool {
			return endpoint == 5 && between(at, 5*time.Second, 15*time.Second)
		}}},
		{"a zone", coldReplay{nodes: 79, endpoints: 70, perSecond: 444, cold: func(endpoint int, at time.Duration) bool {
			return endpoint%3 == 1 && between(at, 5*time.Second, 15*time.Second)
		}}},
		{"again and again", coldReplay{nodes: 79, endpoints: 70, perSecond: 444, cold: func(endpoint int, at time.Duration) bool {
			return endpoint%7 == 0 && int(at/time.Second)%4 >= 2
		}}},
		{"12 nodes", coldReplay{nodes: 12, endpoints: 20, perSecond: 120, cold: func(endpoint int, at time.Duration) bool {
			return endpoint%4 == 0 && between(at, 5*time.Second, 15*time.Second)
		}}},
		{"3 nodes", coldReplay{nodes: 3, endpoints: 8, perSecond: 48, cold: func(endpoint int, at time.Duration) bool {
			return endpoint == 0 && between(at, 5*time.Second, 15*time.Second)
		}}},
		{"133 nodes", coldReplay{nodes: 133, endpoints: 40, perSecond: 306, cold: func(endpoint int, at time.Duration) bool {
			return endpoint%3 == 0 && between(at, 5*time.Second, 15*time.Second)
		}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(5) {
				expectReplay(t, test.replay, seed)
			}
		})
	}
}
