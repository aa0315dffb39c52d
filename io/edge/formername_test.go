package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/rows"
	"hickorybend/io/gossip"
)

// namedNode answers the calls of other nodes as the node of that name.
type namedNode string

func (namednode namedNode) HandleDigest(gossip.Digest) gossip.Digest {
	return gossip.Digest{Node: string(namednode)}
}

func (namedNode) Table(int, rows.Version) gossip.Table { return gossip.Table{} }

func (namedNode) BlockStatusList(context.Context) (gossip.BlockStatusList, error) {
	return gossip.BlockStatusList{}, nil
}

func (namedNode) EvacuationList(context.Context) (gossip.EvacuationList, error) {
	return gossip.EvacuationList{}, nil
}

func (namedNode) Lift(context.Context, gossip.LiftRequest) (gossip.LiftReply, error) {
	return gossip.LiftReply{}, nil
}

// TestNodeAtFormerAddressAnswersForAnother guards against a node that stays a member after it has ended,
// and is not asked any more, because a node with another name has its address and answers.
func TestNodeAtFormerAddressAnswersForAnother(t *testing.T) {
	for _, test := range []struct {
		answersAs string
		members   int
	}{{"old", 3}, {"new", 2}, {"a name without a row", 2}} {
		t.Run(test.answersAs, func(t *testing.T) {
			now := time.Now()
			control := newMember(t, now)
			control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "old"}}, now)
			_, handler := gossip.Handler(namedNode(test.answersAs), "key")
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			old := control.peers.nodes["old"]
			old.client = gossip.NewClient(&http.Client{}, strings.TrimPrefix(server.URL, "http://"), "key")
			for range 3 {
				old.exchanging = true
				control.exchange("old", old.client, gossip.Digest{Node: "self"})
				control.handle(<-control.messages)
				assert.Check(t, !old.exchanging)
			}
			later := now.Add(3 * time.Second)
			control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "new"}}, later)
			control.judgeMembers(later)
			assert.Equal(t, control.peers.count(), test.members)
		})
	}
}
