package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Ledger holds what is known of the inputs that were near when endpoints crashed. It
// belongs to one goroutine.
type Ledger struct {
	policy    Policy
	endpoints int // among which the crashes come
	suspects  map[Input]*suspect
	blocks    map[Input]Block
	recent    map[Incarnation]crashTimes // of crashes
	startedAt time.Time                  // when it was first used
	changed   bool                       // a crash or a block, since the last Judge
	settlesAt time.Time                  // when all recorded crashes count
	judgedAt  time.Time
}

// suspect is an input that was near at crashes.
type suspect struct {
	position  int
	crashes   map[Incarnation]sighting
	last      time.Time       // when the latest of them happened
	clearedAt time.Time       // crashes until then do not count; zero if all do
	usesFirst int             // that nodes told of at first, as if before the first crash
	uses      int             // since then
	known     map[string]Uses // the uses that each node has told of
	changed   bool            // uses, since the last Judge
	score     float64         // as of the last Judge
}

// sighting is a crash that a suspect was near at.
type sighting struct {
	at      time.Time
	begunAt time.Time // as in Report
	ended   bool
	own     bool    // this node saw it
	uses    int     // of the suspect until this node learned of the crash
	score   float64 // of the crash by itself, as of the last Judge at which it was recent
}

// report returns what the sighting says of the crash and the answer.
func (sighting sighting) report() Report {
	return Report{At: sighting.at, BegunAt: sighting.begunAt, Ended: sighting.ended}
}

// crashTimes are the times of a crash.
type crashTimes struct {
	at        time.Time // as it was first told of
	learnedAt time.Time // when this node was first told, or found out
}

// New creates an empty ledger.
func New(policy Policy) *Ledger {
	return &Ledger{policy: policy, suspects: map[Input]*suspect{}, blocks: map[Input]Block{}, recent: map[Incarnation]crashTimes{}}
}

// SetEndpoints sets the number of endpoints among which the crashes come.
func (ledger *Ledger) SetEndpoints(count int) { ledger.endpoints = count }

// Crashed reports whether the ledger knows of a recent crash of an incarnation.
func (ledger *Ledger) Crashed(incarnation Incarnation) bool {
	_, found := ledger.recent[incarnation]
	return found
}

// Record records a crash. own means that this node saw it, rather than another one.
// Nodes see the same crash at different times; the earliest counts. They find out that it
// was one at different times as well. So it counts some time after this node has, and then
// for all inputs that were near.
func (ledger *Ledger) Record(report Report, own bool, now time.Time) {
	ledger.start(now)
	suspected := ledger.suspects[report.Input]
	if suspected == nil {
		suspected = &suspect{crashes: map[Incarnation]sighting{}, known: map[string]Uses{}}
		ledger.suspects[report.Input] = suspected
	}
	suspected.position = max(suspected.position, report.Position)
	known, found := suspected.crashes[report.Incarnation]
	if !found {
		known = sighting{at: report.At, begunAt: report.BegunAt, ended: report.Ended, uses: suspected.uses}
	}
	joined := known.report().Join(report)
	known.at, known.begunAt, known.ended = joined.At, joined.BegunAt, joined.Ended
	known.own = known.own || own
	suspected.crashes[report.Incarnation] = known
	if found {
		return
	}
	ledger.changed = true
	if suspected.last.Before(report.At) {
		suspected.last = report.At
	}
	if !ledger.Crashed(report.Incarnation) {
		ledger.recent[report.Incarnation] = crashTimes{at: report.At, learnedAt: now}
	}
	if settlesAt := ledger.recent[report.Incarnation].learnedAt.Add(ledger.policy.Settle); settlesAt.After(ledger.settlesAt) {
		ledger.settlesAt = settlesAt
	}
	suspected.dropOldest(ledger.policy.MaxCrashes)
}

// start records when the ledger was first used.
func (ledger *Ledger) start(now time.Time) {
	if ledger.startedAt.IsZero() {
		ledger.startedAt = now
	}
}

func (suspect *suspect) dropOldest(limit int) {
	for len(suspect.crashes) > limit {
		var oldest Incarnation
		for incarnation, seen := range suspect.crashes {
			if first, found := suspect.crashes[oldest]; !found || seen.at.Before(first.at) {
				oldest = incarnation
			}
		}
		delete(suspect.crashes, oldest)
	}
}

// RecordUses records how many requests with a suspected input endpoints have answered and
// outlived through a node. What a node tells first counts as before the first crash. Nodes
// of older builds, which have no name here, tell of their latest answer only.
func (ledger *Ledger) RecordUses(input Input, node string, uses Uses) {
	suspected := ledger.suspects[input]
	if suspected == nil || uses.Last.IsZero() {
		return
	}
	known, found := suspected.known[node]
	if node == "" {
		uses.Count = known.Count
		if uses.Last.After(known.Last) {
			uses.Count++
		}
	}
	if found && uses == known {
		return
	}
	suspected.known[node] = uses
	suspected.changed = true
	switch {
	case !found:
		suspected.usesFirst += uses.Count
	case uses.Count < known.Count: // the node has started again
		suspected.uses += uses.Count
	default:
		suspected.uses += uses.Count - known.Count
	}
}

// Suspects returns the inputs that were near at a crash.
func (ledger *Ledger) Suspects() []Input {
	inputs := make([]Input, 0, len(ledger.suspects))
	for input := range ledger.suspects {
		inputs = append(inputs, input)
	}
	return inputs
}

// RecentSuspects returns the inputs that were near at a recent crash, which other nodes
// suspect too: the most suspicious ones if there are too many.
func (ledger *Ledger) RecentSuspects(now time.Time) []Input {
	inputs := slices.DeleteFunc(ledger.Suspects(), func(input Input) bool {
		return now.Sub(ledger.suspects[input].last) >= ledger.policy.ReportFor
	})
	if len(inputs) > ledger.policy.MaxReports {
		slices.SortFunc(inputs, ledger.compareSuspicion)
		inputs = inputs[:ledger.policy.MaxReports]
	}
	return inputs
}

// compareSuspicion sorts the most suspicious inputs first: by the number of crashes that
// they were near at, then the newest first.
func (ledger *Ledger) compareSuspicion(a, b Input) int {
	suspected, other := ledger.suspects[a], ledger.suspects[b]
	return cmp.Or(cmp.Compare(len(other.crashes), len(suspected.crashes)), other.last.Compare(suspected.last))
}

// InQuestion returns the inputs that may crash endpoints, by their score, and the suspects that are blocked.
func (ledger *Ledger) InQuestion() []Input {
	return slices.DeleteFunc(ledger.Suspects(), func(input Input) bool {
		return ledger.suspects[input].score < ledger.policy.questionScore(input) && !ledger.active(input)
	})
}

// active reports whether requests with the input are rejected.
func (ledger *Ledger) active(input Input) bool {
	block, found := ledger.blocks[input]
	return found && !block.Lifted
}

// forget drops suspects with the lowest score or whose last crash is long ago. Beyond
// the limits, it drops the least suspicious ones, and lifted blocks before others, the
// oldest first.
func (ledger *Ledger) forget(now time.Time) {
	for input, suspected := range ledger.suspects {
		age := now.Sub(suspected.last)
		if age > ledger.policy.SuspectTTL || age > ledger.policy.ReportFor && suspected.score <= ledger.policy.LowestScore {
			delete(ledger.suspects, input)
		}
	}
	if len(ledger.suspects) > ledger.policy.MaxSuspects {
		inputs := ledger.Suspects()
		slices.SortFunc(inputs, ledger.compareSuspicion)
		for _, input := range inputs[ledger.policy.MaxSuspects:] {
			delete(ledger.suspects, input)
		}
	}
	if excess := len(ledger.blocks) - ledger.policy.MaxBlocks; excess > 0 {
		blocks := ledger.Blocks()
		slices.SortFunc(blocks, func(a, b Block) int { return a.Since.Compare(b.Since) })
		slices.SortStableFunc(blocks, func(a, b Block) int {
			switch {
			case a.Lifted == b.Lifted:
				return 0
			case a.Lifted:
				return -1
			default:
				return 1
			}
		})
		for _, block := range blocks[:excess] {
			delete(ledger.blocks, block.Input)
		}
	}
}

// forgetCrashes drops the crashes that do not tell any more how often they come. The scores of
// those that inputs were near at stay.
func (ledger *Ledger) forgetCrashes(now time.Time) {
	maps.DeleteFunc(ledger.recent, func(_ Incarnation, times crashTimes) bool {
		return now.Sub(times.learnedAt) >= ledger.policy.BaseWindow
	})
}

// Reports returns the recent crashes that this node saw, for the other nodes: those of
// the most suspicious inputs if there are too many.
func (ledger *Ledger) Reports(now time.Time) []Report {
	var reports []Report
	for input, suspected := range ledger.suspects {
		if now.Sub(suspected.last) >= ledger.policy.ReportFor {
			continue
		}
		for incarnation, seen := range suspected.crashes {
			if seen.own && now.Sub(seen.at) < ledger.policy.ReportFor {
				reports = append(reports, Report{Input: input, Position: suspected.position, Incarnation: incarnation, At: seen.at, BegunAt: seen.begunAt, Ended: seen.ended})
			}
		}
	}
	if len(reports) > ledger.policy.MaxReports {
		slices.SortFunc(reports, func(a, b Report) int {
			return cmp.Or(ledger.compareSuspicion(a.Input, b.Input), b.At.Compare(a.At))
		})
		reports = reports[:ledger.policy.MaxReports]
	}
	return reports
}

// Blocks returns all blocks, those that were lifted too.
func (ledger *Ledger) Blocks() []Block {
	blocks := make([]Block, 0, len(ledger.blocks))
	for _, block := range ledger.blocks {
		blocks = append(blocks, block)
	}
	return blocks
}

// Merge takes another node's block if it is newer than the known one, and reports
// whether it was. It does not take the end of a block that holds for no reason that counts.
func (ledger *Ledger) Merge(block Block) bool {
	known, found := ledger.blocks[block.Input]
	if found && !block.newerThan(known) || block.Lifted && !block.liftHolds(ledger.policy) {
		return false
	}
	ledger.blocks[block.Input] = block
	if block.Lifted {
		ledger.clear(block.Input)
	}
	return true
}

// Lift ends a block by an operator's order, and reports whether there was one. The
// crashes until now do not count against the input any more.
func (ledger *Ledger) Lift(input Input) bool {
	block, found := ledger.blocks[input]
	if !found || block.Lifted {
		return false
	}
	block.Ordered = true
	ledger.lift(block)
	return true
}

func (ledger *Ledger) lift(block Block) {
	block.Lifted = true
	ledger.blocks[block.Input] = block
	ledger.clear(block.Input)
}

// clear has the crashes until now not count against an input any more.
func (ledger *Ledger) clear(input Input) {
	if suspected := ledger.suspects[input]; suspected != nil {
		suspected.clearedAt = suspected.last
		ledger.changed = true
	}
}

// Evidence is what a node knows against and for an input.
type Evidence struct {
	Crashes   []Report // that the input was near at, in their order
	Uses      int      // requests with it that were answered since the first of them
	UsesFirst int      // the same before the first of them, as far as it is known
	Score     float64  // see Policy
}

// Evidence returns what this node knows of an input.
func (ledger *Ledger) Evidence(input Input) Evidence {
	suspected := ledger.suspects[input]
	if suspected == nil {
		return Evidence{}
	}
	evidence := Evidence{Uses: suspected.uses, UsesFirst: suspected.usesFirst, Score: suspected.score}
	for incarnation, seen := range suspected.crashes {
		evidence.Crashes = append(evidence.Crashes, Report{Input: input, Position: suspected.position, Incarnation: incarnation, At: seen.at, BegunAt: seen.begunAt, Ended: seen.ended})
	}
	slices.SortFunc(evidence.Crashes, func(a, b Report) int { return a.At.Compare(b.At) })
	return evidence
}

// Restore takes a block of which neither this node nor another one knows more than
// that it was in force. Its next trial is due as if it had begun at its Since.
func (ledger *Ledger) Restore(block Block) {
	block.NextTrial = block.Since.Add(ledger.policy.trialDelay(block.Trials))
	ledger.Merge(block)
}

// TrialFailed records that a trial of a blocked input ended another endpoint.
func (ledger *Ledger) TrialFailed(input Input, now time.Time) {
	block, found := ledger.blocks[input]
	if !found || block.Lifted {
		return
	}
	block.Trials++
	block.Passed = 0
	block.NextTrial = now.Add(ledger.policy.trialDelay(block.Trials))
	ledger.blocks[input] = block
}

// TrialPassed records that a trial of a blocked input was answered, and that its endpoint has
// outlived the answer. The next trial is due at once; enough of them lift the block.
func (ledger *Ledger) TrialPassed(input Input, now time.Time) {
	block, found := ledger.blocks[input]
	if !found || block.Lifted {
		return
	}
	block.Passed++
	block.NextTrial = now
	if block.liftHolds(ledger.policy) {
		ledger.lift(block)
		return
	}
	ledger.blocks[input] = block
}
