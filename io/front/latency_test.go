package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/route"
	"hickorybend/io/meter"
)

// TestChunksWithoutTokens guards against chunks without tokens that count as a first
// token: the one that ends a generation made each replica look slow, and the one that
// begins it made them look fast.
func TestChunksWithoutTokens(t *testing.T) {
	sentAt := time.Unix(1000, 0)
	replica := &route.Replica{State: &route.ReplicaState{}}
	generation := &generation{lastTokenAt: sentAt, latencies: meter.New().Latencies("s")}
	generation.request.receivedAt = sentAt.Add(-100 * time.Millisecond)
	for _, chunk := range []struct {
		after  time.Duration // since sentAt
		tokens int
	}{{50 * time.Millisecond, 0}, {200 * time.Millisecond, 1}, {240 * time.Millisecond, 2}, {900 * time.Millisecond, 0}} {
		previous := generation.checker.NextOffset
		generation.checker.NextOffset += chunk.tokens
		generation.recordLatency(previous, replica, sentAt.Add(chunk.after))
	}
	latency, samples := replica.State.FirstTokenLatency()
	assert.Equal(t, samples, int64(1))
	assert.Equal(t, latency, 200*time.Millisecond)
	assert.Equal(t, generation.latencies.FirstToken.Count(), int64(1))
	assert.Equal(t, generation.latencies.InterToken.Count(), int64(1))
}
