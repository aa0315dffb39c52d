package soak

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"hickorybend/platform"
	"hickorybend/platform/fakes"
)

// ZoneEvacuated has the operators evacuate leftZone and take it back.
type ZoneEvacuated struct{}

func (ZoneEvacuated) fault() {}

const (
	leftZone               = "zone-a" // of all nodes, which prefer it, of every second domain, and of every second runner of the plain service
	otherZone              = "zone-b" // of the other runners
	meanEvacuationInterval = 12 * time.Second
	minEvacuation          = 3 * time.Second
	maxEvacuation          = 12 * time.Second
	evacuationBound        = 5 * time.Second // after the row is written, no request may begin in the zone
)

// drawEvacuations draws when the operators evacuate the zone. They are drawn apart from the
// other faults.
func drawEvacuations(seed uint64, scale Scale) []Injection {
	random := rand.New(rand.NewPCG(seed, bits.Reverse64(seed)+2))
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanEvacuationInterval)) }
	var evacuations []Injection
	for at := next(); at < scale.Duration; at += next() {
		duration := minEvacuation + time.Duration(random.Int64N(int64(maxEvacuation-minEvacuation)))
		evacuations = append(evacuations, Injection{At: at, Duration: duration, Fault: ZoneEvacuated{}})
		at += duration
	}
	return evacuations
}

// zoneOf returns the zone of a slot's runner.
func zoneOf(slot *slot) string {
	if slot.service == fakes.ServiceModels && slot.index/domainSize%2 == 1 || slot.service == fakes.ServicePlain && slot.index%2 == 1 {
		return otherZone
	}
	return leftZone
}

// evacuate evacuates the zone for a duration, unless the store does not take the row.
func (cluster *cluster) evacuate(duration time.Duration) {
	cluster.mutex.Lock()
	outage := cluster.outage
	cluster.mutex.Unlock()
	if outage {
		return
	}
	cluster.store.Put("op", platform.EvacuationKey(leftZone), []byte("{}"))
	cluster.checker.zoneEvacuated(time.Now())
	time.AfterFunc(duration, func() {
		cluster.checker.zoneEvacuated(time.Time{})
		cluster.store.Delete("op", platform.EvacuationKey(leftZone))
	})
}

// evacuateAgain writes the row, or its removal, again after the store has lost changes.
func (cluster *cluster) evacuateAgain() {
	stored, wanted := slices.Contains(cluster.store.Keys("op"), platform.EvacuationKey(leftZone)), cluster.checker.evacuated()
	switch {
	case wanted && !stored:
		cluster.store.Put("op", platform.EvacuationKey(leftZone), []byte("{}"))
		cluster.checker.zoneEvacuated(time.Now())
	case stored && !wanted:
		cluster.store.Delete("op", platform.EvacuationKey(leftZone))
	}
}

// zoneEvacuated records since when the zone is evacuated; the zero time ends that.
func (checker *checker) zoneEvacuated(since time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.evacuatedSince = since
}

func (checker *checker) evacuated() bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return !checker.evacuatedSince.IsZero()
}

// checkEvacuation reports a request that begins in the evacuated zone later than
// evacuationBound after the row was written. Nodes that were killed, paused or cut off since
// are not excused, and neither are those whose link to the store had a fault: a node has to
// know of the evacuation before it sends anything, and learns it from other nodes. The time of
// outages of the store, which may begin before any node knows, and of stalls of the
// machine is left out.
func (checker *checker) checkEvacuation(execution fakes.Execution, zone string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	since, now := checker.evacuatedSince, checker.now()
	if zone != leftZone || since.IsZero() {
		return
	}
	if now.Sub(since)-checker.timeline.duration(storeComponent, since, now)-checker.timeline.duration(machineComponent, since, now) <= evacuationBound {
		return
	}
	checker.addFinding(InvariantEvacuation, "%s runs %s, %s after its zone was evacuated", execution.Runner, execution.RequestID, now.Sub(since))
}
