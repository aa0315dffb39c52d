package node

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/config"
	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/lease"
	"hickorybend/core/roster"
	"hickorybend/core/rows"
	"hickorybend/io/admin"
	"hickorybend/io/event"
	"hickorybend/io/hosts"
	"hickorybend/io/table"
)

const (
	pollHead  = "head"
	pollHosts = "host-list"
	pollMinds = "minds"
)

// pollAll starts each read that is due.
func (control *Control) pollAll(now time.Time) {
	every := control.settings.Config.PollEvery
	control.repeat(pollHead, every, now, control.readHead)
	control.repeat(pollHosts, every, now, control.readHosts)
	control.repeat(roster.Partition, every*2, now, control.readPart(roster.Partition))
	control.repeat(admin.DrainsPartition, every*2, now, control.readPart(admin.DrainsPartition))
	control.repeat(lease.Partition, every, now, control.readPart(lease.Partition))
	for _, service := range control.models() {
		part := group.ReplicasPartition(service.Name)
		control.repeat(part, every, now, control.readPart(part))
	}
	if control.holdsAny(now) {
		control.repeat(group.HostsPartition, every, now, control.readPart(group.HostsPartition))
	}
	if !control.held.Fresh(now) {
		control.repeat(pollMinds, every, now, control.askPeers)
	}
}

func (control *Control) models() []intent.Service {
	var models []intent.Service
	if control.text == nil {
		return nil
	}
	for _, service := range control.text.Services {
		if service.Kind == intent.KindModel {
			models = append(models, service)
		}
	}
	return models
}

func (control *Control) pollOf(name string) *poll {
	found, known := control.polls[name]
	if !known {
		found = &poll{}
		control.polls[name] = found
	}
	return found
}

func (control *Control) repeat(name string, every time.Duration, now time.Time, read func(ctx context.Context) message) {
	poll := control.pollOf(name)
	if poll.running || now.Before(poll.dueAt) {
		return
	}
	poll.running = true
	poll.dueAt = now.Add(every)
	control.effect(read)
}

// soon makes a read due at once.
func (control *Control) soon(name string) {
	control.pollOf(name).dueAt = time.Time{}
}

func (control *Control) readHead(ctx context.Context) message {
	from := time.Now()
	row, err := control.outside.Store.Get(ctx, config.HeadKey())
	if errors.Is(err, rows.ErrAbsent) {
		return headRead{from: from}
	}
	return headRead{row: row, err: err, from: from}
}

func (control *Control) readPart(part string) func(ctx context.Context) message {
	return func(ctx context.Context) message {
		from := time.Now()
		all, err := control.outside.Store.List(ctx, part)
		return partRead{part: part, rows: all, err: err, from: from}
	}
}

func (control *Control) readHosts(ctx context.Context) message {
	list, err := control.outside.Hosts.List(ctx)
	return hostsRead{hosts: list, err: err}
}

// askPeers asks every other node what it knows of the configuration. It is
// needed only while this node's own reads of the store fail.
func (control *Control) askPeers(ctx context.Context) message {
	known := control.mind.Load()
	answers := make(chan minds, len(known.nodes))
	for _, node := range known.nodes {
		go func() {
			configreply, err := control.outside.Peers.ConfigStatus(ctx, node.ControlAddress, known.head)
			if err != nil {
				answers <- minds{}
				return
			}
			answers <- minds{rows: configreply.Config, witnesses: []config.PeerStatus{configreply.Status}}
		}()
	}
	var all minds
	for range known.nodes {
		one := <-answers
		all.rows = append(all.rows, one.rows...)
		all.witnesses = append(all.witnesses, one.witnesses...)
	}
	return all
}

func (control *Control) noteStore(err error) {
	down := err != nil
	if down == control.storeDown {
		return
	}
	control.storeDown = down
	if down {
		control.event(event.StoreDown, zap.Error(err))
		return
	}
	control.event(event.StoreBack)
}

func (control *Control) takeHead(read headRead, now time.Time) {
	control.pollOf(pollHead).running = false
	control.noteStore(read.err)
	if read.err != nil {
		return
	}
	if read.row.Version > control.held.Head() {
		control.fetchConfig(read.row.Version, read.from)
		return
	}
	control.held.Confirm(read.row.Version, read.from)
}

// fetchConfig reads the sections after a look at the head, so they are at
// least as new as that head.
func (control *Control) fetchConfig(head int64, from time.Time) {
	poll := control.pollOf(config.Partition)
	if poll.running {
		return
	}
	poll.running = true
	control.effect(func(ctx context.Context) message {
		all, err := control.outside.Store.List(ctx, config.Partition)
		return partRead{part: config.Partition, rows: append(all, rows.Row{Version: head}), err: err, from: from}
	})
}

func (control *Control) takePart(read partRead, now time.Time) {
	poll := control.pollOf(read.part)
	poll.running = false
	if read.err != nil {
		control.roster.ResetTimers(now)
		return
	}
	poll.read, poll.from = true, read.from
	switch {
	case read.part == config.Partition:
		last := len(read.rows) - 1
		control.adopt(read.rows[:last])
		control.held.Confirm(read.rows[last].Version, read.from)
	case read.part == roster.Partition:
		control.roster.Observe(read.rows, now)
		control.sweepRoster(now)
	case read.part == admin.DrainsPartition:
		control.takeDrains(read.rows)
	case read.part == lease.Partition:
		control.takeLeases(read.rows, now)
	case read.part == group.HostsPartition:
		control.takeHostRows(read.rows, read.from)
	default:
		control.takeReplicas(strings.TrimPrefix(read.part, group.ReplicasPartition("")), read.rows)
	}
}

// adopt takes newer sections into force.
func (control *Control) adopt(sections []rows.Row) {
	changed := control.held.Update(sections)
	if len(changed) == 0 {
		return
	}
	spec := control.text
	if spec == nil {
		spec = &intent.Spec{}
	}
	for _, section := range config.SectionsOf(changed) {
		next, err := spec.WithSection(section)
		if err != nil {
			control.event(event.ConfigUnreadable, zap.Error(err))
			continue
		}
		spec = next
	}
	control.text = spec
	control.sections = control.held.Rows()
	control.publishAt = time.Time{}
	control.event(event.ConfigInForce, zap.Int64("head", control.held.Head()), zap.Int("sections", len(sections)))
}

func (control *Control) takeMinds(minds minds) {
	control.pollOf(pollMinds).running = false
	control.adopt(minds.rows)
	for _, row := range minds.rows {
		if isReplica(row) {
			control.takeReplica(row)
		}
	}
	for _, peerstatus := range minds.witnesses {
		if peerstatus.Head > 0 {
			control.held.Confirm(peerstatus.Head, peerstatus.ConfirmedAt)
		}
	}
	control.witnesses = minds.witnesses
}

func (control *Control) takePushed(pushed pushed, now time.Time) {
	var sections []rows.Row
	for _, row := range pushed.rows {
		switch {
		case row.Key == config.HeadKey():
			control.soon(pollHead)
		case row.Key.Partition == config.Partition:
			sections = append(sections, row)
		case isReplica(row):
			control.takeReplica(row)
		case row.Key.Partition == admin.DrainsPartition:
			control.soon(admin.DrainsPartition)
		}
	}
	control.adopt(sections)
	control.publishNow(now)
}

func (control *Control) takeHosts(read hostsRead, now time.Time) {
	control.pollOf(pollHosts).running = false
	if (read.err != nil) != control.listDown {
		control.listDown = read.err != nil
		if control.listDown {
			control.event(event.HostListDown, zap.Error(read.err))
		} else {
			control.event(event.HostListBack)
		}
	}
	if read.err != nil {
		return
	}
	listed := make(map[string]hosts.Host, len(read.hosts))
	for _, host := range read.hosts {
		listed[host.Name] = host
	}
	for name := range control.listed {
		if _, still := listed[name]; !still {
			control.board.Forget(name)
			delete(control.probes, name)
		}
	}
	control.listed = listed
}

// beat renews this node's own row, by which others know that it lives.
func (control *Control) beat(now time.Time) {
	if control.beating || control.gone || now.Before(control.beatAt) || !control.pollOf(roster.Partition).read {
		return
	}
	control.beating = true
	control.beatAt = now.Add(control.settings.Config.NodeTerm / beatsPerTerm)
	put := rows.Replace(control.roster.Row(control.self.Name), control.self.Body())
	write := uuid.NewString()
	control.effect(func(ctx context.Context) message {
		outcome := control.outside.Store.Commit(ctx, rows.Txn{WriteID: write, Ops: []rows.Op{put}})
		return beaten{put: put, write: write, outcome: outcome}
	})
}

const beatsPerTerm = 4

func (control *Control) takeBeat(beaten beaten) {
	control.beating = false
	switch beaten.outcome.(type) {
	case rows.Committed:
		control.roster.RecordRenewal(rows.Apply(beaten.put, beaten.write), time.Now())
	default:
		control.soon(roster.Partition)
		control.beatAt = time.Now().Add(control.settings.Config.PollEvery)
	}
}

// sweepRoster erases rows of nodes that are long gone; the lowest node of the
// roster does it, and a second that thinks it is the lowest does no harm.
func (control *Control) sweepRoster(now time.Time) {
	nodes := control.roster.Nodes(now)
	if len(nodes) == 0 || nodes[0].Name != control.self.Name {
		return
	}
	for _, row := range control.roster.Stale(now) {
		delete := rows.Delete{Key: row.Key, Base: row.Version}
		txn := rows.Txn{WriteID: uuid.NewString(), Ops: []rows.Op{delete}}
		control.effect(func(ctx context.Context) message {
			control.outside.Store.Commit(ctx, txn)
			return pushed{}
		})
	}
}

// leave gives up the leases at once and, in its last step, the node's row: as
// long as the row is there, others know that calls of this node may be running.
func (control *Control) leave(leaving leaving, now time.Time) {
	control.self.Draining = true
	control.beatAt = time.Time{}
	txns := control.releases(now)
	if leaving.last {
		control.gone = true
		row := control.roster.Row(control.self.Name)
		txns = append(txns, rows.Txn{WriteID: uuid.NewString(), Ops: []rows.Op{rows.Delete{Key: row.Key, Base: row.Version}}})
	}
	control.effect(func(ctx context.Context) message {
		for _, txn := range txns {
			table.CommitAndResolve(ctx, control.outside.Store, txn)
		}
		close(leaving.done)
		return pushed{}
	})
}

func (control *Control) releases(now time.Time) []rows.Txn {
	var txns []rows.Txn
	for name, claim := range control.claims {
		if txn, held := claim.lease.Release(now, uuid.NewString()); held {
			control.event(event.LeaseReleased, zap.String("lease", name))
			txns = append(txns, txn)
		}
	}
	return txns
}
