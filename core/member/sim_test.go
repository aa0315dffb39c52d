package member_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"hickorybend/core/member"
)

const (
	simStep    = 250 * time.Millisecond
	simBad     = 0.002 // share of the exchanges that fail though both nodes live
	simZones   = 17
	simMaxMesh = 12
)

// cluster plays the views of the nodes that watch others and remove rows: all of a mesh, or else
// the leader of each zone and one node that takes their word.
type cluster struct {
	random    *rand.Rand
	now       time.Time
	zones     int
	alive     map[string]time.Time // since when
	diedAt    map[string]time.Time
	refuses   map[string]bool
	rows      map[string]bool
	frozen    map[string]time.Time // until when
	views     map[string]*member.Members
	watcherOf map[int]string          // by zone
	says      map[int]map[string]bool // which nodes are gone, by zone
	numbers   map[string]int
	next      int
	detected  []time.Duration
	removed   int
	commits   int
	returned  int // members that were held for gone though they live, for a while
	wrongly   []string
	apart     int // the first of so many zones do not reach the others
	heldWrong map[string]bool
	found     map[string]bool // that some node has held for gone
}

func newCluster(nodes int, seed uint64) *cluster {
	cluster := &cluster{
		random: rand.New(rand.NewPCG(seed, 3)), now: start, zones: simZones, alive: map[string]time.Time{}, diedAt: map[string]time.Time{}, refuses: map[string]bool{},
		rows: map[string]bool{}, frozen: map[string]time.Time{}, numbers: map[string]int{}, views: map[string]*member.Members{}, heldWrong: map[string]bool{}, found: map[string]bool{},
	}
	if nodes <= simMaxMesh {
		cluster.zones = 1
	}
	for range nodes {
		cluster.join()
	}
	return cluster
}

func (cluster *cluster) zoneOf(name string) int {
	return cluster.numbers[name] % cluster.zones
}

// join starts a node that has never run before.
func (cluster *cluster) join() {
	name := fmt.Sprintf("node-%05d", cluster.next)
	cluster.numbers[name] = cluster.next
	cluster.next++
	cluster.alive[name], cluster.rows[name] = cluster.now, true
	cluster.commits++
	for _, view := range cluster.views {
		view.Put(name, false, cluster.now)
	}
}

// die ends a node for good. Its host answers nothing, or refuses connections.
func (cluster *cluster) die(name string) {
	delete(cluster.alive, name)
	cluster.diedAt[name], cluster.refuses[name] = cluster.now, cluster.random.IntN(2) == 0
}

// living returns the living nodes in order.
func (cluster *cluster) living() []string {
	names := make([]string, 0, len(cluster.alive))
	for name := range cluster.alive {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// watchers returns the living nodes that watch others, and whether they watch only their zone.
func (cluster *cluster) watchers() map[string]bool {
	watchers, leaders := map[string]bool{}, map[int]bool{}
	for _, name := range cluster.living() {
		if zone := cluster.zoneOf(name); cluster.zones == 1 || !leaders[zone] {
			watchers[name], leaders[zone] = true, true
		}
	}
	return watchers
}

// view returns what a node knows; one that begins to watch has known the rows since it started, or
// since they were written.
func (cluster *cluster) view(name string) *member.Members {
	view := cluster.views[name]
	if view == nil {
		view = member.New(member.DefaultPolicy())
		for row := range cluster.rows {
			knownAt := cluster.alive[name]
			if cluster.alive[row].After(knownAt) {
				knownAt = cluster.alive[row]
			}
			if row != name {
				view.Put(row, false, knownAt)
			}
		}
		cluster.views[name] = view
	}
	return view
}

// reaches reports whether an exchange between two nodes succeeds.
func (cluster *cluster) reaches(from, to string) bool {
	_, lives := cluster.alive[to]
	split := cluster.apart > 0 && (cluster.zoneOf(from) < cluster.apart) != (cluster.zoneOf(to) < cluster.apart)
	draw := xxhash.Sum64String(fmt.Sprint(from, to, cluster.now.UnixNano())) // the same in whatever order members are asked
	return lives && !split && !cluster.now.Before(cluster.frozen[to]) && float64(draw>>11)/(1<<53) >= simBad
}

// step runs one time step of all watchers and of the node that places.
func (cluster *cluster) step(settledSince time.Time) {
	cluster.now = cluster.now.Add(simStep)
	watchers := cluster.watchers()
	for name := range cluster.views {
		if !watchers[name] {
			delete(cluster.views, name)
		}
	}
	names := make([]string, 0, len(watchers))
	for name := range watchers {
		if !cluster.now.Before(cluster.frozen[name]) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	cluster.watcherOf, cluster.says = map[int]string{}, map[int]map[string]bool{}
	for _, name := range names {
		zone := cluster.zoneOf(name)
		cluster.watcherOf[zone], cluster.says[zone] = name, map[string]bool{}
		for _, gone := range cluster.view(name).Gone() {
			cluster.says[zone][gone] = true
		}
	}
	for _, name := range names {
		cluster.watch(name)
	}
	if len(names) > 0 {
		cluster.remove(names[0], settledSince)
	}
}

// watch plays a watcher's exchanges: with the nodes of its zone, and of zones nobody of which lives.
func (cluster *cluster) watch(name string) {
	view, zone := cluster.view(name), cluster.zoneOf(name)
	watched := func(other string) bool {
		return cluster.zoneOf(other) == zone || cluster.watcherOf[cluster.zoneOf(other)] == ""
	}
	for other := range cluster.rows {
		if other != name && watched(other) && cluster.reaches(name, other) {
			view.Heard(other, cluster.now)
		}
	}
	for _, other := range view.Due(watched, cluster.now) {
		if !cluster.reaches(name, other) {
			view.Failed(other, cluster.refuses[other], cluster.now)
		}
	}
	view.Update(watched, func(other string) member.Word { return cluster.word(name, other) }, cluster.now)
	cluster.count(view)
}

// word returns what the watcher of another zone says of a node.
func (cluster *cluster) word(asks, of string) member.Word {
	zone := cluster.zoneOf(of)
	watcher, says := cluster.watcherOf[zone], cluster.says[zone]
	switch {
	case zone == cluster.zoneOf(asks) || watcher == "" || !cluster.reaches(asks, watcher):
		return member.WordNone
	case says[of]:
		return member.WordGone
	}
	return member.WordMember
}

// count records how long it took to find nodes gone, and living ones that are held for gone.
func (cluster *cluster) count(view *member.Members) {
	for _, change := range view.Changes() {
		if change.To != member.StateGone {
			continue
		}
		if diedAt, dead := cluster.diedAt[change.Name]; dead {
			if !cluster.found[change.Name] {
				cluster.found[change.Name] = true
				cluster.detected = append(cluster.detected, cluster.now.Sub(diedAt))
			}
			continue
		}
		if !cluster.heldWrong[change.Name] {
			cluster.heldWrong[change.Name] = true
			cluster.returned++
		}
	}
}

// remove plays the node that places.
func (cluster *cluster) remove(placer string, settledSince time.Time) {
	name, found := cluster.view(placer).Removal(settledSince, cluster.now)
	if !found {
		return
	}
	cluster.commits++
	if _, lives := cluster.alive[name]; lives {
		cluster.wrongly = append(cluster.wrongly, name)
		return
	}
	cluster.removed++
	delete(cluster.rows, name)
	for _, view := range cluster.views {
		view.Drop(name)
	}
}

// run plays some time, with one node replaced each so often.
func (cluster *cluster) run(duration, replaceEvery time.Duration) {
	nextAt := cluster.now.Add(replaceEvery)
	for end := cluster.now.Add(duration); cluster.now.Before(end); {
		if replaceEvery > 0 && !cluster.now.Before(nextAt) {
			nextAt = nextAt.Add(replaceEvery)
			living := cluster.living()
			cluster.die(living[cluster.random.IntN(len(living))])
			cluster.join()
		}
		cluster.step(start.Add(-time.Hour))
	}
}

// percentile returns the duration below which a share of them lie.
func percentile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.SortFunc(durations, cmp.Compare)
	return durations[min(len(durations)-1, int(share*float64(len(durations))))]
}

// TestMembershipAtScale plays nodes that are replaced, freeze, are lost in herds and are apart for a
// while: no living node's row is removed, and each that is gone is found. By hand,
// HICKORYBEND_MEMBERS=1 plays an hour of each size and prints the table of docs/CAPACITY.md.
func TestMembershipAtScale(t *testing.T) {
	sizes, hour := []int{8, 195}, 90*time.Second
	if os.Getenv("HICKORYBEND_MEMBERS") != "" {
		sizes, hour = []int{8, 195, 390}, time.Hour
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			t.Parallel()
			every := time.Second
			if size <= simMaxMesh {
				every = 10 * time.Second
			}
			cluster := newCluster(size, uint64(size))
			cluster.run(5*time.Second, 0)
			cluster.run(hour, every)
			churned, commits, found := cluster.now.Sub(start), cluster.commits, cluster.detected
			cluster.detected = nil
			for i, name := range cluster.living() {
				if i%3 == 0 {
					cluster.frozen[name] = cluster.now.Add(3 * time.Second)
				}
			}
			cluster.run(10*time.Second, 0)
			heldWrong := cluster.returned
			cluster.apart = 2
			cluster.run(20*time.Second, 0)
			cluster.apart = 0
			cluster.run(10*time.Second, 0)
			for i, name := range cluster.living() {
				if i%2 == 0 || cluster.zones > 1 && cluster.zoneOf(name) == 1 {
					cluster.die(name)
				}
			}
			cluster.run(45*time.Second, 0)
			for _, name := range cluster.living() {
				for _, view := range cluster.views {
					assert.Check(t, !slices.Contains(view.Gone(), name), "%s is held for gone", name)
				}
			}
			unfound := 0
			placer := slices.Sorted(func(yield func(string) bool) {
				for name := range cluster.views {
					if !yield(name) {
						return
					}
				}
			})[0]
			for name := range cluster.diedAt {
				if cluster.rows[name] && !cluster.view(placer).IsGone(name) {
					unfound++
				}
			}
			assert.Equal(t, unfound, 0)
			assert.Equal(t, len(cluster.wrongly), 0, "%v", cluster.wrongly)
			t.Logf("%d nodes, one replaced each %s: found gone after %s (99th percentile), %s at most, of half and a whole zone lost at once after %s at most; %d rows removed, none wrongly; %d living nodes held for gone for a while by freezes of 3 s and bad links, %d when zones were apart; %.2f commits a node and minute",
				size, every, percentile(found, 0.99), percentile(found, 1), percentile(cluster.detected, 1), cluster.removed, heldWrong, cluster.returned-heldWrong, float64(commits)/float64(size)/churned.Minutes())
		})
	}
}
