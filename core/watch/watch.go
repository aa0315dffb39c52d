package watch

import (
	"time"

	"hickorybend/core/group"
)

// Status is what an endpoint says of itself when it is probed.
type Status struct {
	Host        string
	Incarnation string
	Replica     string
	Epoch       int64
	Rank        int
	Model       string
	Version     string
	Ready       bool
	Running     int
	Waiting     int
}

// Observation is a status with the moment before which it was asked for.
type Observation struct {
	Status Status
	At     time.Time
}

// Tracker holds the newest sight of each host.
type Tracker struct {
	policy Policy
	sights map[string]Observation
}

// NewTracker makes an empty board.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, sights: map[string]Observation{}}
}

// Record takes in a sight unless a newer one is known.
func (tracker *Tracker) Record(observation Observation) {
	if observation.At.After(tracker.sights[observation.Status.Host].At) {
		tracker.sights[observation.Status.Host] = observation
	}
}

// Forget drops what is known of a host.
func (tracker *Tracker) Forget(host string) {
	delete(tracker.sights, host)
}

// Latest gives the newest sight of a host while it may be relied on.
func (tracker *Tracker) Latest(host string, now time.Time) (Observation, bool) {
	observation, known := tracker.sights[host]
	return observation, known && now.Before(tracker.lapse(observation))
}

func (tracker *Tracker) lapse(observation Observation) time.Time {
	return observation.At.Add(tracker.policy.StatusTTL)
}

// Matches tells whether a status confirms a member's place in its replica.
func Matches(status Status, replica group.Replica, member group.Member) bool {
	return status.Ready &&
		status.Replica == replica.ID &&
		status.Epoch == replica.Epoch &&
		status.Rank == member.Rank &&
		status.Incarnation == member.Incarnation &&
		status.Model == replica.Model &&
		status.Version == replica.Version
}

// CompleteUntil gives the deadline until which every member of the replica is known to
// be in its place; the zero time says that one of them is not.
func (tracker *Tracker) CompleteUntil(replica group.Replica, now time.Time) time.Time {
	var until time.Time
	for _, member := range replica.Members {
		observation, fresh := tracker.Latest(member.Host, now)
		if !fresh || !Matches(observation.Status, replica, member) {
			return time.Time{}
		}
		if lapse := tracker.lapse(observation); until.IsZero() || lapse.Before(until) {
			until = lapse
		}
	}
	return until
}
