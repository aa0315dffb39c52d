package edge

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/member"
	"hickorybend/core/rows"
	"hickorybend/core/topo"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

// commits keeps the bodies of the commits that a store gets, and accepts them.
type commits struct {
	mutex  sync.Mutex
	bodies []string
}

func (commits *commits) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	commits.mutex.Lock()
	defer commits.mutex.Unlock()
	commits.bodies = append(commits.bodies, string(body))
	_, _ = io.WriteString(w, `{"ver":100}`)
}

func (commits *commits) list() []string {
	commits.mutex.Lock()
	defer commits.mutex.Unlock()
	return append([]string{}, commits.bodies...)
}

// nodeEntry returns a row of the nodes table.
func nodeEntry(t *testing.T, name, body string, version rows.Version) platform.Entry {
	t.Helper()
	value, err := json.Marshal(map[string]any{"version": 1, "body": []byte(body)})
	assert.NilError(t, err)
	return platform.Entry{Key: name, Value: value, Version: version}
}

// receiveNodes has a node read rows of the nodes table.
func receiveNodes(control *Control, now time.Time, full bool, version rows.Version, entries ...platform.Entry) {
	control.peers.rowWriting = true // this node writes no row
	control.handleNodes(tableChanged{table: tableNodes, batch: platform.Batch{Entries: entries, Version: version, Full: full}, from: fromPeer}, now)
}

// newMember returns the control of a node of a mesh that knows the rows of old and new, of which
// new answers.
func newMember(t *testing.T, now time.Time) *Control {
	control := newHolder(now)
	control.ctx, control.startedAt, control.store = t.Context(), now, platform.NewStore("127.0.0.1:1")
	control.peers.nodes = map[string]*peer{}
	receiveNodes(control, now, true, 12, nodeEntry(t, "old", `{"address":"127.0.0.1:1"}`, 10), nodeEntry(t, "new", `{"address":"127.0.0.1:2"}`, 12))
	control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "new"}}, now)
	control.handle(peerUnresponsive{node: "old", refused: true})
	return control
}

// TestGoneNodeHasShares guards against nodes that are gone and count in shares and roles, and that
// are not members again as soon as they answer.
func TestGoneNodeHasShares(t *testing.T) {
	now := time.Now()
	control := newMember(t, now)
	assert.Equal(t, control.peers.count(), 3)
	later := now.Add(3 * time.Second)
	control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "new"}}, later)
	control.judgeMembers(later)
	assert.Equal(t, control.peers.count(), 2)
	assert.Equal(t, len(control.requestRates("llm", later)), 2)
	control.assignRole(later)
	control.updateRoutes(later)
	assert.Equal(t, len(control.Peers().List), 1)
	control.refreshDigest()
	assert.DeepEqual(t, control.digest.Load().Gone, []string{"old"})
	assert.Equal(t, len(withoutKnown(*control.digest.Load(), gossip.Digest{GoneSum: gossip.SumOf([]string{"old"})}).Gone), 0)
	control.peers.nodes["new"].digest.StoreReplyAge = int64(2 * maxStoreReplyAge)
	assert.Assert(t, control.peers.majorityWithoutStore(later), "half of the others")
	control.peers.gone["older"] = &peer{}
	assert.Assert(t, !control.peers.majorityWithoutStore(later), "a third of them, as those that are gone count here")
	delete(control.peers.gone, "older")

	control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "old"}}, later)
	assert.Equal(t, control.peers.count(), 3)
}

// TestRowOfLivingNodeRemoved guards against removals by a node that does not place, while the store
// is away or has just come back, and of a row that has been written again.
func TestRowOfLivingNodeRemoved(t *testing.T) {
	policy := member.DefaultPolicy()
	for _, test := range []struct {
		name    string
		happens func(control *Control, now time.Time)
		removed int
	}{
		{"gone for long", func(*Control, time.Time) {}, 1},
		{"this node does not place", func(control *Control, _ time.Time) { control.placement.active = false }, 0},
		{"the store is away", func(control *Control, _ time.Time) { control.storeUnreachable.Store(true) }, 0},
		{"the store has come back from an older copy", func(control *Control, now time.Time) {
			receiveNodes(control, now, true, rows.NewVersion(1, 5), nodeEntry(t, "new", `{"address":"127.0.0.1:2"}`, rows.NewVersion(1, 4)))
		}, 0},
		{"it has written its row again", func(control *Control, now time.Time) {
			receiveNodes(control, now, false, 20, nodeEntry(t, "old", `{"address":"127.0.0.1:1"}`, 20))
		}, 0},
		{"it answers", func(control *Control, now time.Time) {
			control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "old"}}, now)
		}, 0},
		{"its row is removed already", func(control *Control, now time.Time) {
			receiveNodes(control, now, false, 20, platform.Entry{Key: "old", Version: 20, Removed: true})
		}, 0},
		{"a full read lacks its row", func(control *Control, now time.Time) {
			receiveNodes(control, now, true, 20, nodeEntry(t, "new", `{"address":"127.0.0.1:2"}`, 12))
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			commits := &commits{}
			server := httptest.NewServer(commits)
			t.Cleanup(server.Close)
			now := time.Now()
			control := newMember(t, now)
			control.store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
			control.placement.active = true
			gone := now.Add(3 * time.Second)
			control.peers.settledSince = now.Add(-policy.SettledFor)
			control.storeRepliedAt = gone
			control.judgeMembers(gone)
			assert.Assert(t, control.peers.members.IsGone("old"))
			end := gone.Add(policy.RemoveAfter)
			control.storeRepliedAt = end
			test.happens(control, end)
			control.removeGoneRow(end)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, len(commits.list()), test.removed)
			if test.removed > 0 {
				assert.Equal(t, commits.list()[0], `{"precondition":[{"table":"nodes","part":"","key":"old","ver":10}],"puts":[],"remove":[{"table":"nodes","part":"","key":"old","ver":10}]}`)
			}
		})
	}
}

// TestLostRowOfGoneNodeStays guards against a node that is gone and stays known for good because the
// store has lost its row, so that nobody can remove it.
func TestLostRowOfGoneNodeStays(t *testing.T) {
	now := time.Now()
	control := newMember(t, now)
	receiveNodes(control, now, true, rows.NewVersion(1, 5), nodeEntry(t, "new", `{"address":"127.0.0.1:2"}`, rows.NewVersion(1, 4)))
	control.judgeMembers(now)
	assert.Assert(t, control.peers.peer("old") != nil, "it may live, and write its row again")
	control.judgeMembers(now.Add(3 * time.Second))
	control.judgeMembers(now.Add(3 * time.Second))
	assert.Assert(t, control.peers.peer("old") == nil)
	assert.Assert(t, control.peers.peer("new") != nil)
}

// TestWhoseWordCounts checks whose report that a node is gone is accepted.
func TestWhoseWordCounts(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name string
		role topo.Role
		node string // of zone a or b
		want map[string]member.Word
	}{
		{"a member believes its leader", topo.Role{Leader: "a1", ByZone: map[string]string{"a": "a1", "b": "b1"}}, "b9", map[string]member.Word{"a1": member.WordGone, "b1": member.WordMember}},
		{"a leader believes the leader of the node's zone", topo.Role{IsLeader: true, Leader: "node-0", ByZone: map[string]string{"a": "node-0", "b": "b1"}}, "b9", map[string]member.Word{"a1": member.WordMember, "b1": member.WordGone}},
		{"in a mesh any", topo.Role{Mesh: true, IsLeader: true, Leader: "node-0"}, "b9", map[string]member.Word{"a1": member.WordGone, "b1": member.WordGone}},
	} {
		for teller, want := range test.want {
			t.Run(test.name+", "+teller, func(t *testing.T) {
				control := newHolder(now)
				control.startedAt = now.Add(-startupTime)
				control.peers.role, control.peers.zone = test.role, "a"
				control.peers.nodes = map[string]*peer{}
				for _, name := range []string{"a1", "b1", "b9"} {
					control.peers.nodes[name] = &peer{zone: name[:1], digestReceivedAt: now, saysGone: map[string]bool{}}
				}
				control.peers.nodes[teller].saysGone[test.node] = true
				assert.Equal(t, control.toldOf(test.node, now), want)
			})
		}
	}
}
