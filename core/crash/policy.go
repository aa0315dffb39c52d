package crash

import (
	"math"
	"time"
)

// Policy holds the limits by which inputs are blocked. Scores are decimal logarithms of odds:
// 1 stands for ten to one that an input crashes endpoints, against that it is sound.
type Policy struct {
	CrashShare      float64         // of the requests with an input that crash their endpoint, if the input does; far lower shares are not detected
	CrashTime       time.Duration   // from the begin of an answer, within which half of these crashes come
	MaxCrashScore   float64         // of one crash at most
	MaxEndedScore   float64         // the same if the answers to requests with the input had ended
	BlockScore      float64         // that blocks an input
	LowestScore     float64         // however many requests with an input were answered
	TieScore        float64         // parts whose scores differ by less may be equally likely
	PartInQuestion  float64         // score from which a part is not sent to a second endpoint
	RequestQuestion float64         // the same of a whole request
	BaseTime        time.Duration   // endpoint time in which one crash of another cause is expected, before any is known
	BaseWindow      time.Duration   // for which crashes are counted to find how often they have other causes
	MomentGap       time.Duration   // crashes less than this apart count as one: a host or a rack may have failed
	CommonCause     int             // crashes without an input in a moment that show that those with it have another cause, too
	Settle          time.Duration   // after this node has learned of a crash before it counts, for the other nodes' reports
	KnownScore      float64         // at which a part begins that is known to have been answered, at least
	KnownAfter      time.Duration   // after an answer began for which its endpoint has to go on, for its inputs to be known as answered
	Linger          time.Duration   // after an answer began for which its endpoint has to go on, for this to count as a use; it may still crash of one that ended so recently
	MomentScore     float64         // of all crashes of a part in one moment at most, as a multiple of one
	ReportFor       time.Duration   // how long a crash is reported to other nodes
	SuspectTTL      time.Duration   // after its last crash, an input is no longer suspected
	TrialDelays     []time.Duration // before the first trial, and after each one that crashed an endpoint; the last one repeats
	PassesToLift    int             // trials in a row that lift the first block of an input; twice as many lift the second, and so on
	MaxSuspects     int
	MaxCrashes      int // kept for one input
	MaxBlocks       int
	MaxReports      int // sent to another node at once
}

// DefaultPolicy suits nodes that exchange reports several times a second. Three crashes
// block an input of which no answer is known, and seven one that has been answered often;
// all nodes know it two seconds later. If crashes have other causes as often as is counted,
// a sound input is blocked with odds of one to six hundred or less. The trials of one that crashes
// every endpoint end no more than two of them in the first hour.
func DefaultPolicy() Policy {
	return Policy{
		CrashShare: 1.0 / 3, CrashTime: time.Second, MaxCrashScore: 1, MaxEndedScore: 0.8, BlockScore: 2.8, LowestScore: -4, TieScore: 1.5, KnownScore: -2, KnownAfter: 2 * time.Second, PartInQuestion: 2, RequestQuestion: 0.5,
		BaseTime: 30 * time.Second, BaseWindow: 30 * time.Second, MomentGap: 100 * time.Millisecond, CommonCause: 4, Settle: 500 * time.Millisecond, Linger: 3 * time.Second, MomentScore: 2,
		ReportFor: 6 * time.Second, SuspectTTL: time.Hour,
		TrialDelays: []time.Duration{10 * time.Second, 10 * time.Minute, time.Hour, 24 * time.Hour}, PassesToLift: 3,
		MaxSuspects: 1024, MaxCrashes: 64, MaxBlocks: 128, MaxReports: 64,
	}
}

// trialDelay returns the delay before the trial that follows a number of failed ones.
func (policy Policy) trialDelay(failed int) time.Duration {
	return policy.TrialDelays[min(failed, len(policy.TrialDelays)-1)]
}

// useScore returns by how much an answer that its endpoint outlives lowers the score of an input.
func (policy Policy) useScore() float64 { return -math.Log10(1 - policy.CrashShare) }

// crashScore returns by how much a crash raises the score of an input that was near, if
// endpoints crash of other causes at a rate.
func (policy Policy) crashScore(report Report, perSecond float64) float64 {
	limit := policy.MaxCrashScore
	if report.Ended {
		limit = policy.MaxEndedScore
	}
	odds := policy.CrashShare*policy.crashDensity(report.Age())/perSecond + 1 - policy.CrashShare
	return min(limit, math.Log10(odds))
}

// responsibility returns the probability that an input that crashes endpoints is the cause of such
// a crash, rather than another cause.
func (policy Policy) responsibility(age time.Duration, perSecond float64) float64 {
	due := policy.CrashShare * policy.crashDensity(age)
	return due / (due + perSecond*(1-policy.CrashShare))
}

// crashDensity returns the probability a second that an input that crashes endpoints does
// so at an age of the answer: at any age, sooner rather than later. Other causes come at the same rate
// at any age.
func (policy Policy) crashDensity(age time.Duration) float64 {
	crashTime := policy.CrashTime.Seconds()
	return crashTime / math.Pow(age.Seconds()+crashTime, 2)
}

// questionScore returns the score from which an input is in question.
func (policy Policy) questionScore(input Input) float64 {
	if input.IsRequest() {
		return policy.RequestQuestion
	}
	return policy.PartInQuestion
}

// baseRate returns how many crashes of other causes are to be expected in a second of
// one endpoint's life, if a number of them came within a time.
func (policy Policy) baseRate(crashes float64, endpoints int, within time.Duration) float64 {
	return (1 + crashes) / (policy.BaseTime.Seconds() + within.Seconds()*float64(endpoints))
}
