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

// cluster lets several lease holders change replicas in one store. A holder's
// copy of the rows and its fencing number may be out of date.
type cluster struct {
	store       *memory.Store
	holders     []*holder
	formedCount int
	writeCount  int
}

type holder struct {
	fencingNumber int64
	replicas      []group.Replica
	hosts         []group.Host
}

const hostCount = 6

func newCluster() *cluster {
	cluster := &cluster{store: memory.NewStore(), holders: []*holder{{}, {}, {}}}
	for _, holder := range cluster.holders {
		cluster.read(holder)
	}
	return cluster
}

func (cluster *cluster) read(holder *holder) {
	ctx := context.Background()
	fencingRow, _ := cluster.store.Get(ctx, lease.FencingRowKey("l"))
	holder.fencingNumber = int64(fencingRow.Version)
	all, _ := cluster.store.List(ctx, group.ReplicasPartition("s"))
	holder.replicas = nil
	for _, row := range all {
		replica, _ := group.DecodeReplica(row)
		holder.replicas = append(holder.replicas, replica)
	}
	holder.hosts = nil
	for i := range hostCount {
		row, err := cluster.store.Get(ctx, rows.Key{Partition: group.HostsPartition, Sort: fmt.Sprintf("h%d", i)})
		row.Key.Sort = fmt.Sprintf("h%d", i)
		if err != nil && !errors.Is(err, rows.ErrAbsent) {
			continue
		}
		host, _ := group.DecodeHost(row)
		holder.hosts = append(holder.hosts, host)
	}
}

func (holder *holder) lease() group.Lease {
	return group.Lease{Key: lease.FencingRowKey("l"), FencingNumber: holder.fencingNumber}
}

func (holder *holder) host(name string) group.Host {
	for _, host := range holder.hosts {
		if host.Name == name {
			return host
		}
	}
	return group.Host{Name: name}
}

func (cluster *cluster) sampleHolder(t *rapid.T) *holder {
	return rapid.SampledFrom(cluster.holders).Draw(t, "holder")
}

func (cluster *cluster) refresh(t *rapid.T) { cluster.read(cluster.sampleHolder(t)) }

// acquireLease increments the fencing number, as a new holder of the lease does.
func (cluster *cluster) acquireLease(t *rapid.T) {
	holder := cluster.sampleHolder(t)
	cluster.read(holder)
	cluster.writeCount++
	put := rows.Put{Key: lease.FencingRowKey("l"), Base: rows.Version(holder.fencingNumber)}
	cluster.store.Commit(context.Background(), rows.Txn{WriteID: fmt.Sprintf("w%d", cluster.writeCount), Ops: []rows.Op{put}})
	cluster.read(holder)
}

// commit sends a change, whose reply or effect may be lost or whose effect may
// be delayed. The store may commit it only under the newest fencing number.
func (cluster *cluster) commit(t *rapid.T, holder *holder, change group.Change, err error) {
	if err != nil {
		assert.Assert(t, errors.Is(err, group.ErrInvalidChange))
		return
	}
	cluster.writeCount++
	cluster.store.SetFaultModes(rapid.SampledFrom([]memory.FaultMode{memory.NoFault, memory.ReplyLost, memory.Dropped, memory.Delayed}).Draw(t, "fault"))
	newest, _ := cluster.store.Get(context.Background(), lease.FencingRowKey("l"))
	outcome := cluster.store.Commit(context.Background(), rows.Txn{WriteID: fmt.Sprintf("w%d", cluster.writeCount), Ops: change.Ops})
	cluster.store.SetFaultModes()
	if _, committed := outcome.(rows.Committed); committed {
		assert.Equal(t, holder.fencingNumber, int64(newest.Version), "a change was committed under an old fencing number")
	}
}

func (cluster *cluster) applyDelayed(*rapid.T) { cluster.store.ApplyDelayed() }

func (cluster *cluster) form(t *rapid.T) {
	holder := cluster.sampleHolder(t)
	cluster.formedCount++
	first := rapid.IntRange(0, hostCount-2).Draw(t, "first")
	replica := group.Replica{ID: fmt.Sprintf("r%d", cluster.formedCount), Service: "s"}
	var hosts []group.Host
	for rank := range 2 {
		host := holder.host(fmt.Sprintf("h%d", first+rank))
		hosts = append(hosts, host)
		replica.Members = append(replica.Members, group.Member{Host: host.Name, Rank: rank, Incarnation: "1"})
	}
	change, err := group.Form(replica, hosts, holder.lease())
	cluster.commit(t, holder, change, err)
}

func (cluster *cluster) sampleReplica(t *rapid.T, holder *holder) group.Replica {
	if len(holder.replicas) == 0 {
		t.Skip("no replicas")
	}
	return rapid.SampledFrom(holder.replicas).Draw(t, "replica")
}

func (cluster *cluster) serve(t *rapid.T) {
	holder := cluster.sampleHolder(t)
	change, err := cluster.sampleReplica(t, holder).Serve(holder.lease())
	cluster.commit(t, holder, change, err)
}

func (cluster *cluster) repair(t *rapid.T) {
	holder := cluster.sampleHolder(t)
	replica := cluster.sampleReplica(t, holder)
	spare := holder.host(fmt.Sprintf("h%d", rapid.IntRange(0, hostCount-1).Draw(t, "spare")))
	lost := replica.Members[rapid.IntRange(0, 1).Draw(t, "lost")].Host
	change, err := replica.Repair(holder.host(lost), spare, group.Member{Host: spare.Name, Incarnation: "1"}, holder.lease())
	cluster.commit(t, holder, change, err)
}

func (cluster *cluster) drain(t *rapid.T) {
	holder := cluster.sampleHolder(t)
	change, err := cluster.sampleReplica(t, holder).Drain(time.Unix(100, 0), holder.lease())
	cluster.commit(t, holder, change, err)
}

func (cluster *cluster) release(t *rapid.T) {
	holder := cluster.sampleHolder(t)
	replica := cluster.sampleReplica(t, holder)
	var hosts []group.Host
	for _, member := range replica.Members {
		hosts = append(hosts, holder.host(member.Host))
	}
	change, err := replica.Release(hosts, holder.lease())
	cluster.commit(t, holder, change, err)
}

// checkMembership checks the invariant: no two replicas that are not released
// have the same host as a member, and each host's row names its replica.
func (cluster *cluster) checkMembership(t *rapid.T) {
	stored := &holder{}
	cluster.read(stored)
	owner := map[string]string{}
	for _, replica := range stored.replicas {
		if replica.State == group.StateReleased {
			continue
		}
		for _, member := range replica.Members {
			assert.Equal(t, owner[member.Host], "", "host %s is in %s and %s", member.Host, owner[member.Host], replica.ID)
			owner[member.Host] = replica.ID
		}
	}
	for _, host := range stored.hosts {
		assert.Equal(t, host.Replica, owner[host.Name], "row of host %s", host.Name)
	}
}

// TestHostIsInOneReplica guards against a host in two replicas, and against host
// rows that disagree with the replicas. Both could arise when holders with old
// rows or an old fencing number write, and when transactions take effect late.
func TestHostIsInOneReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"refresh": cluster.refresh, "take over": cluster.acquireLease, "land": cluster.applyDelayed, "form": cluster.form, "serve": cluster.serve,
			"repair": cluster.repair, "drain": cluster.drain, "release": cluster.release, "": cluster.checkMembership,
		})
	})
}

// TestReplicaRejectsInvalidChanges guards against changes that the replica's state
// or the host rows do not allow, and against a repair that changes its original.
func TestReplicaRejectsInvalidChanges(t *testing.T) {
	lease := group.Lease{Key: lease.FencingRowKey("l"), FencingNumber: 1}
	serving := group.Replica{ID: "r", Service: "s", State: group.StateServing, Members: []group.Member{{Host: "h1"}, {Host: "h2", Rank: 1}}}
	draining := serving
	draining.State = group.StateDraining
	memberHost, freeHost := group.Host{Name: "h2", Replica: "r"}, group.Host{Name: "h3"}
	expectInvalid := func(_ group.Change, err error) {
		t.Helper()
		assert.Assert(t, errors.Is(err, group.ErrInvalidChange))
	}
	expectInvalid(serving.Serve(lease))
	expectInvalid(draining.Drain(time.Unix(1, 0), lease))
	expectInvalid(draining.Repair(memberHost, freeHost, group.Member{Host: "h3"}, lease))
	expectInvalid(serving.Repair(freeHost, freeHost, group.Member{Host: "h3"}, lease))
	expectInvalid(serving.Repair(memberHost, group.Host{Name: "h3", Replica: "other"}, group.Member{Host: "h3"}, lease))
	expectInvalid(serving.Release([]group.Host{memberHost}, lease))
	repaired, err := serving.Repair(memberHost, freeHost, group.Member{Host: "h3"}, lease)
	assert.NilError(t, err)
	assert.Equal(t, repaired.Replica.Epoch, serving.Epoch+1)
	assert.Equal(t, repaired.Replica.State, group.StateLoading)
	member, found := repaired.Replica.MemberOn("h3")
	assert.Assert(t, found && member.Rank == 1)
	_, found = serving.MemberOn("h3")
	assert.Assert(t, !found, "Repair modified the replica that it was called on")
}
