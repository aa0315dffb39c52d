package group

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// State is a replica's place in its life.
type State string

// The states of a replica, in the usual order.
const (
	StateLoading  State = "loading"
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateReleased State = "released"
)

// Member is a host's place in a replica; a host that restarted has another
// incarnation and is no longer that member.
type Member struct {
	Host        string `json:"host"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Rank        int    `json:"rank"`
}

// Replica is a set of endpoints on several hosts that serves as one.
type Replica struct {
	ID            string    `json:"id"`
	Service       string    `json:"service"`
	Zone          string    `json:"zone"`
	Domain        string    `json:"domain"`
	Model         string    `json:"model"`
	Version       string    `json:"version"`
	Epoch         int64     `json:"epoch"`
	Fence         int64     `json:"fence"`
	State         State     `json:"state"`
	Members       []Member  `json:"members"`
	DrainDeadline time.Time `json:"drain-by,omitzero"`
	Revision      int64     `json:"-"`
	Writes        []string  `json:"-"`
}

// Host is the row that says which replica a host belongs to, if any.
type Host struct {
	Name     string   `json:"name"`
	Replica  string   `json:"replica"`
	Revision int64    `json:"-"`
	Writes   []string `json:"-"`
}

// Lease is the lease under which a change is made; the change takes effect
// only while the lease's fencing row still has this number as its version.
type Lease struct {
	Key   rows.Key
	Fence int64
}

// ErrInvalidChange says that a change breaks a rule of the replica.
var ErrInvalidChange = errors.New("group: the change breaks a rule of the replica")

// HostsPartition is the partition of the host rows.
const HostsPartition = "hosts"

// ReplicasPartition gives the partition of a service's replica rows.
func ReplicasPartition(service string) string { return "replica/" + service }

// Change is a replica's next revision and the steps that make it so.
type Change struct {
	Replica Replica
	Steps   []rows.Op
}

// Form makes a replica out of free hosts of one fabric domain.
func Form(replica Replica, hosts []Host, lease Lease) (Change, error) {
	if len(hosts) == 0 || len(hosts) != len(replica.Members) {
		return Change{}, errors.Wrap(ErrInvalidChange, "a replica needs a row for each of its hosts")
	}
	replica.State = StateLoading
	replica.Epoch = 1
	replica.Fence = lease.Fence
	steps := []rows.Op{lease.check(), replica.put()}
	for _, host := range hosts {
		if host.Replica != "" {
			return Change{}, errors.Wrapf(ErrInvalidChange, "host %s belongs to replica %s", host.Name, host.Replica)
		}
		steps = append(steps, host.put(replica.ID))
	}
	return Change{Replica: replica, Steps: steps}, nil
}

// Serve marks a replica as serving once each member has confirmed its place.
func (replica Replica) Serve(lease Lease) (Change, error) {
	if replica.State != StateLoading {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is %s, not loading", replica.ID, replica.State)
	}
	replica.State = StateServing
	return replica.change(lease), nil
}

// Repair puts a free spare in the place of a lost member; every member has to
// confirm the new epoch before the replica serves again.
func (replica Replica) Repair(lost Host, spare Host, member Member, lease Lease) (Change, error) {
	place := replica.placeOf(lost.Name)
	if place < 0 || lost.Replica != replica.ID {
		return Change{}, errors.Wrapf(ErrInvalidChange, "host %s is not a member of %s", lost.Name, replica.ID)
	}
	if spare.Replica != "" {
		return Change{}, errors.Wrapf(ErrInvalidChange, "spare %s belongs to replica %s", spare.Name, spare.Replica)
	}
	if replica.State == StateDraining || replica.State == StateReleased {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is %s", replica.ID, replica.State)
	}
	member.Rank = replica.Members[place].Rank
	replica.Members = slices.Clone(replica.Members)
	replica.Members[place] = member
	replica.renew()
	change := replica.change(lease)
	change.Steps = append(change.Steps, lost.put(""), spare.put(replica.ID))
	return change, nil
}

// Rejoin takes in a member's new incarnation, or a new model version, under a
// new epoch.
func (replica Replica) Rejoin(members []Member, lease Lease) (Change, error) {
	if replica.State == StateDraining || replica.State == StateReleased {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is %s", replica.ID, replica.State)
	}
	if len(members) != len(replica.Members) {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s has %d members", replica.ID, len(replica.Members))
	}
	replica.Members = members
	replica.renew()
	return replica.change(lease), nil
}

// Drain stops new work on a replica; work under way may go on until the deadline.
func (replica Replica) Drain(by time.Time, lease Lease) (Change, error) {
	if replica.State == StateReleased || replica.State == StateDraining {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is %s", replica.ID, replica.State)
	}
	replica.State = StateDraining
	replica.DrainDeadline = by
	return replica.change(lease), nil
}

// Release frees every host of a replica that does no more work.
func (replica Replica) Release(hosts []Host, lease Lease) (Change, error) {
	if replica.State == StateReleased {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s is released", replica.ID)
	}
	if len(hosts) != len(replica.Members) {
		return Change{}, errors.Wrapf(ErrInvalidChange, "replica %s has %d members", replica.ID, len(replica.Members))
	}
	replica.State = StateReleased
	change := replica.change(lease)
	for _, host := range hosts {
		if host.Replica != replica.ID {
			return Change{}, errors.Wrapf(ErrInvalidChange, "host %s is not a member of %s", host.Name, replica.ID)
		}
		change.Steps = append(change.Steps, host.put(""))
	}
	return change, nil
}

// MemberOn finds the member on a host.
func (replica Replica) MemberOn(host string) (Member, bool) {
	place := replica.placeOf(host)
	if place < 0 {
		return Member{}, false
	}
	return replica.Members[place], true
}

func (replica *Replica) renew() {
	replica.Epoch++
	replica.State = StateLoading
}

func (replica Replica) placeOf(host string) int {
	return slices.IndexFunc(replica.Members, func(member Member) bool { return member.Host == host })
}

func (replica Replica) change(lease Lease) Change {
	replica.Fence = lease.Fence
	return Change{Replica: replica, Steps: []rows.Op{lease.check(), replica.put()}}
}

func (replica Replica) put() rows.Put {
	key := rows.Key{Partition: ReplicasPartition(replica.Service), Sort: replica.ID}
	return rows.Put{Key: key, Base: replica.Revision, Writes: replica.Writes, Body: encode(replica)}
}

func (host Host) put(replica string) rows.Put {
	next := Host{Name: host.Name, Replica: replica}
	key := rows.Key{Partition: HostsPartition, Sort: host.Name}
	return rows.Put{Key: key, Base: host.Revision, Writes: host.Writes, Body: encode(next)}
}

func (lease Lease) check() rows.Check {
	return rows.Check{Key: lease.Key, Base: lease.Fence}
}

// Row gives the replica's row as it was read.
func (replica Replica) Row() rows.Row {
	key := rows.Key{Partition: ReplicasPartition(replica.Service), Sort: replica.ID}
	return rows.Row{Key: key, Version: replica.Revision, Writes: replica.Writes, Body: encode(replica)}
}

// ReadReplica decodes a replica's row.
func ReadReplica(row rows.Row) (Replica, error) {
	var replica Replica
	if err := json.Unmarshal(row.Body, &replica); err != nil {
		return Replica{}, errors.Wrapf(err, "group: row of replica %s", row.Key.Sort)
	}
	replica.Revision = row.Version
	replica.Writes = row.Writes
	return replica, nil
}

// ReadHost decodes a host's row; an empty body is a host in no replica.
func ReadHost(row rows.Row) (Host, error) {
	host := Host{Name: row.Key.Sort}
	if len(row.Body) > 0 {
		if err := json.Unmarshal(row.Body, &host); err != nil {
			return Host{}, errors.Wrapf(err, "group: row of host %s", row.Key.Sort)
		}
	}
	host.Revision = row.Version
	host.Writes = row.Writes
	return host, nil
}

func encode(part any) []byte {
	body, err := json.Marshal(part)
	if err != nil {
		panic(errors.Wrap(err, "group: a plain struct did not encode"))
	}
	return body
}
