package edge

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/core/crash"
	"hickorybend/core/reach"
	"hickorybend/io/entry"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// crashes is what this node knows of crashes of endpoints and of the parts of prompts
// that cause them.
type crashes struct {
	ledger     *crash.Ledger
	broken     map[crash.Incarnation]*brokenAttempts // that may have crashed
	answeredAt map[string]time.Time                  // when the last probe was sent that an endpoint of them has answered
	trials     map[crash.Part]*crash.Trial           // that this node may send now
	shown      map[crash.Part]crash.Block            // as last logged and published
	stored     storedBlocks
}

// brokenAttempts are the attempts that an endpoint has broken off.
type brokenAttempts struct {
	at        time.Time          // of the first
	positions map[crash.Part]int // the parts of the prompts
}

func newCrashes() crashes {
	return crashes{
		ledger: crash.New(crash.DefaultPolicy()), broken: map[crash.Incarnation]*brokenAttempts{}, answeredAt: map[string]time.Time{},
		trials: map[crash.Part]*crash.Trial{}, shown: map[crash.Part]crash.Block{},
	}
}

// attemptBroken carries an attempt that its endpoint has broken off.
type attemptBroken struct {
	entry.AttemptBroken
}

// trialEnded reports that a request which tried a blocked part has ended.
type trialEnded struct {
	part    crash.Part
	crashed bool // its endpoint
}

func (attemptBroken) message() {}
func (trialEnded) message()    {}

// AttemptBroken records that an endpoint has broken off an attempt. It does not wait
// for the control loop.
func (control *Control) AttemptBroken(broken entry.AttemptBroken) {
	go control.enqueue(attemptBroken{broken})
}

// TrialEnded records the end of a trial. It does not wait for the control loop.
func (control *Control) TrialEnded(part crash.Part, crashed bool) {
	go control.enqueue(trialEnded{part: part, crashed: crashed})
}

// handleBroken remembers an attempt until it is known whether its endpoint has
// crashed.
func (control *Control) handleBroken(attempt attemptBroken, now time.Time) {
	incarnation := crash.Incarnation{Endpoint: attempt.Endpoint, StartedAt: attempt.StartedAt.UnixMilli()}
	broken := control.crashes.broken[incarnation]
	if broken == nil {
		broken = &brokenAttempts{at: attempt.At, positions: map[crash.Part]int{}}
		control.crashes.broken[incarnation] = broken
	}
	for position, part := range attempt.Parts {
		broken.positions[part] = max(broken.positions[part], position)
	}
	control.probe(attempt.Endpoint, now)
}

// judgeCrashes blocks the parts of prompts that must have crashed endpoints, and
// publishes all blocks.
func (control *Control) judgeCrashes(now time.Time) {
	crashes := &control.crashes
	control.confirmCrashes(now)
	for _, part := range crashes.ledger.Watched() {
		if at := control.lastAnswer(part); !at.IsZero() {
			crashes.ledger.RecordSound(part, at)
		}
	}
	crashes.ledger.Judge(now)
	control.offerTrials(now)
	control.showBlocks(now)
	control.writeBlocks(now)
}

// confirmCrashes records the crashes of the endpoints that have broken off attempts
// and have ended since. One that answers a probe has not: its connections broke for
// another reason.
func (control *Control) confirmCrashes(now time.Time) {
	crashes, endpoints := &control.crashes, &control.endpoints
	for incarnation, broken := range crashes.broken {
		endpoint, found := endpoints.byID[incarnation.Endpoint]
		switch {
		case !found, endpoint.StartedAt.UnixMilli() != incarnation.StartedAt, endpoints.isUnresponsive(incarnation.Endpoint):
			control.recordCrash(incarnation, broken)
			delete(crashes.broken, incarnation)
		case crashes.answeredAt[incarnation.Endpoint].After(broken.at):
			delete(crashes.broken, incarnation)
		default:
			control.probe(incarnation.Endpoint, now)
		}
	}
	if len(crashes.broken) == 0 {
		clear(crashes.answeredAt)
	}
}

func (control *Control) recordCrash(incarnation crash.Incarnation, broken *brokenAttempts) {
	var ids []string
	for part, position := range broken.positions {
		control.crashes.ledger.Record(crash.Report{Part: part, Position: position, Incarnation: incarnation, At: broken.at}, true)
		ids = append(ids, part.ID)
	}
	control.meter.Count("endpoint_crashes", "")
	event.Log(control.log, event.EndpointCrashed, zap.String("endpoint", incarnation.Endpoint), zap.Strings("parts", ids))
}

// offerTrials offers the trials of blocked parts that are due. Only the node that
// places does so, so that all nodes together send one request with a part at a time.
func (control *Control) offerTrials(now time.Time) {
	crashes := &control.crashes
	for _, block := range crashes.ledger.Blocks() {
		due := control.placement.active && !block.Lifted && !now.Before(block.NextTrial)
		switch trial := crashes.trials[block.Part]; {
		case due && trial == nil:
			crashes.trials[block.Part] = &crash.Trial{Part: block.Part}
			control.snapshotStale = true
		case !due && trial != nil:
			delete(crashes.trials, block.Part)
			control.snapshotStale = true
		}
	}
}

// handleTrialEnded records the end of a trial. The next one, if no answer has lifted
// the block, is offered when it is due.
func (control *Control) handleTrialEnded(ended trialEnded, now time.Time) {
	delete(control.crashes.trials, ended.part)
	if ended.crashed {
		control.crashes.ledger.TrialFailed(ended.part, now)
	}
	control.snapshotStale = true
	event.Log(control.log, event.PartTrial, zap.String("service", ended.part.Service), zap.String("part", ended.part.ID), zap.Bool("crashed", ended.crashed))
}

// showBlocks logs the blocks that are new or were lifted, and has them published.
func (control *Control) showBlocks(now time.Time) {
	crashes := &control.crashes
	active, previous := 0, crashes.shown
	crashes.shown = map[crash.Part]crash.Block{}
	for _, block := range crashes.ledger.Blocks() {
		if !block.Lifted {
			active++
		}
		crashes.shown[block.Part] = block
		shown := previous[block.Part]
		if shown == block {
			continue
		}
		control.snapshotStale = true
		if shown.Round == block.Round && shown.Lifted == block.Lifted {
			continue
		}
		change := event.PartBlocked
		if block.Lifted {
			change = event.PartAllowed
		}
		event.Log(control.log, change, zap.String("service", block.Part.Service), zap.String("part", block.Part.ID), zap.Int("round", block.Round),
			zap.Int("crashes", block.Crashes), zap.Duration("age", now.Sub(block.Since)), zap.Duration("next-trial", block.NextTrial.Sub(now)))
	}
	control.meter.Gauge("prompt_parts_blocked", float64(active))
}

// blockedParts returns the parts whose requests are rejected, for the snapshot.
func (crashes *crashes) blockedParts() map[crash.Part]reach.Blocked {
	blocked := map[crash.Part]reach.Blocked{}
	for _, block := range crashes.ledger.Blocks() {
		if !block.Lifted {
			blocked[block.Part] = reach.Blocked{RetryAt: block.NextTrial, Trial: crashes.trials[block.Part]}
		}
	}
	return blocked
}

// crashDigest returns what other nodes are told.
func (control *Control) crashDigest(now time.Time) gossip.Crashes {
	ledger := control.crashes.ledger
	var digest gossip.Crashes
	for _, report := range ledger.Reports(now) {
		digest.Reports = append(digest.Reports, gossip.CrashReport{
			Service: report.Part.Service, Part: report.Part.ID, Position: report.Position,
			Endpoint: report.Incarnation.Endpoint, StartedAt: report.Incarnation.StartedAt, At: report.At,
		})
	}
	for _, part := range ledger.RecentSuspects(now) {
		if at := control.lastAnswer(part); !at.IsZero() {
			digest.Answers = append(digest.Answers, gossip.PartAnswer{Service: part.Service, Part: part.ID, At: at})
		}
	}
	for _, block := range ledger.Blocks() {
		digest.Blocks = append(digest.Blocks, gossip.PartBlock{
			Service: block.Part.Service, Part: block.Part.ID, Round: block.Round, Lifted: block.Lifted, Crashes: block.Crashes,
			Trials: block.Trials, Since: block.Since, NextTrial: block.NextTrial,
		})
	}
	return digest
}

// learnCrashes takes from another node's digest what it knows of crashes.
func (control *Control) learnCrashes(digest gossip.Crashes) {
	ledger := control.crashes.ledger
	for _, report := range digest.Reports {
		ledger.Record(crash.Report{
			Part: crash.Part{Service: report.Service, ID: report.Part}, Position: report.Position,
			Incarnation: crash.Incarnation{Endpoint: report.Endpoint, StartedAt: report.StartedAt}, At: report.At,
		}, false)
	}
	for _, answer := range digest.Answers {
		ledger.RecordSound(crash.Part{Service: answer.Service, ID: answer.Part}, answer.At)
	}
	for _, block := range digest.Blocks {
		ledger.Merge(crash.Block{
			Part: crash.Part{Service: block.Service, ID: block.Part}, Round: block.Round, Lifted: block.Lifted, Since: block.Since,
			Crashes: block.Crashes, Trials: block.Trials, NextTrial: block.NextTrial,
		})
	}
}
