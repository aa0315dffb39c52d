package gossip

import "time"

// answerAges returns how long ago, in nanoseconds, endpoints answered.
func answerAges(answeredAt map[string]time.Time, now time.Time) map[string]int64 {
	ages := make(map[string]int64, len(answeredAt))
	for id, at := range answeredAt {
		ages[id] = int64(now.Sub(at))
	}
	return ages
}

// AnswersReceivedAt returns when the endpoints in Answering answered, on the clock of the node that
// has received the digest. The digest of an older build does not tell; then the longest time
// counts that it lists an answer for.
func (digest Digest) AnswersReceivedAt(now time.Time, longest time.Duration) map[string]time.Time {
	answeredAt := make(map[string]time.Time, len(digest.Answering))
	for _, id := range digest.Answering {
		age, found := digest.AnswerAges[id]
		if !found || age < 0 {
			age = int64(longest)
		}
		answeredAt[id] = now.Add(-time.Duration(age))
	}
	return answeredAt
}

// addAnswers returns the later answer of each endpoint.
func addAnswers(answeredAt, others map[string]time.Time) map[string]time.Time {
	if answeredAt == nil {
		answeredAt = map[string]time.Time{}
	}
	for id, at := range others {
		if at.After(answeredAt[id]) {
			answeredAt[id] = at
		}
	}
	return answeredAt
}
