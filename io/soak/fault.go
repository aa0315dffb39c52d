package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one trouble from outside: each of the types below.
type Fault interface {
	fault()
}

// NodesKilled ends nodes at once; they start again after a while.
type NodesKilled struct{ Nodes []int }

// NodePaused stands a node still.
type NodePaused struct{ Node int }

// NodeRestarted asks a node to end, and starts it again.
type NodeRestarted struct{ Node int }

// NodeReloaded has a node read its settings again.
type NodeReloaded struct{ Node int }

// StoreLinkFault troubles a node's way to the store.
type StoreLinkFault struct {
	Node int
	Mode Mode
}

// CallerLinkFault troubles the callers' way to a node.
type CallerLinkFault struct {
	Node int
	Mode Mode
}

// RunnerLinkFault troubles the nodes' way to a runner.
type RunnerLinkFault struct {
	Runner int
	Mode   Mode
}

// RunnerKilled ends a runner; it starts again under its name or a new one.
type RunnerKilled struct {
	Runner  int
	Renamed bool
}

// RunnerPaused stands a runner still.
type RunnerPaused struct{ Runner int }

// RunnerDrained has a runner leave as planned; another one takes its place.
type RunnerDrained struct{ Runner int }

// RunnerUnlisted cuts a runner from the store's list, not from nodes.
type RunnerUnlisted struct{ Runner int }

// StoreOutage has the store refuse every call.
type StoreOutage struct{}

// StoreSlow has the store take long for each answer.
type StoreSlow struct{}

// StoreAnswersLost has the store lose the answers of some writes.
type StoreAnswersLost struct{ Count int }

// StoreCommitsDelayed has some writes land late, without an answer.
type StoreCommitsDelayed struct{ Count int }

// StoreHistoryDropped drops the store's history.
type StoreHistoryDropped struct{}

// RouteAdded and the two below change the operators' configuration.
type RouteAdded struct{}

// RouteDropped takes the oldest added route away.
type RouteDropped struct{}

// KeyRevoked takes a key away and adds another.
type KeyRevoked struct{}

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
func (RouteAdded) fault()          {}
func (RouteDropped) fault()        {}
func (KeyRevoked) fault()          {}

// ScheduledFault is a fault with its time after the start of the troubles.
type ScheduledFault struct {
	At       time.Duration
	Duration time.Duration
	Fault    Fault
}

// Scale is how much of everything a run has.
type Scale struct {
	Nodes        int
	ModelRunners int // model runners
	PlainRunners int // plain runners
	Callers      int
	Duration     time.Duration // of the troubles
}

const (
	meanGap   = 600 * time.Millisecond // between two faults
	shortest  = 300 * time.Millisecond // that a fault lasts
	longest   = 4 * time.Second
	seriesPct = 15 // of the faults that come as a series, in quick succession
	seriesGap = 120 * time.Millisecond
)

// GenerateSchedule makes the troubles of a seed. They overlap, and some come in series: a
// node that is stopped while it starts, a link that is cut while another heals.
func GenerateSchedule(seed uint64, scale Scale) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, seed))
	var steps []ScheduledFault
	for at := time.Duration(0); at < scale.Duration; {
		count := 1
		if random.IntN(100) < seriesPct {
			count = 2 + random.IntN(4)
		}
		kind := random.IntN(drawnKinds)
		for range count {
			length := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
			steps = append(steps, ScheduledFault{At: at, Duration: length, Fault: draw(kind, random, scale)})
			at += seriesGap
		}
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
	}
	return steps
}

const drawnKinds = 24

var modes = []Mode{ModeSlow, ModeBlackhole, ModeBlockUpstream, ModeBlockDownstream, ModeReset}

func draw(kind int, random *rand.Rand, scale Scale) Fault {
	node, runner := random.IntN(scale.Nodes), random.IntN(scale.ModelRunners+scale.PlainRunners)
	mode := modes[random.IntN(len(modes))]
	switch kind {
	case 0:
		return NodesKilled{Nodes: []int{node}}
	case 1:
		all := random.Perm(scale.Nodes)
		return NodesKilled{Nodes: slices.Clone(all[:1+random.IntN(scale.Nodes)])}
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
