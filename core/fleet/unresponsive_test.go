package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/fleet"
)

// newServingDomain returns a simulation of one domain of five endpoints, in which
// two small replicas serve and one endpoint is a spare that can join either.
func newServingDomain(t *rapid.T) (*simulation, *holder) {
	simulation := newSimulation(t, 1, 5)
	current := newHolder(1)
	simulation.run(current, 45*time.Second)
	serving := 0
	for _, id := range simulation.ids {
		if simulation.runners[id].phase == fleet.PhaseOpen {
			serving++
		}
		simulation.runners[id].staged = "small" // so that each free endpoint may join a small replica at once
	}
	if serving != 2 {
		t.Fatalf("%d replicas serve instead of 2", serving)
	}
	return simulation, current
}

// run lets a holder plan for some time, while every command is answered, and checks
// the invariants at each step.
func (simulation *simulation) run(current *holder, length time.Duration) {
	for end := simulation.now.Add(length); simulation.now.Before(end); {
		simulation.plan(current, []string{"answered"})
		simulation.advance()
		if simulation.violation != "" {
			simulation.t.Fatalf("after %s: %s", simulation.now.Sub(time.Unix(1000, 0)), simulation.violation)
		}
	}
}

// servingReplica returns an open first host and its other member.
func (simulation *simulation) servingReplica() (firstHost, member *runner) {
	for _, id := range simulation.ids {
		if runner := simulation.runners[id]; runner.phase == fleet.PhaseOpen {
			return runner, simulation.runners[runner.members[1]]
		}
	}
	return nil, nil
}

// checkInvariants runs one scenario on a serving domain. The simulation's run
// checks the invariants at each step.
func checkInvariants(t *testing.T, scenario func(simulation *simulation, current *holder)) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		simulation, current := newServingDomain(t)
		scenario(simulation, current)
	})
}

// checkHostReused isolates one host of a replica and checks that the other one
// joins another replica, while the invariants hold.
func checkHostReused(t *testing.T, pick func(firstHost, member *runner) (isolated, remaining *runner)) {
	t.Helper()
	checkInvariants(t, func(simulation *simulation, current *holder) {
		isolated, remaining := pick(simulation.servingReplica())
		formerReplica := remaining.replica
		isolated.isolated = true
		simulation.run(current, 20*time.Second)
		assert.Assert(simulation.t, remaining.replica != formerReplica && remaining.replica != "", "the remaining host joins another replica")
	})
}

// TestFirstHostCutOff isolates a first host, which continues serving where no node
// reaches it. The other member must form a replica with the spare, but only once
// the first host must have broken.
func TestFirstHostCutOff(t *testing.T) {
	checkHostReused(t, func(firstHost, member *runner) (isolated, remaining *runner) { return firstHost, member })
}

// TestMemberCutOff isolates a member. The first host, which responds, must leave
// the replica before it joins another one.
func TestMemberCutOff(t *testing.T) {
	checkHostReused(t, func(firstHost, member *runner) (isolated, remaining *runner) { return member, firstHost })
}

// TestHolderChangesWhileMembersWait changes the holder after the old one has told
// the member of an isolated first host to leave. To the new holder the member looks
// free, but it must not join another replica before the first host must have
// broken. This must hold whichever report of the old holder is the last one
// received: none, the newest, or a delayed one from just before the leave.
func TestHolderChangesWhileMembersWait(t *testing.T) {
	for _, test := range []struct {
		name   string
		report func(reports []fleet.HolderReport, beforeLeave int) fleet.HolderReport
	}{
		{"no report", func([]fleet.HolderReport, int) fleet.HolderReport { return fleet.HolderReport{} }},
		{"newest report", func(reports []fleet.HolderReport, _ int) fleet.HolderReport { return reports[len(reports)-1] }},
		{"delayed report from before the leave", func(reports []fleet.HolderReport, beforeLeave int) fleet.HolderReport {
			report := reports[beforeLeave]
			report.ReceivedAt = report.ReceivedAt.Add(500 * time.Millisecond) // delivered late
			return report
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkInvariants(t, func(simulation *simulation, current *holder) {
				firstHost, member := simulation.servingReplica()
				firstHost.isolated = true
				beforeLeave := 0
				for member.replica != "" {
					beforeLeave = len(current.reports)
					simulation.run(current, step)
				}
				simulation.run(current, 2*time.Second)
				next := newHolder(current.fence + 1)
				next.holderReport = test.report(current.reports, beforeLeave)
				simulation.run(next, 20*time.Second)
				assert.Assert(simulation.t, member.replica != "", "the member joins another replica")
			})
		})
	}
}

// TestNewHolderUsesPreviousHoldersReport changes the holder while a free host waits
// for another one to form a replica with. If the new holder has the previous
// holder's report, which lists the host as cleared, the two form a
// replica at once. Without the report, the new holder waits until it has seen the host
// in the same state for the stall timeout: the host may have been told to leave a
// replica whose first host still serves.
func TestNewHolderUsesPreviousHoldersReport(t *testing.T) {
	for _, test := range []struct {
		name     string
		reported bool
		maxWait  time.Duration
	}{{"reported", true, 1500 * time.Millisecond}, {"not reported", false, 5 * time.Second}} {
		t.Run(test.name, func(t *testing.T) {
			checkInvariants(t, func(simulation *simulation, current *holder) {
				firstHost, member := simulation.servingReplica()
				member.alive = false
				var spare *runner
				for _, id := range simulation.ids {
					if simulation.runners[id].replica == "" {
						spare = simulation.runners[id]
					}
				}
				spare.alive = false
				next := newHolder(current.fence + 1)
				for range 30 {
					simulation.run(current, step)
					next.sightings.look(simulation)
				}
				if test.reported {
					next.holderReport = current.reports[len(current.reports)-1]
				}
				simulation.restart(spare)
				began := simulation.now
				for firstHost.replica == "" && simulation.now.Before(began.Add(10*time.Second)) {
					simulation.run(next, step)
				}
				took := simulation.now.Sub(began)
				assert.Assert(simulation.t, (took < 2*time.Second) == test.reported && took < test.maxWait, "the host joined after %s", took)
			})
		})
	}
}
