package entry

import "time"

// Policy holds the times of passing requests on.
type Policy struct {
	ProbeAfter         time.Duration // silence of a stream after which its replica is asked whether it lives
	StallAfter         time.Duration // silence after which a stream goes on elsewhere
	SafeAttemptTimeout time.Duration // for the head of an answer to a safe request, before another endpoint is asked
	FullBackoff        time.Duration // an endpoint that had no room gets nothing new
	UnreachableBackoff time.Duration // an endpoint that could not be reached gets nothing new
	MaxEndpoints       int           // endpoints that one request is offered to
	BodyReadTimeout    time.Duration // to read a request's body
	ExpectedAnswerTime time.Duration // in which nearly all answers end that are no streams, and streams begin; a node that ends sooner takes no new ones
	StreamSlack        float64       // how much longer than estimated a stream may take
	MinTimeLeft        time.Duration // a request with less time left is not sent on
}

// DefaultPolicy fits objectives of some hundred milliseconds.
func DefaultPolicy() Policy {
	return Policy{
		ProbeAfter: 220 * time.Millisecond, StallAfter: 1500 * time.Millisecond, SafeAttemptTimeout: 700 * time.Millisecond,
		FullBackoff: 150 * time.Millisecond, UnreachableBackoff: time.Second, MaxEndpoints: 3, BodyReadTimeout: 10 * time.Second,
		ExpectedAnswerTime: time.Second, StreamSlack: 1.4, MinTimeLeft: 20 * time.Millisecond,
	}
}
