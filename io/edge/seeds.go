package edge

import (
	"context"
	"net"
	"time"

	"hickorybend/io/gossip"
)

const (
	seedDelay    = 400 * time.Millisecond // time for the store to answer first
	seedInterval = 500 * time.Millisecond // between two rounds of fetching from all seeds
)

// fetchFromSeeds fetches the tables from other nodes until this node is ready, in
// case the store does not answer a node that has just started. Nodes listen for
// their peers on the same port on all hosts.
func (control *Control) fetchFromSeeds(ctx context.Context) {
	sleep(ctx, seedDelay+control.startHold(tableConfig))
	for ctx.Err() == nil && !control.Ready() {
		for _, address := range seedAddresses(control.settings) {
			client := gossip.NewClient(control.peers.http, address, control.settings.PeerKey)
			for table := range tableCount {
				control.fetchFromPeer(client, table, 0)
			}
			if control.Ready() {
				return
			}
		}
		sleep(ctx, seedInterval)
	}
}

// seedAddresses returns the addresses at which nodes on the seed hosts listen for
// peers, except this node's own.
func seedAddresses(settings Settings) []string {
	_, port, err := net.SplitHostPort(settings.PeersAddress)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, seed := range settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		if address := net.JoinHostPort(host, port); address != settings.PeersAddress {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// publishNodeTable publishes the rows of the nodes table for peers: those that
// start during a store outage, and those to which a leader reports changes.
func (control *Control) publishNodeTable(now time.Time) {
	peers := control.peers
	for name, removal := range peers.removed {
		if now.Sub(removal.at) >= removedRowTTL {
			peers.compacted = max(peers.compacted, removal.version)
			delete(peers.removed, name)
		}
	}
	table := &gossip.Table{Version: peers.version, CompactedVersion: peers.compacted}
	for _, row := range peers.rows {
		table.Entries = append(table.Entries, gossip.Entry{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	for name, removal := range peers.removed {
		table.Entries = append(table.Entries, gossip.Entry{Key: name, Version: removal.version, Removed: true})
	}
	control.publishedTables[tableNodes].Store(table)
}
