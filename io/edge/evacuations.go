package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/evac"
	"hickorybend/core/fleet"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

// unknownEvacuationsTime is for how long a node that has just started waits for the rows of
// evacuated zones. It ends only where the store does not answer and all other nodes are
// of earlier builds, which know of no evacuation either.
const unknownEvacuationsTime = 10 * time.Second

// lostRowGrace is for how long a zone stays evacuated whose row is missing in a store that has come back from an older
// copy. Operators and endpoints write again what they had written there within about two seconds.
const lostRowGrace = removalGrace

// evacuations is what this node knows of the evacuated zones.
type evacuations struct {
	inForce evac.InForce
	served  bool            // evacuationsKnown, as of the last tick
	judged  map[string]bool // evacuated zones of which it is known whether they exist; true if they do
}

// handleEvacuationRows applies rows of the operators' table, as the store or another node
// has them.
func (control *Control) handleEvacuationRows(change tableChanged, now time.Time) {
	if change.from != fromStore {
		control.applyEvacuations(change.evacuations.State(now), change.from, now)
		return
	}
	changes := platform.Evacuations(change.batch.Entries)
	if change.batch.Full {
		control.applyEvacuations(evac.Read(changes, change.batch.Version, now), change.from, now)
		return
	}
	control.setEvacuations(control.evacuations.inForce.State.Follow(changes, change.batch.Version, now), change.from, now)
}

// applyEvacuations merges a state into the known one.
func (control *Control) applyEvacuations(state evac.State, from source, now time.Time) {
	control.setEvacuations(control.evacuations.inForce.State.Merge(state), from, now)
}

// setEvacuations makes a state the known one.
func (control *Control) setEvacuations(state evac.State, from source, now time.Time) {
	control.putInForce(control.evacuations.inForce.With(state, lostRowGrace, now), from, now)
}

// putInForce puts evacuations in force: the snapshot that the control loop publishes next
// has no candidate in an evacuated zone.
func (control *Control) putInForce(inforce evac.InForce, from source, now time.Time) {
	known := control.evacuations.inForce
	control.evacuations.inForce = inforce
	if known.State.Known() != inforce.State.Known() {
		control.snapshotStale = true
	}
	version := inforce.State.Version
	for _, zone := range inforce.Zones() {
		if !known.Has(zone.Name) {
			control.snapshotStale = true
			event.Log(control.log, event.ZoneEvacuated, zap.String("zone", zone.Name), zap.String("from", string(from)),
				zap.Int64("version", zone.Version.Number()), zap.Int64("era", zone.Version.Era()), zap.Duration("age", now.Sub(zone.Since)))
		}
	}
	for _, zone := range known.Zones() {
		if !inforce.Has(zone.Name) {
			control.snapshotStale = true
			delete(control.evacuations.judged, zone.Name)
			event.Log(control.log, event.ZoneTakenBack, zap.String("zone", zone.Name), zap.String("from", string(from)),
				zap.Int64("version", version.Number()), zap.Int64("era", version.Era()), zap.Duration("after", now.Sub(zone.Since)))
		}
	}
}

// evacuationsKnown reports whether this node may serve by what it knows of evacuations.
func (control *Control) evacuationsKnown(now time.Time) bool {
	return control.evacuations.inForce.State.Known() || now.Sub(control.startedAt) >= unknownEvacuationsTime
}

// judgeEvacuations takes zones back whose rows have not been written again in time, and logs
// each evacuated zone in which there is neither an endpoint nor a node, once.
func (control *Control) judgeEvacuations(now time.Time) {
	control.putInForce(control.evacuations.inForce.Expire(now), fromGrace, now)
	if known := control.evacuationsKnown(now); known != control.evacuations.served {
		control.evacuations.served, control.snapshotStale = known, true
	}
	if !control.endpoints.loaded || control.starting(now) {
		return
	}
	for _, zone := range control.evacuations.inForce.Zones() {
		if _, judged := control.evacuations.judged[zone.Name]; judged {
			continue
		}
		known := control.knowsZone(zone.Name)
		control.evacuations.judged[zone.Name] = known
		if !known {
			event.Log(control.log, event.ZoneUnknown, zap.String("zone", zone.Name))
		}
	}
}

// knowsZone reports whether an endpoint or a node is in a zone.
func (control *Control) knowsZone(zone string) bool {
	if zone == control.settings.Zone {
		return true
	}
	for _, endpoint := range control.endpoints.byID {
		if endpoint.Zone == zone {
			return true
		}
	}
	for _, peer := range control.peers.nodes {
		if peer.zone == zone {
			return true
		}
	}
	return false
}

// plannable returns the endpoints of a service that placement may use.
func (control *Control) plannable(service string) []fleet.Endpoint {
	endpoints := control.endpoints.ofService(service)
	if len(control.evacuations.inForce.Zones()) == 0 {
		return endpoints
	}
	return fleet.OutsideZones(endpoints, control.evacuations.inForce.Has)
}

// evacuationsListed asks Control for the evacuated zones.
type evacuationsListed struct {
	reply chan gossip.EvacuationList
}

func (evacuationsListed) message() {}

// EvacuationList returns what this node knows of the evacuated zones.
func (control *Control) EvacuationList(ctx context.Context) (gossip.EvacuationList, error) {
	reply := make(chan gossip.EvacuationList, 1)
	if err := control.order(ctx, evacuationsListed{reply: reply}); err != nil {
		return gossip.EvacuationList{}, err
	}
	select {
	case evacuationlist := <-reply:
		return evacuationlist, nil
	case <-ctx.Done():
		return gossip.EvacuationList{}, errStopped
	}
}

func (control *Control) handleEvacuationsListed(listed evacuationsListed, now time.Time) {
	inforce := control.evacuations.inForce
	state := evac.State{Version: inforce.State.Version, Zones: inforce.Zones()}
	evacuationlist := gossip.EvacuationList{Known: state.Known()}
	for i, evacuation := range gossip.EvacuationsOf(state, now).List() {
		evacuationlist.Zones = append(evacuationlist.Zones, gossip.RunningZone{
			Evacuation: evacuation, Unknown: !control.knowsZone(state.Zones[i].Name), Endpoints: control.runningIn(state.Zones[i].Name),
		})
	}
	listed.reply <- evacuationlist
}

// runningIn returns the endpoints of a zone with requests of any node in flight.
func (control *Control) runningIn(zone string) []gossip.Running {
	var running []gossip.Running
	for id, endpoint := range control.endpoints.byID {
		if inFlight := control.endpoints.load(id).InFlight(); endpoint.Zone == zone && inFlight > 0 {
			running = append(running, gossip.Running{Endpoint: id, Replica: endpoint.Membership.Replica, InFlight: inFlight})
		}
	}
	slices.SortFunc(running, func(a, b gossip.Running) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return running
}
