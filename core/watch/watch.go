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

// Sight is a status with the moment before which it was asked for.
type Sight struct {
	Status Status
	At     time.Time
}

// Board holds the newest sight of each host.
type Board struct {
	policy Policy
	sights map[string]Sight
}

// NewBoard makes an empty board.
func NewBoard(policy Policy) *Board {
	return &Board{policy: policy, sights: map[string]Sight{}}
}

// Note takes in a sight unless a newer one is known.
func (board *Board) Note(sight Sight) {
	if sight.At.After(board.sights[sight.Status.Host].At) {
		board.sights[sight.Status.Host] = sight
	}
}

// Forget drops what is known of a host.
func (board *Board) Forget(host string) {
	delete(board.sights, host)
}

// Of gives the newest sight of a host while it may be relied on.
func (board *Board) Of(host string, now time.Time) (Sight, bool) {
	sight, known := board.sights[host]
	return sight, known && now.Before(board.lapse(sight))
}

func (board *Board) lapse(sight Sight) time.Time {
	return sight.At.Add(board.policy.EvidenceTerm)
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

// Whole gives the deadline until which every member of the replica is known to
// be in its place; the zero time says that one of them is not.
func (board *Board) Whole(replica group.Replica, now time.Time) time.Time {
	var until time.Time
	for _, member := range replica.Members {
		sight, fresh := board.Of(member.Host, now)
		if !fresh || !Matches(sight.Status, replica, member) {
			return time.Time{}
		}
		if lapse := board.lapse(sight); until.IsZero() || lapse.Before(until) {
			until = lapse
		}
	}
	return until
}
