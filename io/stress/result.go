package stress

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	// OutcomeCompleted is a complete and correct response.
	OutcomeCompleted Outcome = "whole"
	// OutcomeShed is a request that the node rejected and that did not run.
	OutcomeShed Outcome = "shed"
	// OutcomeUnknown is a request for which the node doesn't know whether it ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed is any other error, or a stream that ended early.
	OutcomeFailed Outcome = "broken"
	// OutcomeWrong is a response that claims to be complete but is incomplete or
	// belongs to another request, or an at-most-once call that ran twice or got two
	// different responses. There must never be one.
	OutcomeWrong Outcome = "wrong"
)

// Result is the outcome of one request. FirstToken and Latency count from the time
// at which the plan schedules the request, so that a late start counts too.
// InterToken is the average time between tokens. Only streams have FirstToken,
// InterToken and the token counts.
type Result struct {
	Class        Class
	Team         string
	Outcome      Outcome
	FirstToken   time.Duration
	InterToken   time.Duration
	Latency      time.Duration
	CachedTokens int
	PromptTokens int
	Note         string
}

// Percentiles are latency percentiles in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// ClassReport sums up the requests of one class. WithinGoals counts the complete
// responses that met the latency goals.
type ClassReport struct {
	Class       Class       `json:"class"`
	Sent        int         `json:"sent"`
	Completed   int         `json:"whole"`
	Shed        int         `json:"shed"`
	Unknown     int         `json:"unknown"`
	Failed      int         `json:"broken"`
	Wrong       int         `json:"wrong"`
	WithinGoals int         `json:"good"`
	FirstToken  Percentiles `json:"first-token"`
	InterToken  Percentiles `json:"between-tokens"`
	Latency     Percentiles `json:"whole-answer"`
}

// Report sums up a run. CacheHitRatio is the fraction of the streams' prompt tokens
// that the engines had cached. Fairness is Jain's index over the teams. Notes
// describe requests that failed, up to maxNotes of them.
type Report struct {
	Seconds       float64       `json:"seconds"`
	Classes       []ClassReport `json:"classes"`
	CacheHitRatio float64       `json:"cache-hit-share"`
	Fairness      float64       `json:"team-fairness"`
	Notes         []string      `json:"notes"`
}

const (
	// The histograms record latencies from 1 µs to 2 min.
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
	maxNotes          = 12
	microsPerMilli    = 1000.0
	percentileMedian  = 50
	percentileHigh    = 95
	percentileTail    = 99
)

// tally collects the results of concurrent requests.
type tally struct {
	mutex        sync.Mutex
	plan         Plan
	classes      map[Class]*classTally
	teams        map[string]*teamTally
	cachedTokens int
	promptTokens int
	notes        []string
}

type classTally struct {
	report     ClassReport
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	latency    *hdrhistogram.Histogram
}

type teamTally struct {
	sent        int
	withinGoals int
}

func newTally(plan Plan) *tally {
	tally := &tally{plan: plan, classes: map[Class]*classTally{}, teams: map[string]*teamTally{}}
	for _, class := range Classes() {
		tally.classes[class] = &classTally{
			report: ClassReport{Class: class}, firstToken: newHistogram(), interToken: newHistogram(), latency: newHistogram(),
		}
	}
	return tally
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func (tally *tally) add(result Result) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	classtally := tally.classes[result.Class]
	teamtally := tally.teams[result.Team]
	if teamtally == nil {
		teamtally = &teamTally{}
		tally.teams[result.Team] = teamtally
	}
	classtally.report.Sent++
	teamtally.sent++
	tally.cachedTokens += result.CachedTokens
	tally.promptTokens += result.PromptTokens
	classtally.count(result.Outcome)
	if result.Outcome != OutcomeCompleted {
		tally.addNote(result)
		return
	}
	_ = classtally.latency.RecordValue(result.Latency.Microseconds())
	if result.FirstToken > 0 {
		_ = classtally.firstToken.RecordValue(result.FirstToken.Microseconds())
		_ = classtally.interToken.RecordValue(result.InterToken.Microseconds())
	}
	if result.FirstToken <= tally.plan.FirstTokenGoal && result.InterToken <= tally.plan.InterTokenGoal {
		classtally.report.WithinGoals++
		teamtally.withinGoals++
	}
}

// addNote keeps the first maxNotes results that are neither complete nor shed.
func (tally *tally) addNote(result Result) {
	if result.Outcome != OutcomeShed && len(tally.notes) < maxNotes {
		tally.notes = append(tally.notes, fmt.Sprintf("%s %s: %s", result.Class, result.Outcome, result.Note))
	}
}

func (classtally *classTally) count(outcome Outcome) {
	switch outcome {
	case OutcomeCompleted:
		classtally.report.Completed++
	case OutcomeShed:
		classtally.report.Shed++
	case OutcomeUnknown:
		classtally.report.Unknown++
	case OutcomeFailed:
		classtally.report.Failed++
	case OutcomeWrong:
		classtally.report.Wrong++
	}
}

func (tally *tally) report(elapsed time.Duration) Report {
	report := Report{Seconds: elapsed.Seconds(), Notes: tally.notes, Fairness: tally.fairness()}
	if tally.promptTokens > 0 {
		report.CacheHitRatio = float64(tally.cachedTokens) / float64(tally.promptTokens)
	}
	for _, class := range Classes() {
		classtally := tally.classes[class]
		if classtally.report.Sent == 0 {
			continue
		}
		classtally.report.FirstToken = percentilesOf(classtally.firstToken)
		classtally.report.InterToken = percentilesOf(classtally.interToken)
		classtally.report.Latency = percentilesOf(classtally.latency)
		report.Classes = append(report.Classes, classtally.report)
	}
	return report
}

// fairness returns Jain's index over the fraction of each team's requests that met
// the latency goals: 1 if the fractions are equal, 1/n if those of all but one of n
// teams are 0.
func (tally *tally) fairness() float64 {
	sum, squares := 0.0, 0.0
	for _, teamtally := range tally.teams {
		share := float64(teamtally.withinGoals) / float64(teamtally.sent)
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(tally.teams)) * squares)
}

func percentilesOf(histogram *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: float64(histogram.ValueAtQuantile(percentileMedian)) / microsPerMilli,
		P95: float64(histogram.ValueAtQuantile(percentileHigh)) / microsPerMilli,
		P99: float64(histogram.ValueAtQuantile(percentileTail)) / microsPerMilli,
	}
}

// Wrong returns the number of requests with OutcomeWrong.
func (report Report) Wrong() int {
	wrong := 0
	for _, class := range report.Classes {
		wrong += class.Wrong
	}
	return wrong
}

// Completed returns the number of complete responses.
func (report Report) Completed() int {
	completed := 0
	for _, class := range report.Classes {
		completed += class.Completed
	}
	return completed
}

// Text formats the report as a table.
func (report Report) Text() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%-12s %6s %6s %6s %6s %7s %6s %6s | first p50/p95/p99 ms | between p50/p95/p99 ms | whole p50/p95/p99 ms\n",
		"class", "sent", "whole", "good", "shed", "unknown", "broken", "wrong")
	for _, class := range report.Classes {
		_, _ = fmt.Fprintf(&text, "%-12s %6d %6d %6d %6d %7d %6d %6d | %s | %s | %s\n", class.Class, class.Sent, class.Completed,
			class.WithinGoals, class.Shed, class.Unknown, class.Failed, class.Wrong, class.FirstToken, class.InterToken, class.Latency)
	}
	_, _ = fmt.Fprintf(&text, "cache hits %.2f of prompt tokens, fairness %.3f, %.1f s\n", report.CacheHitRatio, report.Fairness, report.Seconds)
	for _, note := range report.Notes {
		_, _ = fmt.Fprintf(&text, "  %s\n", note)
	}
	return text.String()
}

// String formats the three percentiles.
func (percentiles Percentiles) String() string {
	return fmt.Sprintf("%6.1f %6.1f %6.1f", percentiles.P50, percentiles.P95, percentiles.P99)
}
