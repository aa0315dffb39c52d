package crash

import (
	"cmp"
	"slices"
	"time"
)

// Ledger holds what is known of the parts that were near when endpoints crashed. It
// belongs to one goroutine.
type Ledger struct {
	policy    Policy
	suspects  map[Part]*suspect
	blocks    map[Part]Block
	changed   bool      // since the last Judge
	settlesAt time.Time // when all recorded crashes count
	judgedAt  time.Time
}

// suspect is a part that was near at crashes.
type suspect struct {
	position int
	soundAt  time.Time // latest known answer to a prompt with the part; zero if none
	crashes  map[Incarnation]sighting
	last     time.Time // when the latest of them happened
}

// sighting is a crash that a suspect was near at.
type sighting struct {
	at  time.Time
	own bool // this node saw it
}

// New creates an empty ledger.
func New(policy Policy) *Ledger {
	return &Ledger{policy: policy, suspects: map[Part]*suspect{}, blocks: map[Part]Block{}}
}

// Record records a crash. own means that this node saw it, rather than another one.
// Nodes see the same crash at different times; the earliest counts.
func (ledger *Ledger) Record(report Report, own bool) {
	suspected := ledger.suspects[report.Part]
	if suspected == nil {
		suspected = &suspect{crashes: map[Incarnation]sighting{}}
		ledger.suspects[report.Part] = suspected
	}
	suspected.position = max(suspected.position, report.Position)
	known, found := suspected.crashes[report.Incarnation]
	if !found || report.At.Before(known.at) {
		known.at = report.At
	}
	known.own = known.own || own
	suspected.crashes[report.Incarnation] = known
	if found {
		return
	}
	ledger.changed = true
	if suspected.last.Before(report.At) {
		suspected.last = report.At
	}
	if settlesAt := report.At.Add(ledger.policy.Settle); settlesAt.After(ledger.settlesAt) {
		ledger.settlesAt = settlesAt
	}
	suspected.dropOldest(ledger.policy.MaxCrashes)
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

// RecordSound records that an endpoint has answered a prompt with a part. Crashes
// before that do not count against the part, and a block that began before is
// lifted.
func (ledger *Ledger) RecordSound(part Part, at time.Time) {
	if suspected := ledger.suspects[part]; suspected != nil && at.After(suspected.soundAt) {
		suspected.soundAt = at
		ledger.changed = true
	}
	if block, found := ledger.blocks[part]; found && !block.Lifted && at.After(block.Since) {
		block.Lifted = true
		ledger.blocks[part] = block
	}
}

// Suspects returns the parts that were near at a crash.
func (ledger *Ledger) Suspects() []Part {
	parts := make([]Part, 0, len(ledger.suspects))
	for part := range ledger.suspects {
		parts = append(parts, part)
	}
	return parts
}

// Watched returns the parts of which answers count: those that were near at a crash,
// and the blocked ones, which may not be known to have been.
func (ledger *Ledger) Watched() []Part {
	parts := ledger.Suspects()
	for part := range ledger.blocks {
		if ledger.suspects[part] == nil && ledger.active(part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// RecentSuspects returns the parts that were near at a recent crash, which other nodes
// suspect too: the most suspicious ones if there are too many.
func (ledger *Ledger) RecentSuspects(now time.Time) []Part {
	parts := slices.DeleteFunc(ledger.Suspects(), func(part Part) bool {
		return now.Sub(ledger.suspects[part].last) >= ledger.policy.ReportFor
	})
	if len(parts) > ledger.policy.MaxReports {
		slices.SortFunc(parts, func(a, b Part) int {
			return cmp.Compare(len(ledger.suspects[b].crashes), len(ledger.suspects[a].crashes))
		})
		parts = parts[:ledger.policy.MaxReports]
	}
	return parts
}

// Judge blocks the parts that must have caused crashes.
//
// Everything that an endpoint runs ends with it, so every part that was near gets
// its share of the blame. Parts are told apart as follows:
//
//   - An answer on a part shows that the part is sound: earlier crashes do not count
//     against it. Sound parts are answered again and again elsewhere.
//   - The most likely part is blocked first, and the crashes at which it was near do
//     not count against the others any more. For example, part b crashes endpoints, and all
//     requests with b begin with part f, as do sound ones. At three crashes both were
//     near. Answers on f are known from before, so b needs fewer crashes, is
//     blocked, and explains all three. If neither has ever been answered, the later part
//     in the prompt is blocked: were it f, requests with f and without b would crash
//     endpoints as well, and these crashes count against f.
//   - Crashes in one moment count as one: when a rack fails, every part with enough
//     requests is near at several of its endpoints.
func (ledger *Ledger) Judge(now time.Time) {
	ledger.forget(now)
	if !ledger.changed && !ledger.judgedAt.Before(ledger.settlesAt) {
		return
	}
	ledger.changed, ledger.judgedAt = false, now
	for {
		part, crashes := ledger.mostLikely(now)
		if crashes == 0 {
			return
		}
		ledger.blocks[part] = Block{
			Part: part, Round: ledger.blocks[part].Round + 1, Since: now, Crashes: crashes, NextTrial: now.Add(ledger.policy.trialDelay(0)),
		}
	}
}

// mostLikely returns the part that is most likely to have caused crashes, and their
// number, among those that have reached their threshold. The number is 0 if there is
// none.
func (ledger *Ledger) mostLikely(now time.Time) (Part, int) {
	explained := ledger.explained()
	var best Part
	bestCrashes := 0
	for part, suspected := range ledger.suspects {
		if ledger.active(part) {
			continue
		}
		crashes := ledger.countCrashes(suspected, explained, now)
		if crashes < ledger.threshold(suspected) {
			continue
		}
		if bestCrashes == 0 || ledger.likelier(part, crashes, best, bestCrashes) {
			best, bestCrashes = part, crashes
		}
	}
	return best, bestCrashes
}

// likelier reports whether a part is more likely to have caused crashes than another
// one.
func (ledger *Ledger) likelier(part Part, crashes int, other Part, otherCrashes int) bool {
	suspected, otherSuspected := ledger.suspects[part], ledger.suspects[other]
	if unknown, otherUnknown := suspected.soundAt.IsZero(), otherSuspected.soundAt.IsZero(); unknown != otherUnknown {
		return unknown
	}
	order := cmp.Or(cmp.Compare(crashes, otherCrashes), cmp.Compare(suspected.position, otherSuspected.position),
		cmp.Compare(other.Service, part.Service), cmp.Compare(other.ID, part.ID))
	return order > 0
}

func (ledger *Ledger) threshold(suspected *suspect) int {
	if suspected.soundAt.IsZero() {
		return ledger.policy.UnknownThreshold
	}
	return ledger.policy.SoundThreshold
}

// explained returns the crashes at which a blocked part was near.
func (ledger *Ledger) explained() map[Incarnation]bool {
	explained := map[Incarnation]bool{}
	for part := range ledger.blocks {
		if suspected := ledger.suspects[part]; suspected != nil && ledger.active(part) {
			for incarnation := range suspected.crashes {
				explained[incarnation] = true
			}
		}
	}
	return explained
}

// countCrashes returns the number of moments with crashes that count against a part.
func (ledger *Ledger) countCrashes(suspected *suspect, explained map[Incarnation]bool, now time.Time) int {
	var times []time.Time
	for incarnation, seen := range suspected.crashes {
		if seen.at.After(suspected.soundAt) && !seen.at.After(now.Add(-ledger.policy.Settle)) && !explained[incarnation] {
			times = append(times, seen.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range times {
		if count == 0 || !at.Before(last.Add(ledger.policy.MomentGap)) {
			count++
			last = at
		}
	}
	return count
}

// active reports whether requests with the part are rejected.
func (ledger *Ledger) active(part Part) bool {
	block, found := ledger.blocks[part]
	return found && !block.Lifted
}

// forget drops suspects that were answered since or whose last crash is long ago. Beyond
// the limits, it drops the least suspicious ones, and lifted blocks before others, the
// oldest first.
func (ledger *Ledger) forget(now time.Time) {
	for part, suspected := range ledger.suspects {
		age := now.Sub(suspected.last)
		if age > ledger.policy.SuspectTTL || age > ledger.policy.ReportFor && suspected.soundAt.After(suspected.last) {
			delete(ledger.suspects, part)
		}
	}
	if excess := len(ledger.suspects) - ledger.policy.MaxSuspects; excess > 0 {
		parts := ledger.Suspects()
		slices.SortFunc(parts, func(a, b Part) int {
			return cmp.Or(cmp.Compare(len(ledger.suspects[a].crashes), len(ledger.suspects[b].crashes)), ledger.suspects[a].last.Compare(ledger.suspects[b].last))
		})
		for _, part := range parts[:excess] {
			delete(ledger.suspects, part)
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
			delete(ledger.blocks, block.Part)
		}
	}
}

// Reports returns the recent crashes that this node saw, for the other nodes: the
// newest if there are too many.
func (ledger *Ledger) Reports(now time.Time) []Report {
	var reports []Report
	for part, suspected := range ledger.suspects {
		if now.Sub(suspected.last) >= ledger.policy.ReportFor {
			continue
		}
		for incarnation, seen := range suspected.crashes {
			if seen.own && now.Sub(seen.at) < ledger.policy.ReportFor {
				reports = append(reports, Report{Part: part, Position: suspected.position, Incarnation: incarnation, At: seen.at})
			}
		}
	}
	if len(reports) > ledger.policy.MaxReports {
		slices.SortFunc(reports, func(a, b Report) int { return b.At.Compare(a.At) })
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
// whether it was.
func (ledger *Ledger) Merge(block Block) bool {
	if known, found := ledger.blocks[block.Part]; found && !block.newerThan(known) {
		return false
	}
	ledger.blocks[block.Part] = block
	return true
}

// Restore takes a block of which neither this node nor another one knows more than
// that it was in force. Its next trial is due as if it had begun at its Since.
func (ledger *Ledger) Restore(block Block) {
	block.NextTrial = block.Since.Add(ledger.policy.trialDelay(block.Trials))
	ledger.Merge(block)
}

// TrialFailed records that a trial of a blocked part ended another endpoint.
func (ledger *Ledger) TrialFailed(part Part, now time.Time) {
	block, found := ledger.blocks[part]
	if !found || block.Lifted {
		return
	}
	block.Trials++
	block.NextTrial = now.Add(ledger.policy.trialDelay(block.Trials))
	ledger.blocks[part] = block
}
