package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/intent"
	"hickorybend/core/quota"
)

var now = time.Unix(1_000_000, 0)

func teamOf(name string, perSecond float64, maxConcurrent int) intent.Team {
	return intent.Team{Name: name, RequestsPerSecond: perSecond, TokensPerSecond: 1e6, MaxConcurrent: maxConcurrent, Priority: intent.PriorityStandard}
}

func reasonOf(decision quota.Decision) quota.Reason {
	rejected, isRejected := decision.(quota.Rejected)
	if !isRejected {
		return ""
	}
	return rejected.Reason
}

// TestBurstIsOneSecondOfTheRate guards against a node that admits a larger burst
// than one second of its share of the rate, or that rejects a retry at the RetryAt
// of its own rejection.
func TestBurstIsOneSecondOfTheRate(t *testing.T) {
	admission := quota.NewAdmission(quota.DefaultPolicy())
	request := quota.Request{Team: teamOf("t", 20, 100), Priority: intent.PriorityLive, Tokens: 1, Nodes: 2, Now: now}
	for range 10 {
		assert.Equal(t, reasonOf(admission.Admit(request)), quota.Reason(""))
	}
	decision := admission.Admit(request)
	assert.Equal(t, reasonOf(decision), quota.ReasonRate)
	assert.Equal(t, decision.(quota.Rejected).RetryAt, now.Add(100*time.Millisecond))
	request.Now = decision.(quota.Rejected).RetryAt
	assert.Equal(t, reasonOf(admission.Admit(request)), quota.Reason(""), "a retry at RetryAt is admitted")
}

// TestSharesNeverSumAboveTheLimit guards against nodes that together admit more
// than a team's limit, when each of them gets more requests than it admits.
func TestSharesNeverSumAboveTheLimit(t *testing.T) {
	const nodes, seconds = 8, 5
	admitted := 0
	for range nodes {
		admission := quota.NewAdmission(quota.DefaultPolicy())
		for tick := range seconds * 100 {
			request := quota.Request{Team: teamOf("t", 80, 1000), Priority: intent.PriorityLive, Nodes: nodes, Now: now.Add(time.Duration(tick) * 10 * time.Millisecond)}
			if reasonOf(admission.Admit(request)) == "" {
				admitted++
			}
		}
	}
	assert.Assert(t, admitted <= 80*seconds+80, "%d admitted in %d s plus a burst", admitted, seconds)
}

// TestLoadLimitRisesWithPriority guards against an overloaded service that rejects
// requests of high priority before those of a lower one.
func TestLoadLimitRisesWithPriority(t *testing.T) {
	admission := quota.NewAdmission(quota.DefaultPolicy())
	expectReason := func(load float64, priority intent.Priority, want quota.Reason) {
		t.Helper()
		request := quota.Request{Team: teamOf(string(priority), 1000, 1000), Priority: priority, Utilization: load, Nodes: 1, Now: now}
		assert.Equal(t, reasonOf(admission.Admit(request)), want, "%s at %g", priority, load)
	}
	expectReason(0.8, intent.PriorityBatch, "")
	expectReason(0.9, intent.PriorityBatch, quota.ReasonLoad)
	expectReason(0.9, intent.PriorityStandard, "")
	expectReason(1.1, intent.PriorityStandard, quota.ReasonLoad)
	expectReason(1.1, intent.PriorityLive, "")
	expectReason(1.3, intent.PriorityLive, quota.ReasonLoad)
}

// TestLargeTeamDoesNotStarveASmallOne guards against a team with many requests in
// flight that takes all of a loaded service.
func TestLargeTeamDoesNotStarveASmallOne(t *testing.T) {
	admission := quota.NewAdmission(quota.DefaultPolicy())
	large := quota.Request{Team: teamOf("large", 1e5, 1e5), Priority: intent.PriorityStandard, Utilization: 0.5, Nodes: 1, Now: now}
	small := quota.Request{Team: teamOf("small", 100, 100), Priority: intent.PriorityStandard, Utilization: 0.5, Nodes: 1, Now: now}
	for range 50 {
		admission.Admit(large)
	}
	admission.Admit(small)
	large.Utilization, small.Utilization = 0.95, 0.95
	assert.Equal(t, reasonOf(admission.Admit(large)), quota.ReasonFairness)
	assert.Equal(t, reasonOf(admission.Admit(small)), quota.Reason(""))
}

// TestPermitIsReleasedOnce guards against a permit that is released twice and
// lets one request too many pass.
func TestPermitIsReleasedOnce(t *testing.T) {
	admission := quota.NewAdmission(quota.DefaultPolicy())
	request := quota.Request{Team: teamOf("t", 1000, 1), Priority: intent.PriorityLive, Nodes: 1, Now: now}
	permit := admission.Admit(request).(quota.Admitted).Permit
	assert.Equal(t, reasonOf(admission.Admit(request)), quota.ReasonConcurrency)
	permit.Release()
	permit.Release()
	assert.Equal(t, reasonOf(admission.Admit(request)), quota.Reason(""))
	assert.Equal(t, reasonOf(admission.Admit(request)), quota.ReasonConcurrency)
}
