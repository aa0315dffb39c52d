package entry

import "time"

// Policy holds the timeouts and limits of forwarding requests.
type Policy struct {
	ProbeAfter         time.Duration // time without an event after which a stream's endpoint is probed; until the first event, the latency objective is added
	StallAfter         time.Duration // time without an event after which a stream is to be taken over by another endpoint
	AnswerPatience     time.Duration // time without an answer after which an idempotent request is to be taken over by another endpoint
	HandoverInterval   time.Duration // between two looks for an endpoint that can take over
	GoneAfter          time.Duration // time after which an endpoint that was reported as lost counts as gone if it stays silent; sound ones pause for up to two seconds
	FullBackoff        time.Duration // for which an endpoint without free capacity gets no new requests
	UnreachableBackoff time.Duration // for which an unreachable or faulty endpoint gets no new requests
	MaxEndpoints       int           // endpoints that one request is sent to at most, including those that did not execute it
	BodyReadTimeout    time.Duration // for reading a request's body
	ExpectedAnswerTime time.Duration // within which nearly all other responses end and streams begin; a draining node with less time left rejects requests
	AnswerSlack        float64       // factor on the longest answer of late, for the next ones
	AnswerSpan         time.Duration // for which the longest answer is remembered, and up to twice as long
	CallerPatience     time.Duration // for which a caller may leave an event of a stream unread; endpoints cut off what stays unread for some seconds
	LastAnswer         time.Duration // before a draining node stops, when it answers requests whose endpoint has not
	StreamSlack        float64       // factor on a stream's estimated duration, for streams slower than estimated
	MinTimeLeft        time.Duration // a request with less time left is not retried
}

// DefaultPolicy returns values for latency objectives of a few hundred milliseconds.
func DefaultPolicy() Policy {
	return Policy{
		ProbeAfter: 220 * time.Millisecond, StallAfter: 1500 * time.Millisecond, AnswerPatience: 700 * time.Millisecond,
		HandoverInterval: 250 * time.Millisecond, GoneAfter: 2500 * time.Millisecond,
		FullBackoff: 150 * time.Millisecond, UnreachableBackoff: time.Second, MaxEndpoints: 3, BodyReadTimeout: 10 * time.Second,
		ExpectedAnswerTime: time.Second, AnswerSlack: 1.3, AnswerSpan: 30 * time.Second, CallerPatience: 2 * time.Second, LastAnswer: 150 * time.Millisecond, StreamSlack: 1.4, MinTimeLeft: 20 * time.Millisecond,
	}
}
