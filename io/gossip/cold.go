package gossip

import (
	"cmp"
	"slices"
	"time"
)

// ColdEndpoint says for how long an endpoint is still cold.
type ColdEndpoint struct {
	Endpoint  string    `cbor:"1,keyasint"`
	StartedAt int64     `cbor:"2,keyasint"`           // Unix milliseconds; of the incarnation that is cold
	Left      int64     `cbor:"3,keyasint"`           // nanoseconds
	Sequence  int64     `cbor:"4,keyasint,omitempty"` // of the row that says so; 0 for another source
	Until     time.Time `cbor:"-"`                    // the same as a time of the node's own clock
}

// maxSummedCold limits the list in a leader's sum.
const maxSummedCold = 2048

// coldWithAges returns a copy with the times left as of now, without those that have ended.
func coldWithAges(cold []ColdEndpoint, now time.Time) []ColdEndpoint {
	var left []ColdEndpoint
	for _, endpoint := range cold {
		if endpoint.Left = int64(endpoint.Until.Sub(now)); endpoint.Left > 0 {
			left = append(left, endpoint)
		}
	}
	return left
}

// ColdReceivedAt returns a copy with the times of a list that was received now.
func ColdReceivedAt(cold []ColdEndpoint, now time.Time) []ColdEndpoint {
	cold = slices.Clone(cold)
	for i := range cold {
		cold[i].Until = now.Add(time.Duration(cold[i].Left))
	}
	return cold
}

// addCold adds another node's list to a sum. Of one endpoint the newest word counts of rows,
// and of the other sources.
func addCold(sum, cold []ColdEndpoint) []ColdEndpoint {
	for _, endpoint := range cold {
		i := slices.IndexFunc(sum, func(known ColdEndpoint) bool {
			return known.Endpoint == endpoint.Endpoint && (known.Sequence > 0) == (endpoint.Sequence > 0)
		})
		switch {
		case i >= 0 && endpoint.newerThan(sum[i]):
			sum[i] = endpoint
		case i < 0 && len(sum) < maxSummedCold:
			sum = append(sum, endpoint)
		}
	}
	return sum
}

// newerThan reports whether the endpoint's later incarnation, its later row, or a later end is
// meant than by another entry of the same endpoint and kind.
func (coldendpoint ColdEndpoint) newerThan(other ColdEndpoint) bool {
	return cmp.Or(cmp.Compare(coldendpoint.StartedAt, other.StartedAt), cmp.Compare(coldendpoint.Sequence, other.Sequence), coldendpoint.Until.Compare(other.Until)) > 0
}
