package soak

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"hickorybend/platform/fakes"
)

// Fault is a fault that the soak injects: one of the types below.
type Fault interface {
	fault()
}

// NodesKilled kills nodes; they start again after the fault's duration.
type NodesKilled struct{ Nodes []int }

// NodePaused pauses the process of a node with SIGSTOP.
type NodePaused struct{ Node int }

// NodeRestarted shuts a node down with SIGTERM and starts it again.
type NodeRestarted struct{ Node int }

// NodeReloaded sends SIGHUP, which makes a node read its settings again.
type NodeReloaded struct{ Node int }

// StoreLinkFault disturbs a node's connections to the store.
type StoreLinkFault struct {
	Node int
	Mode Mode
}

// CallerLinkFault disturbs the callers' connections to a node.
type CallerLinkFault struct {
	Node int
	Mode Mode
}

// RunnerLinkFault disturbs the nodes' connections to a runner.
type RunnerLinkFault struct {
	Runner int
	Mode   Mode
}

// RunnerKilled kills a runner; it starts again under the same name or a new one.
type RunnerKilled struct {
	Runner  int
	Renamed bool
}

// RunnerPaused pauses the process of a runner with SIGSTOP.
type RunnerPaused struct{ Runner int }

// RunnerDrained drains a runner with SIGTERM; another one takes its place.
type RunnerDrained struct{ Runner int }

// RunnerUnlisted keeps a runner's row out of the store; nodes can still reach the
// runner.
type RunnerUnlisted struct{ Runner int }

// StoreOutage makes the store answer every request with status 503.
type StoreOutage struct{}

// StoreSlow delays every answer of the store.
type StoreSlow struct{}

// StoreAnswersLost makes the next Count commits take effect without an answer.
type StoreAnswersLost struct{ Count int }

// StoreCommitsDelayed makes the next Count commits take effect late and without
// an answer.
type StoreCommitsDelayed struct{ Count int }

// StoreHistoryDropped drops the store's history of changes, so that nodes that
// follow it must read the tables again.
type StoreHistoryDropped struct{}

// StoreWentBack undoes the last Changes of the store, which begins an era. The
// configuration is written again when the fault ends, rows of runners before.
type StoreWentBack struct{ Changes int }

// RouteAdded adds a route to the operators' configuration.
type RouteAdded struct{}

// RouteDropped removes the oldest added route from the operators' configuration.
type RouteDropped struct{}

// KeyRevoked adds an API key for callers to the operators' configuration and later
// removes the oldest one.
type KeyRevoked struct{}

// RunnersPaused pauses the processes of Count runners, from First on, with SIGSTOP.
// Unlike a RunnerPaused it is no longer than maxPause, and excuses no answer that is cut
// off.
type RunnersPaused struct{ First, Count int }

// RunnerBusy has a runner reject all requests with a Retry-After header.
type RunnerBusy struct {
	Runner     int
	RetryAfter time.Duration // longer than the fault, or shorter
}

// RunnerLimited has a runner state how many requests a second it takes.
type RunnerLimited struct {
	Runner    int
	PerSecond int
}

// CrashingRequests sends streams with a part of the prompt on which runners crash.
type CrashingRequests struct{}

// ConfigStorm changes the operators' configuration Count times in a row: routes,
// timeouts, weights and teams.
type ConfigStorm struct{ Count int }

// RunnerContradicts has a runner answer all requests, after it has run them, in a way that says
// that they have not run and contradicts that. Script is an index of fakes.Contradictions.
type RunnerContradicts struct{ Runner, Script int }

// RunnersRefuse has Count runners, from First on, reject all requests with a Retry-After header that
// is over when callers come again.
type RunnersRefuse struct {
	First, Count int
	RetryAfter   time.Duration
}

// AnswersCopied has Count runners, from First on, write copies of their answers on connections that
// are used again.
type AnswersCopied struct {
	First, Count int
	Duplicates   fakes.Duplicates
}

// ConnectionsKept has Count runners, from First on, state a Keep-Alive timeout, so that nodes use
// connections again also for requests that may run once.
type ConnectionsKept struct {
	First, Count int
	Timeout      time.Duration
}

// NodeCutOff cuts a node off from all runners, but not from the store and the other nodes.
type NodeCutOff struct{ Node int }

func (NodesKilled) fault()         {}
func (NodePaused) fault()          {}
func (NodeRestarted) fault()       {}
func (NodeReloaded) fault()        {}
func (StoreLinkFault) fault()      {}
func (CallerLinkFault) fault()     {}
func (RunnerLinkFault) fault()     {}
func (RunnerKilled) fault()        {}
func (RunnerPaused) fault()        {}
func (RunnerDrained) fault()       {}
func (RunnerUnlisted) fault()      {}
func (StoreOutage) fault()         {}
func (StoreSlow) fault()           {}
func (StoreAnswersLost) fault()    {}
func (StoreCommitsDelayed) fault() {}
func (StoreHistoryDropped) fault() {}
func (StoreWentBack) fault()       {}
func (RouteAdded) fault()          {}
func (RouteDropped) fault()        {}
func (KeyRevoked) fault()          {}
func (RunnersPaused) fault()       {}
func (RunnerBusy) fault()          {}
func (RunnerLimited) fault()       {}
func (CrashingRequests) fault()    {}
func (ConfigStorm) fault()         {}
func (RunnerContradicts) fault()   {}
func (RunnersRefuse) fault()       {}
func (AnswersCopied) fault()       {}
func (ConnectionsKept) fault()     {}
func (NodeCutOff) fault()          {}

// Injection is a fault with its time and duration.
type Injection struct {
	At       time.Duration // after the start of the injection
	Duration time.Duration
	Fault    Fault
}

// Scale is the size of a run.
type Scale struct {
	Nodes        int
	ModelRunners int // of the model service, in replicas
	PlainRunners int // of the plain service, without replicas
	Callers      int
	Duration     time.Duration // in which faults begin
}

const (
	meanInterval     = 600 * time.Millisecond // mean of the random time between two faults, or bursts
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	burstPercent     = 15                     // chance that a draw is a burst of two to five faults of one kind
	burstInterval    = 120 * time.Millisecond // added after each fault
)

// GenerateSchedule draws the faults of a seed. Faults overlap, and some come in
// bursts of one kind, so that a node is stopped while it starts, or a link is cut
// while another recovers. The order of the draws must stay, or each seed gets
// another schedule.
func GenerateSchedule(seed uint64, scale Scale) []Injection {
	random := rand.New(rand.NewPCG(seed, seed))
	var schedule []Injection
	for at := time.Duration(0); at < scale.Duration; {
		count := 1
		if random.IntN(100) < burstPercent {
			count = 2 + random.IntN(4)
		}
		kind := random.IntN(faultKinds)
		for range count {
			duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
			schedule = append(schedule, Injection{At: at, Duration: duration, Fault: drawFault(kind, random, scale)})
			at += burstInterval
		}
		at += time.Duration(random.ExpFloat64() * float64(meanInterval))
	}
	schedule = append(schedule, drawLosses(seed, scale)...)
	schedule = append(schedule, drawSilences(seed, scale)...)
	schedule = append(schedule, drawContradictions(seed, scale)...)
	schedule = append(schedule, drawCopies(seed, scale)...)
	schedule = append(schedule, drawEvacuations(seed, scale)...)
	slices.SortStableFunc(schedule, func(a, b Injection) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

const (
	meanLossInterval = 5 * time.Second // mean of the random time between two losses
	maxLossDuration  = time.Second     // until the operators have written the configuration again
	maxLostChanges   = 120
)

// drawLosses draws when the store loses its last changes. They are drawn apart from
// the other faults, which each seed had before.
func drawLosses(seed uint64, scale Scale) []Injection {
	random := rand.New(rand.NewPCG(seed, ^seed))
	var losses []Injection
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanLossInterval)) }
	for at := next(); at < scale.Duration; at += next() {
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxLossDuration-minFaultDuration)))
		losses = append(losses, Injection{At: at, Duration: duration, Fault: StoreWentBack{Changes: 1 + random.IntN(maxLostChanges)}})
	}
	return losses
}

const (
	meanSilenceInterval = 3 * time.Second // mean of the random time between two draws of drawSilences
	minPause            = time.Second
	maxPause            = 2 * time.Second
	pauseSeries         = 3                      // pauses in a series
	pauseInterval       = 700 * time.Millisecond // between two pauses of a series
	maxStormChanges     = 8
	minBusySeconds      = 2
	maxBusySeconds      = 5
	maxLimit            = 5 // requests a second
)

// drawSilences draws when runners pause, often beside changes of the configuration, when
// they are busy or state limits, and when requests crash them. They are drawn apart from
// the faults that each seed had before.
func drawSilences(seed uint64, scale Scale) []Injection {
	random := rand.New(rand.NewPCG(^seed, seed))
	runners := scale.ModelRunners + scale.PlainRunners
	var schedule []Injection
	add := func(at, duration time.Duration, fault Fault) {
		schedule = append(schedule, Injection{At: at, Duration: duration, Fault: fault})
	}
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanSilenceInterval)) }
	for at := next(); at < scale.Duration; at += next() {
		first, pause := random.IntN(runners), minPause+time.Duration(random.Int64N(int64(maxPause-minPause)))
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if random.IntN(2) == 0 {
			add(at, 0, ConfigStorm{Count: 1 + random.IntN(maxStormChanges)})
		}
		switch random.IntN(7) {
		case 0, 1:
			add(at, pause, RunnersPaused{First: first, Count: 1})
		case 2:
			add(at, pause, RunnersPaused{First: first, Count: runners / 2})
		case 3:
			for i := range pauseSeries {
				add(at+time.Duration(i)*pauseInterval, pause, RunnersPaused{First: first + i, Count: 1 + random.IntN(2)})
			}
		case 4:
			add(at, duration, RunnerBusy{Runner: first, RetryAfter: time.Duration(minBusySeconds+random.IntN(1+maxBusySeconds-minBusySeconds)) * time.Second})
		case 5:
			add(at, duration, RunnerLimited{Runner: first, PerSecond: 1 + random.IntN(maxLimit)})
		default:
			add(at, duration, CrashingRequests{})
		}
	}
	return schedule
}

const meanContradictionInterval = 2500 * time.Millisecond // mean of the random time between two

// drawContradictions draws when runners contradict themselves, apart from the other faults.
func drawContradictions(seed uint64, scale Scale) []Injection {
	random := rand.New(rand.NewPCG(^seed, ^seed))
	var schedule []Injection
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanContradictionInterval)) }
	for at := next(); at < scale.Duration; at += next() {
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		fault := RunnerContradicts{Runner: random.IntN(scale.ModelRunners + scale.PlainRunners), Script: random.IntN(len(fakes.Contradictions()))}
		schedule = append(schedule, Injection{At: at, Duration: duration, Fault: fault})
	}
	return schedule
}

const (
	meanCopiesInterval = 2 * time.Second // mean of the random time between two draws of drawCopies
	maxCopyDelay       = 100 * time.Millisecond
	minRefusal         = 100 * time.Millisecond
	maxRefusal         = 600 * time.Millisecond
	minAccepted        = 200 * time.Millisecond // between two refusals of a series
	maxAccepted        = 1200 * time.Millisecond
	maxRefusals        = 5 // of a series
	minRetryAfter      = 5 * time.Millisecond
	maxRetryAfter      = 100 * time.Millisecond // less than busyNotice
	minKeepAlive       = 2                      // seconds
	maxKeepAlive       = 6
	minCutOff          = 2500 * time.Millisecond // longer than a node takes to find out that it is cut off
)

// drawCopies draws when runners write copies of their answers, mostly after or while they refuse
// everything, and often beside a node that is cut off from them. They are drawn apart from the other
// faults.
func drawCopies(seed uint64, scale Scale) []Injection {
	random := rand.New(rand.NewPCG(seed, bits.Reverse64(seed)+1))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var schedule []Injection
	add := func(at, duration time.Duration, fault Fault) {
		schedule = append(schedule, Injection{At: at, Duration: duration, Fault: fault})
	}
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanCopiesInterval)) }
	for at := next(); at < scale.Duration; at += next() {
		first, count := drawRunners(random, scale)
		copies := AnswersCopied{First: first, Count: count, Duplicates: fakes.Duplicates{Refusals: random.IntN(4) > 0, SameID: random.IntN(3) > 0, Delay: between(time.Microsecond, maxCopyDelay)}}
		kept := ConnectionsKept{First: first, Count: count, Timeout: time.Duration(minKeepAlive+random.IntN(1+maxKeepAlive-minKeepAlive)) * time.Second}
		refused := RunnersRefuse{First: first, Count: count, RetryAfter: between(minRetryAfter, maxRetryAfter)}
		refuses, afterwards := random.IntN(5) > 0, random.IntN(3) > 0
		end := at
		for range 1 + random.IntN(maxRefusals) {
			refusal, accepted := between(minRefusal, maxRefusal), between(minAccepted, maxAccepted)
			if end >= scale.Duration {
				break
			}
			if refuses {
				add(end, refusal, refused)
			}
			if afterwards {
				add(end+refusal, accepted, copies)
			}
			end += refusal + accepted
		}
		if !afterwards {
			add(at, end-at, copies)
		}
		add(at, end-at, kept)
		if random.IntN(3) == 0 {
			add(at, between(minCutOff, maxFaultDuration), NodeCutOff{Node: random.IntN(scale.Nodes)})
		}
	}
	return schedule
}

// drawRunners draws all runners of the plain service, all runners, or one.
func drawRunners(random *rand.Rand, scale Scale) (first, count int) {
	runners := scale.ModelRunners + scale.PlainRunners
	switch random.IntN(5) {
	case 0, 1, 2:
		return scale.ModelRunners, scale.PlainRunners
	case 3:
		return 0, runners
	default:
		return random.IntN(runners), 1
	}
}

const faultKinds = 24 // cases of drawFault; frequent faults have two

var modes = []Mode{ModeSlow, ModeBlackhole, ModeBlockUpstream, ModeBlockDownstream, ModeReset}

// drawFault draws a fault of a kind. It draws a node, a runner and a mode also for
// kinds that need none of them.
func drawFault(kind int, random *rand.Rand, scale Scale) Fault {
	node, runner := random.IntN(scale.Nodes), random.IntN(scale.ModelRunners+scale.PlainRunners)
	mode := modes[random.IntN(len(modes))]
	switch kind {
	case 0:
		return NodesKilled{Nodes: []int{node}}
	case 1:
		order := random.Perm(scale.Nodes)
		return NodesKilled{Nodes: slices.Clone(order[:1+random.IntN(scale.Nodes)])}
	case 2, 3:
		return NodePaused{Node: node}
	case 4, 5:
		return NodeRestarted{Node: node}
	case 6:
		return NodeReloaded{Node: node}
	case 7, 8:
		return StoreLinkFault{Node: node, Mode: mode}
	case 9:
		return CallerLinkFault{Node: node, Mode: mode}
	case 10, 11:
		return RunnerLinkFault{Runner: runner, Mode: mode}
	case 12, 13:
		return RunnerKilled{Runner: runner, Renamed: random.IntN(2) == 0}
	case 14:
		return RunnerPaused{Runner: runner}
	case 15:
		return RunnerDrained{Runner: runner}
	case 16:
		return RunnerUnlisted{Runner: runner}
	case 17:
		return StoreOutage{}
	case 18:
		return StoreSlow{}
	case 19:
		return StoreAnswersLost{Count: 1 + random.IntN(3)}
	case 20:
		return StoreCommitsDelayed{Count: 1 + random.IntN(3)}
	case 21:
		return StoreHistoryDropped{}
	case 22:
		return RouteAdded{}
	default:
		return []Fault{RouteDropped{}, KeyRevoked{}}[random.IntN(2)]
	}
}
