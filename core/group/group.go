package group

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// State is a state in the life cycle of a replica.
type State string

// The states of a replica, in the usual order.
const (
	StateLoading  State = "loading"
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateReleased State = "released"
)

// Member is a host's membership in a replica. A host that restarted has another
// incarnation and is no longer this member.
type Member struct {
	Host        string `json:"host"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Rank        int    `json:"rank"` // 0 is the first host, which takes the requests
}

// Replica is a set of endpoints on several hosts that serves as one.
type Replica struct {
	ID            string    `json:"id"`
	Service       string    `json:"service"`
	Zone          string    `json:"zone"`
	Domain        string    `json:"domain"` // fabric domain of all its hosts, which one interconnect joins
	Model         string    `json:"model"`
	Version       string    `json:"version"` // of the model
	Epoch         int64     `json:"epoch"`   // grows with each change of the members
	FencingNumber int64     `json:"fence"`   // fencing number of the latest change
	State         State     `json:"state"`
	Members       []Member  `json:"members"`
	DrainDeadline time.Time `json:"drain-by,omitzero"`
	Revision      int64     `json:"-"` // version of the row as read
	WriteIDs      []string  `json:"-"` // latest write IDs of the row as read
}

// Host is the row that says which replica a host belongs to, if any.
type Host struct {
	Name     string   `json:"name"`
	Replica  string   `json:"replica"`
	Revision int64    `json:"-"`
	WriteIDs []string `json:"-"`
}

// Lease is the lease under which a change is made. The change takes effect only
// while the version of the lease's fencing row, at Key, is still Fence.
type Lease struct {
	Key           rows.Key
	FencingNumber int64
}

// ErrInvalidChange reports that the state or the members of a replica do not
// allow a change.
var ErrInvalidChange = errors.New("group: the change breaks a rule of the replica")

// HostsPartition is the partition of the host rows.
const HostsPartition = "hosts"

// ReplicasPartition returns the partition of a service's replica rows.
func ReplicasPartition(service string) string { return "replica/" + service }

// Change is a replica after a change and the operations of the transaction that
// makes it.
type Change struct {
	Replica Replica
	Ops     []rows.Op
}

// Form makes a replica out of free hosts of one fabric domain.
func Form(replica Replica, hosts []Host, lease Lease) (Change, error) {
	if len(hosts) == 0 || len(hosts) != len(replica.Members) {
		return Change{}, errors.Wrap(ErrInvalidChange, "a replica needs one host row for each member")
	}
	replica.State = StateLoading
	replica.Epoch = 1
	replica.FencingNumber = lease.FencingNumber
	ops := []rows.Op{lease.check(), replica.put()}
	for _, host := range hosts {
		if host.Replica != "" {
			return Change{}, errors.Wrapf(ErrInvalidChange, "host %s belongs to replica %s", host.Name, host.Replica)
		}
		ops = append(ops, host.put(replica.ID))
	}
	return Change{Replica: replica, Ops: ops}, nil
}

// Serve marks a replica as serving, once each member has confirmed its rank.
func (replica Replica) Serve(lease Lease) (Change, error) {
	if replica.State != StateLoading {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is %s, not loading", replica.ID, replica.State)
	}
	replica.State = StateServing
	return replica.change(lease), nil
}

// Repair replaces a lost member by a free spare, under a new epoch. Every member
// has to confirm that epoch before the replica serves again.
func (replica Replica) Repair(lost Host, spare Host, member Member, lease Lease) (Change, error) {
	index := replica.memberIndex(lost.Name)
	if index < 0 || lost.Replica != replica.ID {
		return Change{}, errors.Wrapf(ErrInvalidChange, "host %s is not a member of replica %s", lost.Name, replica.ID)
	}
	if spare.Replica != "" {
		return Change{}, errors.Wrapf(ErrInvalidChange, "spare %s belongs to replica %s", spare.Name, spare.Replica)
	}
	if replica.State == StateDraining || replica.State == StateReleased {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is %s and cannot be repaired", replica.ID, replica.State)
	}
	member.Rank = replica.Members[index].Rank
	replica.Members = slices.Clone(replica.Members)
	replica.Members[index] = member
	replica.beginEpoch()
	change := replica.change(lease)
	change.Ops = append(change.Ops, lost.put(""), spare.put(replica.ID))
	return change, nil
}

// Rejoin updates the members, which are back as new incarnations, under a new
// epoch.
func (replica Replica) Rejoin(members []Member, lease Lease) (Change, error) {
	if replica.State == StateDraining || replica.State == StateReleased {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is %s and its members cannot rejoin", replica.ID, replica.State)
	}
	if len(members) != len(replica.Members) {
		return Change{}, errors.Wrapf(ErrInvalidChange, "to rejoin, replica %s needs all of its %d members", replica.ID, len(replica.Members))
	}
	replica.Members = members
	replica.beginEpoch()
	return replica.change(lease), nil
}

// Drain stops new work on a replica. Requests in flight may run until the deadline.
func (replica Replica) Drain(deadline time.Time, lease Lease) (Change, error) {
	if replica.State == StateReleased || replica.State == StateDraining {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is already %s", replica.ID, replica.State)
	}
	replica.State = StateDraining
	replica.DrainDeadline = deadline
	return replica.change(lease), nil
}

// Release frees every host of a replica that does no more work.
func (replica Replica) Release(hosts []Host, lease Lease) (Change, error) {
	if replica.State == StateReleased {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is already released", replica.ID)
	}
	if len(hosts) != len(replica.Members) {
		return Change{}, errors.Wrapf(ErrInvalidChange, "to release replica %s, the host rows of all its %d members are needed", replica.ID, len(replica.Members))
	}
	replica.State = StateReleased
	change := replica.change(lease)
	for _, host := range hosts {
		if host.Replica != replica.ID {
			return Change{}, errors.Wrapf(ErrInvalidChange, "host %s is not a member of replica %s", host.Name, replica.ID)
		}
		change.Ops = append(change.Ops, host.put(""))
	}
	return change, nil
}

// MemberOn returns the member on a host, and whether there is one.
func (replica Replica) MemberOn(host string) (Member, bool) {
	index := replica.memberIndex(host)
	if index < 0 {
		return Member{}, false
	}
	return replica.Members[index], true
}

// beginEpoch starts the next epoch. The replica loads until every member has
// confirmed it.
func (replica *Replica) beginEpoch() {
	replica.Epoch++
	replica.State = StateLoading
}

func (replica Replica) memberIndex(host string) int {
	return slices.IndexFunc(replica.Members, func(member Member) bool { return member.Host == host })
}

// change starts a transaction that writes the replica's row under the lease.
func (replica Replica) change(lease Lease) Change {
	replica.FencingNumber = lease.FencingNumber
	return Change{Replica: replica, Ops: []rows.Op{lease.check(), replica.put()}}
}

func (replica Replica) put() rows.Put {
	key := rows.Key{Partition: ReplicasPartition(replica.Service), Sort: replica.ID}
	return rows.Put{Key: key, Base: rows.Version(replica.Revision), WriteIDs: replica.WriteIDs, Body: encode(replica)}
}

// put returns the write that assigns the host to a replica, or to none if
// replica is empty.
func (host Host) put(replica string) rows.Put {
	next := Host{Name: host.Name, Replica: replica}
	key := rows.Key{Partition: HostsPartition, Sort: host.Name}
	return rows.Put{Key: key, Base: rows.Version(host.Revision), WriteIDs: host.WriteIDs, Body: encode(next)}
}

func (lease Lease) check() rows.Check {
	return rows.Check{Key: lease.Key, Base: rows.Version(lease.FencingNumber)}
}

// Row returns the replica as a row, with the version of the row that it was
// read from.
func (replica Replica) Row() rows.Row {
	key := rows.Key{Partition: ReplicasPartition(replica.Service), Sort: replica.ID}
	return rows.Row{Key: key, Version: rows.Version(replica.Revision), WriteIDs: replica.WriteIDs, Body: encode(replica)}
}

// DecodeReplica decodes a replica's row.
func DecodeReplica(row rows.Row) (Replica, error) {
	var replica Replica
	if err := json.Unmarshal(row.Body, &replica); err != nil {
		return Replica{}, errors.Wrapf(err, "group: decode the row of replica %s", row.Key.Sort)
	}
	replica.Revision = int64(row.Version)
	replica.WriteIDs = row.WriteIDs
	return replica, nil
}

// DecodeHost decodes a host's row. An empty body means a host in no replica.
func DecodeHost(row rows.Row) (Host, error) {
	host := Host{Name: row.Key.Sort}
	if len(row.Body) > 0 {
		if err := json.Unmarshal(row.Body, &host); err != nil {
			return Host{}, errors.Wrapf(err, "group: decode the row of host %s", row.Key.Sort)
		}
	}
	host.Revision = int64(row.Version)
	host.WriteIDs = row.WriteIDs
	return host, nil
}

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "group: encode a row"))
	}
	return body
}
