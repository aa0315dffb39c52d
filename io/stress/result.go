package stress

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ending is how a request ended.
type Ending string

// The endings. Wrong is an answer that is not the request's own or not whole
// though it claimed to be; there must never be one.
const (
	EndWhole   Ending = "whole"
	EndShed    Ending = "shed"
	EndUnknown Ending = "unknown"
	EndBroken  Ending = "broken"
	EndWrong   Ending = "wrong"
)

// Result is what one request gave.
type Result struct {
	Class   Class
	Team    string
	Ending  Ending
	First   time.Duration
	Between time.Duration
	Whole   time.Duration
	Cached  int
	Prompt  int
	Note    string
}

// Spread is a distribution of times in milliseconds.
type Spread struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// ClassReport sums up one class.
type ClassReport struct {
	Class   Class  `json:"class"`
	Sent    int    `json:"sent"`
	Whole   int    `json:"whole"`
	Shed    int    `json:"shed"`
	Unknown int    `json:"unknown"`
	Broken  int    `json:"broken"`
	Wrong   int    `json:"wrong"`
	Good    int    `json:"good"`
	First   Spread `json:"first-token"`
	Between Spread `json:"between-tokens"`
	Full    Spread `json:"whole-answer"`
}

// Report sums up a run.
type Report struct {
	Seconds   float64       `json:"seconds"`
	Classes   []ClassReport `json:"classes"`
	CacheHits float64       `json:"cache-hit-share"`
	Fairness  float64       `json:"team-fairness"`
	Notes     []string      `json:"notes"`
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
	tally.cached += result.Cached
	tally.prompt += result.Prompt
	class.count(result.Ending)
	if result.Ending != EndWhole {
		tally.note(result)
		return
	}
	_ = class.whole.RecordValue(result.Whole.Microseconds())
	if result.First > 0 {
		_ = class.first.RecordValue(result.First.Microseconds())
		_ = class.between.RecordValue(result.Between.Microseconds())
	}
	if result.First <= tally.plan.FirstGoal && result.Between <= tally.plan.BetweenGoal {
		class.report.Good++
		team.good++
	}
}

func (tally *tally) note(result Result) {
	if result.Ending != EndShed && len(tally.notes) < maxNotes {
		tally.notes = append(tally.notes, fmt.Sprintf("%s %s: %s", result.Class, result.Ending, result.Note))
	}
}

func (classtally *classTally) count(ending Ending) {
	switch ending {
	case EndWhole:
		classtally.report.Whole++
	case EndShed:
		classtally.report.Shed++
	case EndUnknown:
		classtally.report.Unknown++
	case EndBroken:
		classtally.report.Broken++
	case EndWrong:
		classtally.report.Wrong++
	}
}

func (tally *tally) report(took time.Duration) Report {
	report := Report{Seconds: took.Seconds(), Notes: tally.notes, Fairness: tally.fairness()}
	if tally.prompt > 0 {
		report.CacheHits = float64(tally.cached) / float64(tally.prompt)
	}
	for _, name := range Classes() {
		class := tally.groups[name]
		if class.report.Sent == 0 {
			continue
		}
		class.report.First = spreadOf(class.first)
		class.report.Between = spreadOf(class.between)
		class.report.Full = spreadOf(class.whole)
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

func spreadOf(histogram *hdrhistogram.Histogram) Spread {
	return Spread{
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

// Whole counts the whole answers.
func (report Report) Whole() int {
	whole := 0
	for _, class := range report.Classes {
		whole += class.Whole
	}
	return whole
}

// Text gives the report as a table.
func (report Report) Text() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%-12s %6s %6s %6s %6s %7s %6s %6s | first p50/p95/p99 ms | between p50/p95/p99 ms | whole p50/p95/p99 ms\n",
		"class", "sent", "whole", "good", "shed", "unknown", "broken", "wrong")
	for _, class := range report.Classes {
		_, _ = fmt.Fprintf(&text, "%-12s %6d %6d %6d %6d %7d %6d %6d | %s | %s | %s\n", class.Class, class.Sent, class.Whole,
			class.Good, class.Shed, class.Unknown, class.Broken, class.Wrong, class.First, class.Between, class.Full)
	}
	_, _ = fmt.Fprintf(&text, "cache hits %.2f of prompt tokens, fairness %.3f, %.1f s\n", report.CacheHits, report.Fairness, report.Seconds)
	for _, note := range report.Notes {
		_, _ = fmt.Fprintf(&text, "  %s\n", note)
	}
	return text.String()
}

// String gives the three percentiles.
func (spread Spread) String() string {
	return fmt.Sprintf("%6.1f %6.1f %6.1f", spread.P50, spread.P95, spread.P99)
}
