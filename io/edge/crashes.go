package edge

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/crash"
	"hickorybend/core/reach"
	"hickorybend/io/entry"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// crashes is what this node knows of crashes of endpoints and of the inputs
// that cause them.
type crashes struct {
	ledger    *crash.Ledger
	broken    map[crash.Incarnation]*brokenAttempts // that may have crashed
	trials    map[crash.Input]*crash.Trial          // that this node may send now
	shown     map[crash.Input]crash.Block           // as last logged and published
	suspected map[crash.Input]bool                  // as last published
	stored    storedBlocks
}

// brokenAttempts are the attempts that an endpoint has broken off.
type brokenAttempts struct {
	at        time.Time                    // of the first
	reports   map[crash.Input]crash.Report // of the inputs of the requests, should it be a crash
	checking  bool                         // a health check is pending
	checkedAt time.Time                    // when the last one was sent
	ended     bool                         // a health check has shown that the endpoint has ended, or its path is cut
}

const (
	maxBrokenInputs = 256              // of one endpoint
	brokenTTL       = 10 * time.Second // after which attempts were broken off for another reason than a crash
)

func newCrashes() crashes {
	return crashes{
		ledger: crash.New(crash.DefaultPolicy()), broken: map[crash.Incarnation]*brokenAttempts{},
		trials: map[crash.Input]*crash.Trial{}, shown: map[crash.Input]crash.Block{},
	}
}

// attemptBroken carries an attempt that its endpoint has broken off.
type attemptBroken struct {
	entry.AttemptBroken
}

// trialEnded carries the end of a request that tried a blocked input.
type trialEnded struct {
	entry.TrialEnded
}

func (attemptBroken) message() {}
func (trialEnded) message()    {}

// AttemptBroken records that an endpoint has broken off an attempt. It does not wait
// for the control loop.
func (control *Control) AttemptBroken(broken entry.AttemptBroken) {
	go control.enqueue(attemptBroken{broken})
}

// TrialEnded records the end of a trial. It does not wait for the control loop.
func (control *Control) TrialEnded(ended entry.TrialEnded) {
	go control.enqueue(trialEnded{ended})
}

// handleBroken remembers an attempt until it is known whether its endpoint has
// crashed.
func (control *Control) handleBroken(attempt attemptBroken, now time.Time) {
	incarnation := attempt.Incarnation
	control.suspectCold(incarnation.Endpoint, now)
	broken := control.crashes.broken[incarnation]
	if broken == nil {
		broken = &brokenAttempts{at: attempt.At, reports: map[crash.Input]crash.Report{}}
		control.crashes.broken[incarnation] = broken
	}
	for position, input := range attempt.Inputs {
		broken.add(crash.Report{Input: input, Position: position, Incarnation: incarnation, At: broken.at, BegunAt: attempt.BegunAt, Ended: attempt.Ended})
	}
	control.checkEnded(incarnation, broken, now)
}

// add adds an input of a request. Of several requests, the one closest to the crash counts.
func (brokenattempts *brokenAttempts) add(report crash.Report) {
	known, found := brokenattempts.reports[report.Input]
	switch {
	case found:
		brokenattempts.reports[report.Input] = known.Join(report)
	case len(brokenattempts.reports) < maxBrokenInputs:
		brokenattempts.reports[report.Input] = report
	}
}

// judgeCrashes blocks the inputs that must have crashed endpoints, and
// publishes all blocks.
func (control *Control) judgeCrashes(now time.Time) {
	crashes := &control.crashes
	control.confirmCrashes(now)
	for _, input := range crashes.ledger.Suspects() {
		crashes.ledger.RecordUses(input, control.settings.Node, control.uses(input))
	}
	crashes.ledger.SetEndpoints(len(control.endpoints.byID))
	crashes.ledger.Judge(now)
	control.showSuspects()
	control.offerTrials(now)
	control.showBlocks(now)
	control.writeBlocks(now)
}

// checkEnded asks an endpoint that has broken off attempts whether it still runs.
func (control *Control) checkEnded(incarnation crash.Incarnation, broken *brokenAttempts, now time.Time) {
	endpoint := control.endpoints.byID[incarnation.Endpoint]
	if service, found := control.service(endpoint.Service); found && service.Engine == nil {
		control.checkHealth(incarnation, broken, service.HealthPath, now)
		return
	}
	control.probe(incarnation.Endpoint, now)
}

// confirmCrashes records the crashes of the endpoints that have broken off attempts
// and have ended since. One that answers a probe has not: its connections broke for
// another reason.
func (control *Control) confirmCrashes(now time.Time) {
	crashes, endpoints := &control.crashes, &control.endpoints
	for incarnation, broken := range crashes.broken {
		endpoint, found := endpoints.byID[incarnation.Endpoint]
		switch {
		case crashes.ledger.Crashed(incarnation), !found, endpoint.StartedAt.UnixMilli() != incarnation.StartedAt,
			(broken.ended || endpoints.isUnresponsive(incarnation.Endpoint)) && control.cutoff.Concludes(incarnation.Endpoint, now):
			control.recordCrash(incarnation, broken, now)
			delete(crashes.broken, incarnation)
		case endpoints.answeredAt[incarnation.Endpoint].After(broken.at):
			delete(crashes.broken, incarnation)
		case now.Sub(broken.at) > brokenTTL:
			delete(crashes.broken, incarnation)
		case !broken.ended:
			control.checkEnded(incarnation, broken, now)
		}
	}
}

func (control *Control) recordCrash(incarnation crash.Incarnation, broken *brokenAttempts, now time.Time) {
	var parts, requests []string
	for input, report := range broken.reports {
		control.crashes.ledger.Record(report, true, now)
		if input.IsRequest() {
			requests = append(requests, input.ID)
		} else {
			parts = append(parts, input.ID)
		}
	}
	control.meter.Count("endpoint_crashes", "")
	event.Log(control.log, event.EndpointCrashed, zap.String("endpoint", incarnation.Endpoint), zap.Strings("parts", parts), zap.Strings("inputs", requests))
}

// offerTrials offers the trials of blocked inputs that are due. Only the node that
// places does so, so that all nodes together send one request with an input at a time.
func (control *Control) offerTrials(now time.Time) {
	crashes := &control.crashes
	for _, block := range crashes.ledger.Blocks() {
		due := control.placement.active && !block.Lifted && !now.Before(block.NextTrial)
		switch trial := crashes.trials[block.Input]; {
		case due && trial == nil:
			crashes.trials[block.Input] = &crash.Trial{Input: block.Input}
			control.snapshotStale = true
		case !due && trial != nil:
			delete(crashes.trials, block.Input)
			control.snapshotStale = true
		}
	}
}

// handleTrialEnded records the end of a trial. The next one, if the block is not lifted, is
// offered when it is due.
func (control *Control) handleTrialEnded(ended trialEnded, now time.Time) {
	delete(control.crashes.trials, ended.Input)
	switch {
	case ended.Crashed:
		control.crashes.ledger.TrialFailed(ended.Input, now)
	case ended.Passed:
		control.crashes.ledger.TrialPassed(ended.Input, now)
	}
	control.snapshotStale = true
	event.Log(control.log, event.InputTrial, zap.String("kind", kindOf(ended.Input)), zap.String("service", ended.Input.Service), zap.String("input", ended.Input.ID),
		zap.Bool("crashed", ended.Crashed), zap.Bool("passed", ended.Passed))
}

// showSuspects has the inputs published that are in question.
func (control *Control) showSuspects() {
	suspected := map[crash.Input]bool{}
	for _, input := range control.crashes.ledger.InQuestion() {
		suspected[input] = true
	}
	if !maps.Equal(suspected, control.crashes.suspected) {
		control.crashes.suspected = suspected
		control.snapshotStale = true
	}
}

// showBlocks logs the blocks that are new or were lifted, and has them published.
func (control *Control) showBlocks(now time.Time) {
	crashes := &control.crashes
	active, previous := 0, crashes.shown
	crashes.shown = map[crash.Input]crash.Block{}
	for _, block := range crashes.ledger.Blocks() {
		if !block.Lifted {
			active++
		}
		crashes.shown[block.Input] = block
		shown := previous[block.Input]
		if shown == block {
			continue
		}
		control.snapshotStale = true
		if shown.Round == block.Round && shown.Lifted == block.Lifted {
			continue
		}
		evidence := crashes.ledger.Evidence(block.Input)
		change := event.InputBlocked
		if block.Lifted {
			change = event.InputAllowed
		}
		event.Log(control.log, change, zap.String("kind", kindOf(block.Input)), zap.String("service", block.Input.Service), zap.String("input", block.Input.ID), zap.Int("round", block.Round),
			zap.Int("crashes", block.Crashes), zap.Duration("age", now.Sub(block.Since)), zap.Duration("next-trial", block.NextTrial.Sub(now)),
			zap.Int("passed", block.Passed), zap.Bool("ordered", block.Ordered), zap.Int("uses", evidence.Uses), zap.Int("uses-first", evidence.UsesFirst),
			zap.Float64("score", block.Score), zap.Strings("evidence", describeCrashes(evidence.Crashes)))
	}
	control.meter.Gauge("inputs_blocked", float64(active))
}

// describeCrashes lists the endpoints that crashed, when, and for how long they had answered a
// request with the input.
func describeCrashes(reports []crash.Report) []string {
	var descriptions []string
	for _, report := range reports {
		descriptions = append(descriptions, report.Incarnation.Endpoint+" "+report.At.UTC().Format(time.RFC3339Nano)+" "+report.Age().Round(time.Millisecond).String())
	}
	return descriptions
}

// kindOf names the kind of an input in the log.
func kindOf(input crash.Input) string {
	if input.IsRequest() {
		return "request"
	}
	return "prompt-part"
}

// blockedInputs returns the inputs whose requests are rejected, for the snapshot.
func (crashes *crashes) blockedInputs() map[crash.Input]reach.Blocked {
	blocked := map[crash.Input]reach.Blocked{}
	for _, block := range crashes.ledger.Blocks() {
		if !block.Lifted {
			blocked[block.Input] = reach.Blocked{RetryAt: block.NextTrial, Trial: crashes.trials[block.Input]}
		}
	}
	return blocked
}

// earlyAnswer is the age of an answer up to which older builds suspect its inputs.
const earlyAnswer = 500 * time.Millisecond

// crashDigest returns what other nodes are told.
func (control *Control) crashDigest(now time.Time) gossip.Crashes {
	ledger := control.crashes.ledger
	var digest gossip.Crashes
	for _, report := range ledger.Reports(now) {
		told := gossip.CrashReport{
			Service: report.Input.Service, Input: report.Input.ID, Position: report.Position,
			Endpoint: report.Incarnation.Endpoint, StartedAt: report.Incarnation.StartedAt, At: report.At, BegunAt: report.BegunAt, Ended: report.Ended,
		}
		if report.Age() <= earlyAnswer && !report.Ended {
			digest.Reports = append(digest.Reports, told)
		} else {
			digest.LateReports = append(digest.LateReports, told)
		}
	}
	for _, input := range ledger.RecentSuspects(now) {
		if uses := control.uses(input); !uses.Last.IsZero() {
			digest.Answers = append(digest.Answers, gossip.InputAnswer{Service: input.Service, Input: input.ID, At: uses.Last, Node: control.settings.Node, Count: uses.Count})
		}
	}
	for _, block := range ledger.Blocks() {
		digest.Blocks = append(digest.Blocks, gossip.InputBlock{
			Service: block.Input.Service, Input: block.Input.ID, Round: block.Round, Lifted: block.Lifted, Ordered: block.Ordered, Crashes: block.Crashes,
			Trials: block.Trials, Passed: block.Passed, Since: block.Since, NextTrial: block.NextTrial,
		})
	}
	return digest
}

// learnCrashes takes from another node's digest what it knows of crashes.
func (control *Control) learnCrashes(digest gossip.Crashes, now time.Time) {
	ledger := control.crashes.ledger
	for _, report := range digest.Reports {
		control.learnCrash(report, now)
	}
	for _, report := range digest.LateReports {
		control.learnCrash(report, now)
	}
	for _, answer := range digest.Answers {
		ledger.RecordUses(crash.Input{Service: answer.Service, ID: answer.Input}, answer.Node, crash.Uses{Count: answer.Count, Last: answer.At})
	}
	for _, block := range digest.Blocks {
		ledger.Merge(crash.Block{
			Input: crash.Input{Service: block.Service, ID: block.Input}, Round: block.Round, Lifted: block.Lifted, Ordered: block.Ordered, Since: block.Since,
			Crashes: block.Crashes, Trials: block.Trials, Passed: block.Passed, NextTrial: block.NextTrial,
		})
	}
}

// learnCrash takes a crash that another node saw. Answers through this node may have been
// near, too.
func (control *Control) learnCrash(report gossip.CrashReport, now time.Time) {
	ledger := control.crashes.ledger
	incarnation := crash.Incarnation{Endpoint: report.Endpoint, StartedAt: report.StartedAt}
	if !ledger.Crashed(incarnation) {
		control.doubtAnswers(report.Endpoint, report.At)
	}
	ledger.Record(crash.Report{
		Input: crash.Input{Service: report.Service, ID: report.Input}, Position: report.Position, Incarnation: incarnation, At: report.At, BegunAt: report.BegunAt, Ended: report.Ended,
	}, false, now)
	if broken := control.crashes.broken[incarnation]; broken != nil {
		control.recordCrash(incarnation, broken, now)
		delete(control.crashes.broken, incarnation)
	}
}
