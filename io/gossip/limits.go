package gossip

import (
	"slices"
	"time"
)

// EndpointLimit says what an endpoint last stated to the node about the requests that
// it takes from all nodes together.
type EndpointLimit struct {
	Endpoint  string    `cbor:"1,keyasint"`
	StartedAt int64     `cbor:"2,keyasint"` // Unix milliseconds; of the incarnation that said so
	Limited   bool      `cbor:"3,keyasint,omitempty"`
	PerSecond float64   `cbor:"4,keyasint,omitempty"`
	Age       int64     `cbor:"5,keyasint"` // nanoseconds since the answer
	At        time.Time `cbor:"-"`          // the same as a time of the node's own clock
}

// maxSummedLimits limits the list in a leader's sum.
const maxSummedLimits = 1024

// limitsWithAges returns a copy with the ages as of now.
func limitsWithAges(limits []EndpointLimit, now time.Time) []EndpointLimit {
	limits = slices.Clone(limits)
	for i := range limits {
		limits[i].Age = int64(now.Sub(limits[i].At))
	}
	return limits
}

// LimitsReceivedAt returns a copy with the times of a list that was received now.
func LimitsReceivedAt(limits []EndpointLimit, now time.Time) []EndpointLimit {
	limits = slices.Clone(limits)
	for i := range limits {
		limits[i].At = now.Add(-time.Duration(limits[i].Age))
	}
	return limits
}

// addLimits adds another node's list to a sum. For one endpoint the newest counts.
func addLimits(sum, limits []EndpointLimit) []EndpointLimit {
	for _, limit := range limits {
		i := slices.IndexFunc(sum, func(known EndpointLimit) bool { return known.Endpoint == limit.Endpoint })
		switch {
		case i >= 0 && limit.At.After(sum[i].At):
			sum[i] = limit
		case i < 0 && len(sum) < maxSummedLimits:
			sum = append(sum, limit)
		}
	}
	return sum
}
