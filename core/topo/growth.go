package topo

// Counters are totals since a start, by name. They are not changed once sent.
type Counters map[string]int64

// Growth adds up by how much the counters of all nodes have grown. It differences the totals
// of each source: in a sum of totals, a node that comes back or joins would look like as much
// growth as it has ever had.
type Growth struct {
	previous map[Source]Counters
}

// Since returns by how much the counters of each group of sources have grown since the last
// call, in the groups' order: of a group's sources, by the one that grew most. A source that
// the last call did not have, or whose counters have become lower, has not grown.
func (growth *Growth) Since(groups [][]Source, counters func(Source) Counters) []Counters {
	previous := growth.previous
	growth.previous = make(map[Source]Counters, len(previous))
	grown := make([]Counters, len(groups))
	for i, group := range groups {
		grown[i] = Counters{}
		for _, source := range group {
			current := counters(source)
			growth.previous[source] = current
			if before, known := previous[source]; known {
				grown[i].raiseByGrowth(before, current)
			}
		}
	}
	return grown
}

func (counters Counters) raiseByGrowth(before, current Counters) {
	for name, total := range current {
		if total > before[name] {
			counters[name] = max(counters[name], total-before[name])
		}
	}
}

// Add adds others to the counters.
func (counters Counters) Add(others Counters) {
	for name, count := range others {
		counters[name] += count
	}
}
