package gossip_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/rows"
	"hickorybend/io/gossip"
	"hickorybend/io/wire"
)

const (
	peerKey     = "key"
	manyReports = 300 // more than a leader adds up
)

// summingLocal is a node that adds each digest that it gets to a sum, as a leader does.
type summingLocal struct{ sum gossip.Digest }

func (summinglocal *summingLocal) HandleDigest(digest gossip.Digest) gossip.Digest {
	now := time.Unix(1000, 0)
	digest.Crashes, digest.Limits = digest.Crashes.ReceivedAt(now), gossip.LimitsReceivedAt(digest.Limits, now)
	summinglocal.sum = summinglocal.sum.Copy()
	summinglocal.sum.AddCounts(digest)
	summinglocal.sum.AddReports(digest)
	own := digest.Copy()
	own.AddCounts(summinglocal.sum, digest)
	own.AddReports(summinglocal.sum)
	reply := own.Copy()
	reply.Subtract(digest)
	for table := range len(digest.Ages) + 1 {
		_, _ = reply.ConfirmedBy(table, now)
	}
	return reply.WithAges(now)
}

func (summinglocal *summingLocal) Table(table int, after rows.Version) gossip.Table {
	return gossip.Table{Version: after, Entries: []gossip.Entry{{Key: "k", Version: rows.Version(table)}}}
}

func (summinglocal *summingLocal) BlockStatusList(context.Context) (gossip.BlockStatusList, error) {
	return gossip.BlockStatusList{}, nil
}

func (summinglocal *summingLocal) EvacuationList(context.Context) (gossip.EvacuationList, error) {
	return gossip.EvacuationList{}, nil
}

func (summinglocal *summingLocal) Lift(_ context.Context, request gossip.LiftRequest) (gossip.LiftReply, error) {
	return gossip.LiftReply{Lifted: request.Input != ""}, nil
}

// roundTripper answers a client's calls without a connection.
type roundTripper func(*http.Request) *http.Response

func (roundtripper roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	return roundtripper(request), nil
}

// encode returns a message as it is sent.
func encode(f *testing.F, message any) []byte {
	data, err := wire.Codec{}.Marshal(message)
	assert.NilError(f, err)
	return data
}

// digestSeeds returns digests as nodes send them, and as none should.
func digestSeeds(f *testing.F) [][]byte {
	large := gossip.Digest{Node: "n", Crashes: gossip.Crashes{Reports: make([]gossip.CrashReport, manyReports), Answers: make([]gossip.InputAnswer, manyReports)}}
	usual := gossip.Digest{
		Node: "n", Zone: "z", Versions: []rows.Version{1, 2, 3}, InFlight: map[string]int{"e": 2}, Demand: map[string]int64{"m": 5},
		Leaving: []gossip.Leaving{{Endpoint: "e", StartedAt: 1}}, Ages: []int64{-1, 5}, Limits: []gossip.EndpointLimit{{Endpoint: "e", PerSecond: 2, Age: 3}},
		Crashes: gossip.Crashes{Blocks: []gossip.InputBlock{{Service: "s", Input: "p", Age: -1 << 63}}},
	}
	return [][]byte{encode(f, usual), encode(f, large), encode(f, gossip.Digest{}), {0xa0}, {0xbf}, nil}
}

// FuzzDigest sends arbitrary bytes as a digest to a node that adds it to a sum. The node
// either rejects them or answers with a digest that its client can read.
func FuzzDigest(f *testing.F) {
	for _, seed := range digestSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, handler := gossip.Handler(&summingLocal{}, peerKey)
		for _, path := range []string{"/hickorybend.gossip/tell", "/hickorybend.gossip/fetch", "/hickorybend.gossip/blocks", "/hickorybend.gossip/lift"} {
			request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data))
			request.Header.Set("Content-Type", "application/cbor")
			request.Header.Set("Authorization", "Bearer "+peerKey)
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, request)
			var reply gossip.Digest
			if answer.Code == http.StatusOK && strings.HasSuffix(path, "tell") {
				assert.NilError(t, wire.Codec{}.Unmarshal(answer.Body.Bytes(), &reply))
			}
		}
	})
}

// FuzzReply answers a node's calls with arbitrary bytes. A digest must be fit to be added
// to a sum, and the changes in a table must be those that were asked for.
func FuzzReply(f *testing.F) {
	for _, seed := range digestSeeds(f) {
		f.Add(seed, int64(0))
	}
	table := gossip.Table{Version: 9, Full: true, Age: -1, Complete: 1 << 62, Entries: []gossip.Entry{{Key: "k", Version: 7}, {Key: "l", Version: -1, Removed: true, GraceLeft: 1 << 62}}}
	f.Add(encode(f, table), int64(8))
	f.Fuzz(func(t *testing.T, data []byte, after int64) {
		transport := roundTripper(func(request *http.Request) *http.Response {
			header := http.Header{"Content-Type": {"application/cbor"}}
			return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(bytes.NewReader(data)), Request: request}
		})
		client := gossip.NewClient(&http.Client{Transport: transport}, "peer.example", peerKey)
		ctx := context.Background()
		if digest, err := client.Exchange(ctx, gossip.Digest{}); err == nil {
			(&summingLocal{}).HandleDigest(digest)
		}
		received, err := client.Fetch(ctx, 1, rows.Version(after))
		if err != nil {
			return
		}
		changes := received.ChangesAfter(rows.Version(after), time.Unix(1000, 0))
		for _, entry := range changes.Entries {
			assert.Assert(t, changes.Full || entry.Version > rows.Version(after), "%q of version %d", entry.Key, entry.Version)
		}
	})
}
