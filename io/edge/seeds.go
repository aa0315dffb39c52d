package edge

import (
	"context"
	"net"
	"time"

	"hickorybend/io/gossip"
)

const (
	seedDelay = 400 * time.Millisecond // for the store to answer first
	seedPause = 500 * time.Millisecond // between two rounds over the seeds
)

// askSeeds gets the tables from other nodes while the store does not answer a
// node that has just started. Nodes listen on one port on all hosts.
func (control *Control) askSeeds(ctx context.Context) {
	wait(ctx, seedDelay)
	for ctx.Err() == nil && !control.Ready() {
		for _, address := range seedAddresses(control.settings) {
			client := gossip.NewClient(control.peers.http, address, control.settings.PeerKey)
			for table := range tableCount {
				control.fetchFrom(client, table, 0)
			}
			if control.Ready() {
				return
			}
		}
		wait(ctx, seedPause)
	}
}

// seedAddresses gives the seeds' addresses for nodes, this node's own left out.
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

// copyNodes keeps the rows of nodes for other nodes: those that start while the
// store is away, and those that a leader tells of changes.
func (control *Control) copyNodes() {
	table := &gossip.Table{Version: control.peers.version}
	for _, row := range control.peers.rows {
		table.Entries = append(table.Entries, gossip.Entry{Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Removed})
	}
	control.copies[tableNodes].Store(table)
}
