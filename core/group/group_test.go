package group_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/group"
	"hickorybend/core/lease"
	"hickorybend/core/memory"
	"hickorybend/core/rows"
)

// machine lets several leaders, each with a copy of the rows as old as it
// likes and a fencing number that may be old, change replicas in one store.
type machine struct {
	store   *memory.Store
	leaders []*leader
	formed  int
	written int
}

type leader struct {
	fence    int64
	replicas []group.Replica
	hosts    []group.Host
}

const hostCount = 6

func newMachine() *machine {
	m := &machine{store: memory.NewStore(), leaders: []*leader{{}, {}, {}}}
	for _, l := range m.leaders {
		m.read(l)
	}
	return m
}

func (m *machine) read(l *leader) {
	ctx := context.Background()
	fence, _ := m.store.Get(ctx, lease.FenceKey("l"))
	l.fence = fence.Version
	all, _ := m.store.List(ctx, group.ReplicasPartition("s"))
	l.replicas = nil
	for _, row := range all {
		replica, _ := group.ReadReplica(row)
		l.replicas = append(l.replicas, replica)
	}
	l.hosts = nil
	for i := range hostCount {
		row, err := m.store.Get(ctx, rows.Key{Partition: group.HostsPartition, Sort: fmt.Sprintf("h%d", i)})
		row.Key.Sort = fmt.Sprintf("h%d", i)
		if err != nil && !errors.Is(err, rows.ErrAbsent) {
			continue
		}
		host, _ := group.ReadHost(row)
		l.hosts = append(l.hosts, host)
	}
}

func (l *leader) authority() group.Lease {
	return group.Lease{Key: lease.FenceKey("l"), Fence: l.fence}
}

func (l *leader) host(name string) group.Host {
	for _, host := range l.hosts {
		if host.Name == name {
			return host
		}
	}
	return group.Host{Name: name}
}

func (m *machine) leader(t *rapid.T) *leader { return rapid.SampledFrom(m.leaders).Draw(t, "leader") }

func (m *machine) refresh(t *rapid.T) { m.read(m.leader(t)) }

// takeOver moves the fencing number, as a new holder of the lease does.
func (m *machine) takeOver(t *rapid.T) {
	l := m.leader(t)
	m.read(l)
	m.written++
	put := rows.Put{Key: lease.FenceKey("l"), Base: l.fence}
	m.store.Commit(context.Background(), rows.Txn{WriteID: fmt.Sprintf("w%d", m.written), Ops: []rows.Op{put}})
	m.read(l)
}

// commit tries a change; the store may take it only from the newest holder.
func (m *machine) commit(t *rapid.T, l *leader, change group.Change, err error) {
	if err != nil {
		assert.Assert(t, errors.Is(err, group.ErrInvalidChange))
		return
	}
	m.written++
	m.store.SetFaultModes(rapid.SampledFrom([]memory.FaultMode{memory.NoFault, memory.ReplyLost, memory.Dropped, memory.Delayed}).Draw(t, "fate"))
	newest, _ := m.store.Get(context.Background(), lease.FenceKey("l"))
	outcome := m.store.Commit(context.Background(), rows.Txn{WriteID: fmt.Sprintf("w%d", m.written), Ops: change.Steps})
	m.store.SetFaultModes()
	if _, done := outcome.(rows.Committed); done {
		assert.Equal(t, l.fence, newest.Version, "a change under an old fencing number")
	}
}

func (m *machine) land(*rapid.T) { m.store.ApplyDelayed() }

func (m *machine) form(t *rapid.T) {
	l := m.leader(t)
	m.formed++
	first := rapid.IntRange(0, hostCount-2).Draw(t, "first")
	replica := group.Replica{ID: fmt.Sprintf("r%d", m.formed), Service: "s"}
	var hosts []group.Host
	for rank := range 2 {
		host := l.host(fmt.Sprintf("h%d", first+rank))
		hosts = append(hosts, host)
		replica.Members = append(replica.Members, group.Member{Host: host.Name, Rank: rank, Incarnation: "1"})
	}
	change, err := group.Form(replica, hosts, l.authority())
	m.commit(t, l, change, err)
}

func (m *machine) replica(t *rapid.T, l *leader) group.Replica {
	if len(l.replicas) == 0 {
		t.Skip("no replicas")
	}
	return rapid.SampledFrom(l.replicas).Draw(t, "replica")
}

func (m *machine) serve(t *rapid.T) {
	l := m.leader(t)
	change, err := m.replica(t, l).Serve(l.authority())
	m.commit(t, l, change, err)
}

func (m *machine) repair(t *rapid.T) {
	l := m.leader(t)
	replica := m.replica(t, l)
	spare := l.host(fmt.Sprintf("h%d", rapid.IntRange(0, hostCount-1).Draw(t, "spare")))
	lost := replica.Members[rapid.IntRange(0, 1).Draw(t, "lost")].Host
	change, err := replica.Repair(l.host(lost), spare, group.Member{Host: spare.Name, Incarnation: "1"}, l.authority())
	m.commit(t, l, change, err)
}

func (m *machine) drain(t *rapid.T) {
	l := m.leader(t)
	change, err := m.replica(t, l).Drain(time.Unix(100, 0), l.authority())
	m.commit(t, l, change, err)
}

func (m *machine) release(t *rapid.T) {
	l := m.leader(t)
	replica := m.replica(t, l)
	var hosts []group.Host
	for _, member := range replica.Members {
		hosts = append(hosts, l.host(member.Host))
	}
	change, err := replica.Release(hosts, l.authority())
	m.commit(t, l, change, err)
}

// check compares the rows with the promise: each host is in the one replica
// that its row names, and no two replicas that live name the same host.
func (m *machine) check(t *rapid.T) {
	truth := &leader{}
	m.read(truth)
	owner := map[string]string{}
	for _, replica := range truth.replicas {
		if replica.State == group.StateReleased {
			continue
		}
		for _, member := range replica.Members {
			assert.Equal(t, owner[member.Host], "", "host %s is in %s and %s", member.Host, owner[member.Host], replica.ID)
			owner[member.Host] = replica.ID
		}
	}
	for _, host := range truth.hosts {
		assert.Equal(t, host.Replica, owner[host.Name], "row of host %s", host.Name)
	}
}

func TestHostIsInOneReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"refresh": m.refresh, "take over": m.takeOver, "land": m.land, "form": m.form, "serve": m.serve,
			"repair": m.repair, "drain": m.drain, "release": m.release, "": m.check,
		})
	})
}

func TestRulesOfAReplica(t *testing.T) {
	lease := group.Lease{Key: lease.FenceKey("l"), Fence: 1}
	serving := group.Replica{ID: "r", Service: "s", State: group.StateServing, Members: []group.Member{{Host: "h1"}, {Host: "h2", Rank: 1}}}
	draining := serving
	draining.State = group.StateDraining
	mine, free := group.Host{Name: "h2", Replica: "r"}, group.Host{Name: "h3"}
	expectRule := func(_ group.Change, err error) {
		t.Helper()
		assert.Assert(t, errors.Is(err, group.ErrInvalidChange))
	}
	expectRule(serving.Serve(lease))
	expectRule(draining.Drain(time.Unix(1, 0), lease))
	expectRule(draining.Repair(mine, free, group.Member{Host: "h3"}, lease))
	expectRule(serving.Repair(free, free, group.Member{Host: "h3"}, lease))
	expectRule(serving.Repair(mine, group.Host{Name: "h3", Replica: "other"}, group.Member{Host: "h3"}, lease))
	expectRule(serving.Release([]group.Host{mine}, lease))
	repaired, err := serving.Repair(mine, free, group.Member{Host: "h3"}, lease)
	assert.NilError(t, err)
	assert.Equal(t, repaired.Replica.Epoch, serving.Epoch+1)
	assert.Equal(t, repaired.Replica.State, group.StateLoading)
	member, found := repaired.Replica.MemberOn("h3")
	assert.Assert(t, found && member.Rank == 1)
	_, found = serving.MemberOn("h3")
	assert.Assert(t, !found, "a change wrote into the replica it was made from")
}
