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

// The endings. Wrong is an answer that is not the request's own or not whole
// though it claimed to be; there must never be one.
const (
	OutcomeCompleted Outcome = "whole"
	OutcomeShed      Outcome = "shed"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeFailed    Outcome = "broken"
	OutcomeWrong     Outcome = "wrong"
)

// Result is what one request gave.
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

// Percentiles is a distribution of times in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// ClassReport sums up one class.
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

// Report sums up a run.
type Report struct {
	Seconds       float64       `json:"seconds"`
	Classes       []ClassReport `json:"classes"`
	CacheHitRatio float64       `json:"cache-hit-share"`
	Fairness      float64       `json:"team-fairness"`
	Notes         []string      `json:"notes"`
}

const (
	histogramLow     = 1
	histogramHigh    = 120_000_000
	histogramDigits  = 3
	maxNotes         = 12
	microsPerMilli   = 1000.0
	percentileMedian = 50
	percentileHigh   = 95
	percentileTail   = 99
)

// tally gathers results from many goroutines.
type tally struct {
	mutex  sync.Mutex
	plan   Plan
	groups map[Class]*classTally
	teams  map[string]*teamTally
	cached int
	prompt int
	notes  []string
}

type classTally struct {
	report  ClassReport
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
}

type teamTally struct {
	sent int
	good int
}

func newTally(plan Plan) *tally {
	tally := &tally{plan: plan, groups: map[Class]*classTally{}, teams: map[string]*teamTally{}}
	for _, class := range Classes() {
		tally.groups[class] = &classTally{
			report: ClassReport{Class: class}, first: newHistogram(), between: newHistogram(), whole: newHistogram(),
		}
	}
	return tally
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

func (tally *tally) add(result Result) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	class := tally.groups[result.Class]
	team := tally.teams[result.Team]
	if team == nil {
		team = &teamTally{}
		tally.teams[result.Team] = team
	}
	class.report.Sent++
	team.sent++
	tally.cached += result.CachedTokens
	tally.prompt += result.PromptTokens
	class.count(result.Outcome)
	if result.Outcome != OutcomeCompleted {
		tally.note(result)
		return
	}
	_ = class.whole.RecordValue(result.Latency.Microseconds())
	if result.FirstToken > 0 {
		_ = class.first.RecordValue(result.FirstToken.Microseconds())
		_ = class.between.RecordValue(result.InterToken.Microseconds())
	}
	if result.FirstToken <= tally.plan.FirstTokenGoal && result.InterToken <= tally.plan.InterTokenGoal {
		class.report.WithinGoals++
		team.good++
	}
}

func (tally *tally) note(result Result) {
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

func (tally *tally) report(took time.Duration) Report {
	report := Report{Seconds: took.Seconds(), Notes: tally.notes, Fairness: tally.fairness()}
	if tally.prompt > 0 {
		report.CacheHitRatio = float64(tally.cached) / float64(tally.prompt)
	}
	for _, name := range Classes() {
		class := tally.groups[name]
		if class.report.Sent == 0 {
			continue
		}
		class.report.FirstToken = spreadOf(class.first)
		class.report.InterToken = spreadOf(class.between)
		class.report.Latency = spreadOf(class.whole)
		report.Classes = append(report.Classes, class.report)
	}
	return report
}

// fairness is Jain's index over the teams' shares of good answers: 1 when each
// team gets the same part of what it asked for.
func (tally *tally) fairness() float64 {
	sum, squares := 0.0, 0.0
	for _, team := range tally.teams {
		share := float64(team.good) / float64(team.sent)
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(tally.teams)) * squares)
}

func spreadOf(histogram *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: float64(histogram.ValueAtQuantile(percentileMedian)) / microsPerMilli,
		P95: float64(histogram.ValueAtQuantile(percentileHigh)) / microsPerMilli,
		P99: float64(histogram.ValueAtQuantile(percentileTail)) / microsPerMilli,
	}
}

// Wrong counts the answers that broke the promise to callers.
func (report Report) Wrong() int {
	wrong := 0
	for _, class := range report.Classes {
		wrong += class.Wrong
	}
	return wrong
}

// Completed counts the whole answers.
func (report Report) Completed() int {
	whole := 0
	for _, class := range report.Classes {
		whole += class.Completed
	}
	return whole
}

// Text gives the report as a table.
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

// String gives the three percentiles.
func (percentiles Percentiles) String() string {
	return fmt.Sprintf("%6.1f %6.1f %6.1f", percentiles.P50, percentiles.P95, percentiles.P99)
}
