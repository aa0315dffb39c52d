package edge

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/rows"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
	"hickorybend/platform"
	"hickorybend/platform/fakes"
)

// tableModel is a store with one table of endpoints, and nodes that copy it from
// the store and from each other. Answers may arrive late and out of order.
type tableModel struct {
	t       rapid.TB
	now     time.Time
	version rows.Version
	changes []platform.Entry // all changes that the store has, in the order of their versions
	times   []time.Time      // when the store acknowledged them
	nodes   []*tableNode
	late    []func() // answers on their way
}

// tableNode is a node with the version from which it polls next, or 0 if it reads
// the full table next.
type tableNode struct {
	control  *Control
	pollFrom rows.Version
}

func newTableModel(t rapid.TB, nodes int) *tableModel {
	model := &tableModel{t: t, now: time.Now(), version: 1}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no probe is sent
	for range nodes {
		control := NewControl(DefaultSettings(), nil, platform.NewEngineClient(pool.New()), zap.NewNop(), meter.New())
		control.ctx = ctx
		model.nodes = append(model.nodes, &tableNode{control: control})
	}
	return model
}

// change writes or removes a row, as the store does for an endpoint.
func (model *tableModel) change(key string, removed bool) {
	model.version++
	entry := platform.Entry{Key: key, Version: model.version, Removed: removed}
	if !removed {
		entry.Value = fmt.Appendf(nil, `{"service":"app","address":"127.0.0.1:1","state":"ready","sequence":%d,"born":1000}`, model.version)
	}
	model.changes, model.times = append(model.changes, entry), append(model.times, model.now)
	model.now = model.now.Add(time.Millisecond)
}

// lastChange returns the last change of a row up to a version.
func (model *tableModel) lastChange(key string, version rows.Version) (platform.Entry, bool) {
	for _, change := range slices.Backward(model.changes) {
		if change.Key == key && change.Version <= version {
			return change, true
		}
	}
	return platform.Entry{}, false
}

// goBack undoes the last changes and begins an era.
func (model *tableModel) goBack(changes int) {
	kept := max(0, len(model.changes)-changes)
	model.changes, model.times = slices.Clone(model.changes[:kept]), model.times[:kept]
	number := int64(1)
	for i := range model.changes {
		number = model.changes[i].Version.Number()
		model.changes[i].Version = rows.NewVersion(model.version.Era()+1, number)
		model.times[i] = model.now // from when on the store answers with it
	}
	model.version = rows.NewVersion(model.version.Era()+1, number)
	model.now = model.now.Add(time.Millisecond)
}

// removedAfter reports whether a row was removed after a change.
func (model *tableModel) removedAfter(change platform.Entry) bool {
	return slices.ContainsFunc(model.changes, func(later platform.Entry) bool {
		return later.Key == change.Key && later.Removed && later.Version > change.Version
	})
}

// read returns the store's answer to a node's next read or poll. A full table is
// read in two pages; pageAge is how many versions older the first one is.
func (model *tableModel) read(node *tableNode, pageAge rows.Version) platform.Batch {
	batch := platform.Batch{Version: model.version, Full: node.pollFrom == 0 || node.pollFrom.Era() != model.version.Era(), ConfirmedAt: model.now}
	if batch.Full {
		batch.Version = max(rows.NewVersion(model.version.Era(), 1), model.version-pageAge)
		batch.ConfirmedAt = model.timeOf(batch.Version)
	}
	for _, change := range model.changes {
		pageVersion := model.version
		if change.Key < "e-3" {
			pageVersion = batch.Version
		}
		last, _ := model.lastChange(change.Key, pageVersion)
		isRow := last.Version == change.Version && !last.Removed
		if batch.Full && isRow || !batch.Full && change.Version > node.pollFrom {
			batch.Entries = append(batch.Entries, change)
		}
	}
	return batch
}

// deliver hands a batch to a node, at once or late.
func (model *tableModel) deliver(node *tableNode, batch platform.Batch, from source, late bool) {
	apply := func() {
		node.control.handleTable(tableChanged{table: tableEndpoints, batch: batch, from: from}, model.now)
		node.control.copies.publish(node.control.endpoints.completeVersion)
		if from == fromStore {
			node.pollFrom = batch.Version
		}
	}
	if late {
		model.late = append(model.late, apply)
		return
	}
	apply()
}

// fetch has a node fetch the changes that it lacks from one that is ahead, or
// nothing if none is missing.
func (model *tableModel) fetch(node, ahead *tableNode, late bool) {
	digest := model.digest(ahead)
	if requiredVersion(digest, tableEndpoints) <= node.control.endpoints.completeVersion {
		return
	}
	table := ahead.control.Table(tableEndpoints, node.control.endpoints.completeVersion)
	batch := platform.Batch{Version: max(table.Version, table.Complete), Full: table.Full, ConfirmedAt: ahead.control.copies.watermarks[tableEndpoints].At}
	for _, entry := range table.Entries {
		batch.Entries = append(batch.Entries, platform.Entry{Key: entry.Key, Value: entry.Value, Version: entry.Version, Removed: entry.Removed, GraceLeft: time.Duration(entry.GraceLeft)})
	}
	model.deliver(node, batch, fromPeer, late)
}

// digest returns a node's digest.
func (model *tableModel) digest(node *tableNode) gossip.Digest {
	node.control.refreshDigest()
	return node.control.digest.Load().WithAges(model.now)
}

// exchange has a node receive another's digest, which that built after the node
// asked for it.
func (model *tableModel) exchange(node, other *tableNode, late bool) {
	askedAt, digest := model.now, model.digest(other)
	apply := func() { node.control.confirmByPeer(digest, askedAt, model.now) }
	if late {
		model.late = append(model.late, apply)
		return
	}
	apply()
}

// timeOf returns a time at which the store was at a version.
func (model *tableModel) timeOf(version rows.Version) time.Time {
	for i, change := range model.changes {
		if change.Version > version {
			return model.times[i]
		}
	}
	return model.now
}

// expectComplete checks that a node's copy has every change up to the version, and
// every one acknowledged before the time, for which the node says so.
func (model *tableModel) expectComplete(node *tableNode) {
	endpoints := &node.control.endpoints
	if endpoints.completeVersion.Era() < model.version.Era() {
		return // it has not learned yet what the store has lost
	}
	confirmedAt := node.control.copies.watermarks[tableEndpoints].At
	for i, change := range model.changes {
		last, _ := model.lastChange(change.Key, endpoints.completeVersion)
		row, found := endpoints.rows[change.Key]
		switch {
		case model.times[i].Before(confirmedAt) && change.Version > endpoints.completeVersion:
			model.t.Fatalf("version %d, but version %d was acknowledged before the watermark", endpoints.completeVersion, change.Version)
		case last.Version == 0:
		case last.Removed && found && row.Version < last.Version:
			model.t.Fatalf("complete up to %d, but %s is not removed, which it was under %d", endpoints.completeVersion, change.Key, last.Version)
		case !last.Removed && !found && !model.removedAfter(last): // the second page of a full table may be newer
			model.t.Fatalf("complete up to %d without the row of %s, written under %d", endpoints.completeVersion, change.Key, last.Version)
		case !last.Removed && found && row.Version < last.Version:
			model.t.Fatalf("complete up to %d, but the row of %s is that of %d, not of %d", endpoints.completeVersion, change.Key, row.Version, last.Version)
		}
	}
}

// expectSameRows lets one node poll the store and the others fetch from it, and
// checks that all have the store's rows then.
func (model *tableModel) expectSameRows() {
	reader := model.nodes[0]
	model.deliver(reader, model.read(reader, 0), fromStore, false)
	for i, node := range model.nodes {
		model.fetch(node, reader, false)
		for _, change := range model.changes {
			last, _ := model.lastChange(change.Key, model.version)
			row, found := node.control.endpoints.rows[change.Key]
			if found == last.Removed || found && row.Version != last.Version {
				model.t.Fatalf("node %d has version %d of %s, the last change is %+v", i, row.Version, change.Key, last)
			}
		}
	}
}

// TestCopyHasAllChangesUpToItsVersion guards against changes that a node never
// learns because it has their version already, and against copies that pass for
// newer than they are: rows that lapse, full reads with missing rows, answers and
// digests that arrive late, and tables fetched from peers, in any order.
func TestCopyHasAllChangesUpToItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newTableModel(t, 3)
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("e-%d", rapid.IntRange(0, 4).Draw(t, "key")) })
		node := rapid.Custom(func(t *rapid.T) *tableNode { return model.nodes[rapid.IntRange(0, 2).Draw(t, "node")] })
		t.Repeat(map[string]func(*rapid.T){
			"write":       func(t *rapid.T) { model.change(key.Draw(t, "row"), false) },
			"remove":      func(t *rapid.T) { model.change(key.Draw(t, "row"), true) },
			"other table": func(*rapid.T) { model.version++ },
			"poll": func(t *rapid.T) {
				node := node.Draw(t, "reader")
				model.deliver(node, model.read(node, rows.Version(rapid.Int64Range(0, 3).Draw(t, "page age"))), fromStore, rapid.Bool().Draw(t, "late"))
			},
			"go back": func(t *rapid.T) { model.goBack(rapid.IntRange(0, 4).Draw(t, "changes")) },
			"compact": func(t *rapid.T) { node.Draw(t, "reader").pollFrom = 0 },
			"fetch": func(t *rapid.T) {
				model.fetch(node.Draw(t, "reader"), node.Draw(t, "ahead"), rapid.Bool().Draw(t, "late"))
			},
			"exchange": func(t *rapid.T) {
				model.exchange(node.Draw(t, "reader"), node.Draw(t, "other"), rapid.Bool().Draw(t, "late"))
			},
			"late answer": func(t *rapid.T) {
				if len(model.late) == 0 {
					t.Skip("nothing is on its way")
				}
				i := rapid.IntRange(0, len(model.late)-1).Draw(t, "answer")
				apply := model.late[i]
				model.late = slices.Delete(model.late, i, i+1)
				apply()
			},
			"outage": func(t *rapid.T) {
				node.Draw(t, "reader").control.copies.watermarks[tableEndpoints].RecoveredAt = model.now
			},
			"time": func(*rapid.T) {
				model.now = model.now.Add(time.Second)
				for _, node := range model.nodes {
					node.control.checkEndpointDeadlines(model.now)
				}
			},
			"": func(*rapid.T) {
				for _, node := range model.nodes {
					model.expectComplete(node)
				}
			},
		})
		model.expectSameRows()
	})
}

// TestDrainAfterRowsWereGivenUp guards against removals with versions of a node's
// own: rows lapse and are given up by the node that reads the store; the next
// change of the store is a drain, which its peer has to fetch.
func TestDrainAfterRowsWereGivenUp(t *testing.T) {
	model := newTableModel(t, 2)
	reader, peer := model.nodes[0], model.nodes[1]
	for i := range 5 {
		model.change(fmt.Sprintf("e-%d", i), false)
	}
	model.deliver(reader, model.read(reader, 0), fromStore, false)
	model.fetch(peer, reader, false)
	reader.control.copies.watermarks[tableEndpoints].RecoveredAt = model.now
	for i := range 4 {
		model.change(fmt.Sprintf("e-%d", i), true)
	}
	model.deliver(reader, model.read(reader, 0), fromStore, false)
	model.fetch(peer, reader, false)
	assert.Equal(t, len(peer.control.endpoints.byID), 5) // the peer waits too
	model.now = model.now.Add(2 * removalGrace)
	for _, node := range model.nodes {
		node.control.checkEndpointDeadlines(model.now)
		assert.Equal(t, len(node.control.endpoints.byID), 1)
	}
	model.change("e-4", false)
	model.deliver(reader, model.read(reader, 0), fromStore, false)
	model.fetch(peer, reader, false)
	assert.Equal(t, peer.control.endpoints.rows["e-4"].Version, model.version)
}

// newFreshControl returns a node's control whose copies were confirmed at a time,
// and that answers requests to refresh them with the given function.
func newFreshControl(t *testing.T, confirmedAt time.Time, refresh func(*Control)) *Control {
	control := NewControl(DefaultSettings(), nil, nil, zap.NewNop(), meter.New())
	for _, table := range requestTables {
		control.copies.confirm(table, confirmedAt)
	}
	control.copies.publish(0)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for {
			select {
			case <-control.messages:
				refresh(control)
			case <-ctx.Done():
				return
			}
		}
	}()
	return control
}

// TestRequestAfterSuspensionWaitsForConfirmation guards against requests that are
// routed by knowledge from before the process was suspended. Such a request waits
// until the copies are confirmed, but neither if the store does not answer nor
// for long.
func TestRequestAfterSuspensionWaitsForConfirmation(t *testing.T) {
	confirm := func(control *Control) {
		for _, table := range requestTables {
			control.copies.confirm(table, time.Now())
		}
		control.copies.publish(0)
	}
	fail := func(control *Control) {
		for _, table := range requestTables {
			control.copies.readFailed[table].Store(true)
		}
	}
	ignore := func(*Control) {}
	for _, test := range []struct {
		name      string
		age       time.Duration
		refresh   func(*Control)
		wantFresh bool
		wantWait  bool
	}{
		{"up to date", 100 * time.Millisecond, ignore, true, false},
		{"suspended", 5 * time.Second, confirm, true, false},
		{"store does not answer", 5 * time.Second, fail, false, false},
		{"control stands still", 5 * time.Second, ignore, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			control := newFreshControl(t, time.Now().Add(-test.age), test.refresh)
			start := time.Now()
			age := control.Confirm(context.Background())
			assert.Equal(t, age < control.copies.policies[tableEndpoints].StaleAfter, test.wantFresh, "age %s", age)
			assert.Equal(t, time.Since(start) >= confirmTimeout, test.wantWait)
		})
	}
}

// TestAgeInDigestGrowsWhileControlStandsStill guards against a node whose control
// loop stands still, but whose replies go on and pass for up to date.
func TestAgeInDigestGrowsWhileControlStandsStill(t *testing.T) {
	control := NewControl(DefaultSettings(), nil, nil, zap.NewNop(), meter.New())
	control.ctx = context.Background()
	control.copies.confirm(tableEndpoints, time.Now().Add(-time.Second))
	control.copies.publish(0)
	control.refreshDigest()
	time.Sleep(30 * time.Millisecond)
	reply := control.HandleDigest(gossip.Digest{Node: "other"})
	assert.Assert(t, time.Duration(reply.Ages[tableEndpoints]) >= time.Second+30*time.Millisecond)
	control.publishEndpointTable()
	assert.Assert(t, time.Duration(control.Table(tableEndpoints, 0).Age) >= time.Second+30*time.Millisecond)
}

// TestNodeReadsWhatNobodyDelivers guards against a node that learns of a drain from
// others alone, or from its pending long poll alone: its leader stands still while
// its digests go on, or the poll has stopped delivering.
func TestNodeReadsWhatNobodyDelivers(t *testing.T) {
	for _, test := range []struct {
		name     string
		isLeader bool
	}{{"leader stands still", false}, {"long poll hangs", true}} {
		t.Run(test.name, func(t *testing.T) {
			store := fakes.NewStore()
			defer store.Close()
			row := `{"service":"app","address":"127.0.0.1:1","state":%q,"sequence":1,"born":1000}`
			store.Put(platform.TableEndpoints, "e-1", fmt.Appendf(nil, row, "ready"))
			control := NewControl(DefaultSettings(), platform.NewStore(store.Address()), platform.NewEngineClient(pool.New()), zap.NewNop(), meter.New())
			control.ctx = context.Background()
			control.isLeader.Store(test.isLeader)
			batch, err := control.store.Read(control.ctx, platform.TableEndpoints)
			assert.NilError(t, err)
			control.handle(tableChanged{table: tableEndpoints, batch: batch, from: fromStore})
			control.refreshDigest()
			leaderDigest := *control.digest.Load()
			leaderDigest.Node = "leader"
			control.peers.nodes["leader"] = &peer{}

			store.Put(platform.TableEndpoints, "e-1", fmt.Appendf(nil, row, "draining"))
			acknowledgedAt := time.Now()
			for !control.endpoints.byID["e-1"].Draining && time.Since(acknowledgedAt) < 2*control.settings.DrainBound {
				time.Sleep(tickInterval)
				now := time.Now()
				control.handle(digestReceived{digest: leaderDigest.WithAges(now), askedAt: now})
				control.refreshCopies(now)
				control.handleQueued()
			}
			late := time.Since(acknowledgedAt)
			assert.Assert(t, late < control.settings.DrainBound, "learned after %s", late)
		})
	}
}
