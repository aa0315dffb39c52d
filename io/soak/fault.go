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

// NodeLeaves asks a node to end, and starts it again.
type NodeLeaves struct{ Node int }

// NodeReloads has a node read its settings again.
type NodeReloads struct{ Node int }

// StoreLink troubles a node's way to the store.
type StoreLink struct {
	Node int
	Mode Mode
}

// CallerLink troubles the callers' way to a node.
type CallerLink struct {
	Node int
	Mode Mode
}

// RunnerLink troubles the nodes' way to a runner.
type RunnerLink struct {
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

// RunnerDrains has a runner leave as planned; another one takes its place.
type RunnerDrains struct{ Runner int }

// RunnerUnlisted cuts a runner from the store's list, not from nodes.
type RunnerUnlisted struct{ Runner int }

// StoreAway has the store refuse every call.
type StoreAway struct{}

// StoreSlow has the store take long for each answer.
type StoreSlow struct{}

// StoreLoses has the store lose the answers of some writes.
type StoreLoses struct{ Count int }

// StoreLate has some writes land late, without an answer.
type StoreLate struct{ Count int }

// StoreForgets drops the store's history.
type StoreForgets struct{}

// RouteAdded and the two below change the operators' configuration.
type RouteAdded struct{}

// RouteDropped takes the oldest added route away.
type RouteDropped struct{}

// KeyRevoked takes a key away and adds another.
type KeyRevoked struct{}

func (NodesKilled) fault()    {}
func (NodePaused) fault()     {}
func (NodeLeaves) fault()     {}
func (NodeReloads) fault()    {}
func (StoreLink) fault()      {}
func (CallerLink) fault()     {}
func (RunnerLink) fault()     {}
func (RunnerKilled) fault()   {}
func (RunnerPaused) fault()   {}
func (RunnerDrains) fault()   {}
func (RunnerUnlisted) fault() {}
func (StoreAway) fault()      {}
func (StoreSlow) fault()      {}
func (StoreLoses) fault()     {}
func (StoreLate) fault()      {}
func (StoreForgets) fault()   {}
func (RouteAdded) fault()     {}
func (RouteDropped) fault()   {}
func (KeyRevoked) fault()     {}

// Step is a fault with its time after the start of the troubles.
type Step struct {
	At    time.Duration
	For   time.Duration
	Fault Fault
}

// Size is how much of everything a run has.
type Size struct {
	Nodes   int
	Models  int // model runners
	Plains  int // plain runners
	Callers int
	Length  time.Duration // of the troubles
}

const (
	meanGap   = 600 * time.Millisecond // between two faults
	shortest  = 300 * time.Millisecond // that a fault lasts
	longest   = 4 * time.Second
	seriesPct = 15 // of the faults that come as a series, in quick succession
	seriesGap = 120 * time.Millisecond
)

// Draw makes the troubles of a seed. They overlap, and some come in series: a
// node that is stopped while it starts, a link that is cut while another heals.
func Draw(seed uint64, size Size) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for at := time.Duration(0); at < size.Length; {
		count := 1
		if random.IntN(100) < seriesPct {
			count = 2 + random.IntN(4)
		}
		kind := random.IntN(drawnKinds)
		for range count {
			length := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
			steps = append(steps, Step{At: at, For: length, Fault: draw(kind, random, size)})
			at += seriesGap
		}
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
	}
	return steps
}

const drawnKinds = 24

var modes = []Mode{ModeSlow, ModeSilent, ModeUp, ModeDown, ModeReset}

func draw(kind int, random *rand.Rand, size Size) Fault {
	node, runner := random.IntN(size.Nodes), random.IntN(size.Models+size.Plains)
	mode := modes[random.IntN(len(modes))]
	switch kind {
	case 0:
		return NodesKilled{Nodes: []int{node}}
	case 1:
		all := random.Perm(size.Nodes)
		return NodesKilled{Nodes: slices.Clone(all[:1+random.IntN(size.Nodes)])}
	case 2, 3:
		return NodePaused{Node: node}
	case 4, 5:
		return NodeLeaves{Node: node}
	case 6:
		return NodeReloads{Node: node}
	case 7, 8:
		return StoreLink{Node: node, Mode: mode}
	case 9:
		return CallerLink{Node: node, Mode: mode}
	case 10, 11:
		return RunnerLink{Runner: runner, Mode: mode}
	case 12, 13:
		return RunnerKilled{Runner: runner, Renamed: random.IntN(2) == 0}
	case 14:
		return RunnerPaused{Runner: runner}
	case 15:
		return RunnerDrains{Runner: runner}
	case 16:
		return RunnerUnlisted{Runner: runner}
	case 17:
		return StoreAway{}
	case 18:
		return StoreSlow{}
	case 19:
		return StoreLoses{Count: 1 + random.IntN(3)}
	case 20:
		return StoreLate{Count: 1 + random.IntN(3)}
	case 21:
		return StoreForgets{}
	case 22:
		return RouteAdded{}
	default:
		return []Fault{RouteDropped{}, KeyRevoked{}}[random.IntN(2)]
	}
}
