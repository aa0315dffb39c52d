package worth

import (
	"cmp"
	"slices"
)

// Option is a plan of one domain.
type Option struct {
	Counts []int   // replicas of each model
	Cost   float64 // in hosts
}

// state is the best way to reach a number of replicas of each model with the options of
// the first domains.
type state struct {
	totals []int
	cost   float64
	value  float64 // of the totals, less the cost
	from   int     // index of the state of the domains before
	option int     // of the last domain
}

// maxStates limits the numbers of replicas that are compared per domain. Two models of 8 and
// 2 hosts have about as many on 162 hosts; with more, those with the lowest values are
// dropped, so that a node with a tenth of a core is not kept busy.
const maxStates = 1600

// Best returns the index of the option of each domain with which the value of all
// replicas, less the costs, is highest. Among equals it takes the first ones. It is exact
// unless a domain has more than maxStates reachable totals.
func Best(models []Model, domains [][]Option) []int {
	layers := [][]state{{{totals: make([]int, len(models))}}}
	for d, options := range domains {
		layers = append(layers, extend(models, layers[d], options, radix(domains, len(models))))
	}
	chosen := make([]int, len(domains))
	index := 0 // the states of a layer are sorted by value
	for d := len(domains); d > 0; d-- {
		chosen[d-1] = layers[d][index].option
		index = layers[d][index].from
	}
	return chosen
}

// radix returns for each model a number above all its possible totals.
func radix(domains [][]Option, models int) []int {
	radix := make([]int, models)
	for m := range radix {
		radix[m] = 1
		for _, options := range domains {
			most := 0
			for _, option := range options {
				most = max(most, option.Counts[m])
			}
			radix[m] += most
		}
	}
	return radix
}

// extend returns the states that the options of one more domain lead to, those with the
// highest values first.
func extend(models []Model, before []state, options []Option, radix []int) []state {
	var after []state
	index := newPositions(radix)
	for i := range before {
		for o := range options {
			key := 0
			for m, count := range options[o].Counts {
				key = key*radix[m] + before[i].totals[m] + count
			}
			cost := before[i].cost + options[o].Cost
			at, found := index.find(key, len(after))
			switch {
			case !found:
				after = append(after, state{totals: sum(before[i].totals, options[o].Counts), cost: cost, from: i, option: o})
			case cost < after[at].cost:
				after[at].cost, after[at].from, after[at].option = cost, i, o
			}
		}
	}
	for i := range after {
		after[i].value = Value(models, after[i].totals) - after[i].cost
	}
	slices.SortStableFunc(after, func(a, b state) int { return cmp.Compare(b.value, a.value) })
	return after[:min(len(after), maxStates)]
}

// positions finds the position of a state by the key of its totals: in a slice as long as
// that is short, else in a map.
type positions struct {
	dense  []int32 // position plus one
	sparse map[int]int
}

// maxDense is the length up to which a slice is used.
const maxDense = 1 << 15

// newPositions returns empty positions for keys with a radix for each model.
func newPositions(radix []int) positions {
	keys := 1
	for _, size := range radix {
		keys *= size
		if keys > maxDense {
			return positions{sparse: map[int]int{}}
		}
	}
	return positions{dense: make([]int32, keys)}
}

// find returns the position of a key and whether it has one. If not, it gives it the next
// position.
func (positions positions) find(key, next int) (int, bool) {
	if positions.dense == nil {
		at, found := positions.sparse[key]
		if !found {
			positions.sparse[key] = next
		}
		return at, found
	}
	if at := positions.dense[key]; at > 0 {
		return int(at) - 1, true
	}
	positions.dense[key] = int32(next) + 1
	return 0, false
}

// Value returns the value of a number of replicas of each model.
func Value(models []Model, totals []int) float64 {
	value := 0.0
	for m, model := range models {
		value += model.Value(totals[m])
	}
	return value
}

// sum adds two lists of the same length.
func sum(a, b []int) []int {
	added := slices.Clone(a)
	for i := range b {
		added[i] += b[i]
	}
	return added
}
