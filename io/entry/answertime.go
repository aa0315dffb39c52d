package entry

import (
	"sync"
	"time"
)

// answerTimes remembers the longest time that answers of each service took of late. All
// request goroutines share it.
type answerTimes struct {
	mutex    sync.Mutex
	span     time.Duration // of one period
	endsAt   time.Time     // of the current period
	current  map[string]time.Duration
	previous map[string]time.Duration // the period before
}

func newAnswerTimes(span time.Duration) *answerTimes {
	return &answerTimes{span: span, current: map[string]time.Duration{}}
}

// record records how long an answer of a service took.
func (answertimes *answerTimes) record(service string, took time.Duration, now time.Time) {
	answertimes.mutex.Lock()
	defer answertimes.mutex.Unlock()
	answertimes.advance(now)
	answertimes.current[service] = max(answertimes.current[service], took)
}

// longest returns the longest time of the current and the previous period, or 0 if no
// answer of the service is known.
func (answertimes *answerTimes) longest(service string, now time.Time) time.Duration {
	answertimes.mutex.Lock()
	defer answertimes.mutex.Unlock()
	answertimes.advance(now)
	return max(answertimes.current[service], answertimes.previous[service])
}

func (answertimes *answerTimes) advance(now time.Time) {
	if now.Before(answertimes.endsAt) {
		return
	}
	answertimes.previous = answertimes.current
	if now.Sub(answertimes.endsAt) >= answertimes.span {
		answertimes.previous = nil
	}
	answertimes.current, answertimes.endsAt = map[string]time.Duration{}, now.Add(answertimes.span)
}
