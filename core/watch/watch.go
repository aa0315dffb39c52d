package watch

import (
	"time"

	"hickorybend/core/group"
)

// Status is what an endpoint reports of itself in reply to a probe.
type Status struct {
	Host        string
	Incarnation string
	Replica     string
	Epoch       int64
	Rank        int
	Model       string
	Version     string
	Ready       bool
	Running     int // requests in its batch
	Waiting     int // requests in its queue
}

// Observation is a status and the time just before its probe was sent.
type Observation struct {
	Status Status
	At     time.Time
}

// Tracker holds the newest observation of each host.
type Tracker struct {
	policy       Policy
	observations map[string]Observation
}

// NewTracker returns a tracker without observations.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, observations: map[string]Observation{}}
}

// Record stores an observation unless a newer one of the same host is known.
func (tracker *Tracker) Record(observation Observation) {
	if observation.At.After(tracker.observations[observation.Status.Host].At) {
		tracker.observations[observation.Status.Host] = observation
	}
}

// Forget drops the observation of a host.
func (tracker *Tracker) Forget(host string) {
	delete(tracker.observations, host)
}

// Latest returns the newest observation of a host, and whether it may still be
// relied on.
func (tracker *Tracker) Latest(host string, now time.Time) (Observation, bool) {
	observation, known := tracker.observations[host]
	return observation, known && now.Before(tracker.expiry(observation))
}

func (tracker *Tracker) expiry(observation Observation) time.Time {
	return observation.At.Add(tracker.policy.StatusTTL)
}

// Matches reports whether a status confirms that a member is in place: it is
// ready in the replica's current epoch with its rank, incarnation, model and
// version.
func Matches(status Status, replica group.Replica, member group.Member) bool {
	return status.Ready &&
		status.Replica == replica.ID &&
		status.Epoch == replica.Epoch &&
		status.Rank == member.Rank &&
		status.Incarnation == member.Incarnation &&
		status.Model == replica.Model &&
		status.Version == replica.Version
}

// CompleteUntil returns the deadline until which the replica is known to be
// complete, with every member in place; the zero time says that it is not. The
// oldest observation of a member sets the deadline.
func (tracker *Tracker) CompleteUntil(replica group.Replica, now time.Time) time.Time {
	var until time.Time
	for _, member := range replica.Members {
		observation, fresh := tracker.Latest(member.Host, now)
		if !fresh || !Matches(observation.Status, replica, member) {
			return time.Time{}
		}
		if expiry := tracker.expiry(observation); until.IsZero() || expiry.Before(until) {
			until = expiry
		}
	}
	return until
}
