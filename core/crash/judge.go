package crash

import (
	"cmp"
	"slices"
	"time"
)

// Judge blocks the inputs that must have caused crashes.
//
// Everything that an endpoint runs ends with it, so every input that was near gets
// its share of the blame. Inputs are told apart as follows:
//
//   - Each input has a score, the logarithm of the odds that it crashes endpoints (a sequential
//     probability ratio test). Each crash that it was near at raises it: the more so, the sooner
//     the crash came after the answer began, and the fewer endpoints crash without the input.
//     Each request with it that an endpoint has answered and outlived lowers it. So no single
//     event decides.
//   - The score falls to a lowest one at most. For example, a part that was answered all day begins
//     to crash a new build of the endpoints: seven crashes in a row block it, however many answers
//     came before. A part of which an answer is known begins with a score of its own, since
//     answers count only some time after they began.
//   - The most likely input is blocked first, and the crashes at which it was near do not count
//     against the others any more, or half (see weighScore). For example, part b crashes
//     endpoints, and all requests with b begin with part f, as do sound ones. At three crashes
//     both were near. Answers on f are known from before, so b needs fewer crashes, is blocked,
//     and explains all three. If f has about the same score and was near at all crashes that b
//     was near at, the later part in the prompt is blocked: were it f, requests with f and
//     without b would crash endpoints as well, and these crashes count against f.
//   - A crash does not count if many other endpoints crash in the same moment without the input.
//   - Crashes in one moment count as one: when a rack fails, every input with enough
//     requests is near at several of its endpoints. Of an input that has never been
//     answered, crashes are counted one by one: a popular one, which may run on several
//     endpoints at once, has been answered. Those of a part have to fall into two moments
//     at least.
//   - A whole request explains crashes before a part that explains no more of them: were it
//     the part, other requests with it would crash endpoints as well. Two whole
//     requests with as many crashes can't be told apart, so both are blocked, and the
//     sound one is allowed again after its trials.
func (ledger *Ledger) Judge(now time.Time) {
	ledger.start(now)
	ledger.forget(now)
	defer ledger.forgetCrashes(now)
	all := ledger.changed || ledger.judgedAt.Before(ledger.settlesAt)
	ledger.changed, ledger.judgedAt = false, now
	for {
		explained := ledger.explained()
		ledger.scoreSuspects(all, explained, now)
		inputs := ledger.mostLikely()
		for _, input := range inputs {
			ledger.blocks[input] = Block{
				Input: input, Round: ledger.blocks[input].Round + 1, Since: now, Crashes: ledger.countUnexplained(input, explained, now), Score: ledger.suspects[input].score,
				NextTrial: now.Add(ledger.policy.trialDelay(0)),
			}
		}
		if len(inputs) == 0 {
			return
		}
		all = true
	}
}

// scoreSuspects sets the scores of the suspects that were answered since the last time, or of all.
func (ledger *Ledger) scoreSuspects(all bool, explained map[Incarnation]bool, now time.Time) {
	unexplained := map[Incarnation]time.Time{}
	for incarnation, times := range ledger.recent {
		if !explained[incarnation] {
			unexplained[incarnation] = times.at
		}
	}
	for input, suspected := range ledger.suspects {
		if all {
			ledger.scoreCrashes(suspected, unexplained, now)
		}
		if all || suspected.changed {
			suspected.changed = false
			suspected.score = ledger.weighScore(input, suspected, explained, now)
		}
	}
}

// scoreCrashes sets the scores of the recent crashes that an input was near at. The other ones
// among those that nothing explains tell how often endpoints crash of other causes, and
// which crashes have a common one.
func (ledger *Ledger) scoreCrashes(suspected *suspect, unexplained map[Incarnation]time.Time, now time.Time) {
	var others []time.Time
	for incarnation, at := range unexplained {
		if _, near := suspected.crashes[incarnation]; !near {
			others = append(others, at)
		}
	}
	rate := ledger.otherCrashRate(suspected, ledger.countMoments(others), now)
	for incarnation, seen := range suspected.crashes {
		if !ledger.Crashed(incarnation) {
			continue
		}
		seen.score = ledger.policy.crashScore(seen.report(), rate)
		if ledger.hasCommonCause(seen, others) {
			seen.score = 0
		}
		suspected.crashes[incarnation] = seen
	}
}

// countMoments returns the number of moments with crashes.
func (ledger *Ledger) countMoments(crashes []time.Time) int {
	slices.SortFunc(crashes, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range crashes {
		if count == 0 || !at.Before(last.Add(ledger.policy.MomentGap)) {
			count++
			last = at
		}
	}
	return count
}

// otherCrashRate estimates how often endpoints crash of causes other than an input, by the number of
// recent crashes without it, and those with it as far as they are not likely to be due to it.
func (ledger *Ledger) otherCrashRate(suspected *suspect, others int, now time.Time) float64 {
	const rounds = 3 // after which the estimate hardly changes
	policy, within := ledger.policy, min(ledger.policy.BaseWindow, now.Sub(ledger.startedAt))
	rate := policy.baseRate(float64(others), ledger.endpoints, within)
	for range rounds {
		count := float64(others)
		for incarnation, seen := range suspected.crashes {
			if ledger.Crashed(incarnation) {
				count += 1 - policy.responsibility(seen.report().Age(), rate)
			}
		}
		rate = policy.baseRate(count, ledger.endpoints, within)
	}
	return rate
}

// hasCommonCause reports whether so many other endpoints crashed in the same moment without the
// input that a rack or a zone must have failed.
func (ledger *Ledger) hasCommonCause(seen sighting, others []time.Time) bool {
	count := 0
	for _, at := range others {
		if at.Sub(seen.at).Abs() < ledger.policy.MomentGap {
			count++
		}
	}
	return count >= ledger.policy.CommonCause
}

// mostLikely returns the input that is most likely to have caused crashes, if its score
// suffices. Whole requests that are as likely as each other are returned together.
func (ledger *Ledger) mostLikely() []Input {
	candidates := slices.DeleteFunc(ledger.Suspects(), func(input Input) bool {
		return ledger.active(input) || ledger.suspects[input].score < ledger.policy.BlockScore
	})
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MaxFunc(candidates, ledger.compareLikelihood)
	score := ledger.suspects[best].score
	if !best.IsRequest() {
		candidates = slices.DeleteFunc(candidates, func(input Input) bool {
			return input.IsRequest() || ledger.suspects[input].score <= score-ledger.policy.TieScore || !ledger.covers(best, input)
		})
		return []Input{slices.MaxFunc(candidates, ledger.comparePosition)}
	}
	return slices.DeleteFunc(candidates, func(input Input) bool { return !input.IsRequest() || ledger.suspects[input].score != score })
}

// used reports whether a request with the input was ever answered.
func (suspect *suspect) used() bool { return len(suspect.known) > 0 }

// covers reports whether an input was near at all crashes that another one was near at.
func (ledger *Ledger) covers(input, other Input) bool {
	crashes := ledger.suspects[input].crashes
	for incarnation := range ledger.suspects[other].crashes {
		if _, found := crashes[incarnation]; !found {
			return false
		}
	}
	return true
}

// compareLikelihood sorts the inputs that are more likely to have caused crashes last.
func (ledger *Ledger) compareLikelihood(a, b Input) int {
	order := cmp.Compare(ledger.suspects[a].score, ledger.suspects[b].score)
	if order != 0 || a.IsRequest() == b.IsRequest() {
		return order
	}
	if a.IsRequest() {
		return 1
	}
	return -1
}

// comparePosition sorts the parts that come later in prompts last.
func (ledger *Ledger) comparePosition(a, b Input) int {
	return cmp.Or(cmp.Compare(ledger.suspects[a].position, ledger.suspects[b].position), cmp.Compare(ledger.suspects[a].score, ledger.suspects[b].score),
		cmp.Compare(b.Service, a.Service), cmp.Compare(b.ID, a.ID))
}

// explained returns the crashes at which a blocked input was near.
func (ledger *Ledger) explained() map[Incarnation]bool {
	explained := map[Incarnation]bool{}
	for input := range ledger.blocks {
		if suspected := ledger.suspects[input]; suspected != nil && ledger.active(input) {
			for incarnation := range suspected.crashes {
				explained[incarnation] = true
			}
		}
	}
	return explained
}

// weighScore returns the score of an input. Of a part that was never answered, explained
// crashes count half if there are others.
//
// For example, b and c both crash endpoints, and requests with them go to the same ones. b
// is blocked and was near at half of the crashes at which c was. If these did not count at
// all, c would crash three more endpoints.
func (ledger *Ledger) weighScore(input Input, suspected *suspect, explained map[Incarnation]bool, now time.Time) float64 {
	unexplained := ledger.score(input, suspected, explained, now)
	if input.IsRequest() || suspected.used() || unexplained <= 0 {
		return unexplained
	}
	all := ledger.score(input, suspected, nil, now)
	return unexplained + (all-unexplained)/2
}

// score returns the score of an input by the answers and the crashes that are not explained.
func (ledger *Ledger) score(input Input, suspected *suspect, explained map[Incarnation]bool, now time.Time) float64 {
	lowest, perUse := ledger.policy.LowestScore, ledger.policy.useScore()
	score, uses := max(lowest, -perUse*float64(suspected.usesFirst)), 0
	if !input.IsRequest() && suspected.used() {
		score = min(score, ledger.policy.KnownScore)
	}
	for _, moment := range ledger.moments(input, suspected, explained, now) {
		score = max(lowest, score-perUse*float64(moment.uses-uses)) + moment.score
		uses = moment.uses
	}
	return max(lowest, score-perUse*float64(suspected.uses-uses))
}

// moments returns the crashes that count against an input, those in one moment as one. Of an
// input that was never answered they count one by one, of a part if there is a second moment.
func (ledger *Ledger) moments(input Input, suspected *suspect, explained map[Incarnation]bool, now time.Time) []sighting {
	var crashes []sighting
	for incarnation, seen := range suspected.crashes {
		if seen.at.After(suspected.clearedAt) && ledger.settled(incarnation, now) && !explained[incarnation] {
			crashes = append(crashes, seen)
		}
	}
	slices.SortFunc(crashes, func(a, b sighting) int { return a.at.Compare(b.at) })
	if !suspected.used() && input.IsRequest() {
		return crashes
	}
	moments := ledger.joinMoments(crashes, 1)
	if !suspected.used() && len(moments) > 1 {
		return ledger.joinMoments(crashes, ledger.policy.MomentScore)
	}
	return moments
}

// joinMoments joins the crashes in each moment, which then score at most as much as a number of
// the most telling one of them.
func (ledger *Ledger) joinMoments(crashes []sighting, limit float64) []sighting {
	var moments []sighting
	most := 0.0
	for _, seen := range crashes {
		last := len(moments) - 1
		if last < 0 || !seen.at.Before(moments[last].at.Add(ledger.policy.MomentGap)) {
			moments, most = append(moments, seen), seen.score
			continue
		}
		most = max(most, seen.score)
		moments[last].score = min(moments[last].score+seen.score, limit*most)
	}
	return moments
}

// countUnexplained returns the number of crashes that count against an input.
func (ledger *Ledger) countUnexplained(input Input, explained map[Incarnation]bool, now time.Time) int {
	return len(ledger.moments(input, ledger.suspects[input], explained, now))
}

// settled reports whether a crash counts: the other nodes have had time to report which
// inputs were near.
func (ledger *Ledger) settled(incarnation Incarnation, now time.Time) bool {
	times, recent := ledger.recent[incarnation]
	return !recent || !times.learnedAt.After(now.Add(-ledger.policy.Settle))
}
