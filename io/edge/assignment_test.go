package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/batch"
	"hickorybend/core/queue"
	"hickorybend/core/site"
	"hickorybend/core/topo"
	"hickorybend/io/assign"
	"hickorybend/io/gossip"
)

// TestZoneSumIsExact guards against leaders that send requests to replicas where those of another zone
// already wait, and against requests counted twice: by a digest and by reports.
func TestZoneSumIsExact(t *testing.T) {
	now := time.Now()
	control := newZoneNode(true, 1, now)
	control.assignment = newAssignment(control.settings)
	control.peers.nodes = map[string]*peer{"a1": {zone: "a"}, "a2": {zone: "a"}}
	for _, node := range []string{"a1", "a2"} {
		control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: node, Zone: "a", Scope: topo.ScopeNode, InFlight: map[string]int{"a-000": 10, "plain": 1}}}, now)
	}
	control.refreshDigest()
	engine := &site.Engine{Slots: 34, StepTime: 6 * time.Millisecond, PrefillTokensPerSec: 46000}
	server := control.assignment.server
	server.Update(assign.View{Leading: true, Pools: map[string][]queue.Replica{"s/m": {{ID: "a-000", Speed: batch.Replica{Engine: engine}, Slots: 34, SameZone: true}}}}, now)
	client := assign.NewClient("a1", "key")
	client.SetLeader("a0", "", server)
	for range 3 {
		_, sent := client.Place(context.Background(), assign.Question{Service: "s", Model: "m", Work: batch.Work{PromptTokens: 100}, FirstBy: now.Add(time.Hour), Deadline: now.Add(time.Hour)}).(assign.Send)
		assert.Assert(t, sent)
	}
	control.sumDigests(control.peers.sources(now), now)
	zone := control.peers.zoneDigest.Load()
	assert.Equal(t, zone.InFlight["a-000"], 3+10) // those that a1 has reported, and the digest of a2
	assert.Equal(t, zone.PendingTokens["a-000"], 300)
	assert.Equal(t, zone.InFlight["plain"], 2)
}
