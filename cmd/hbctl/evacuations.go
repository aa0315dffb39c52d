package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"hickorybend/io/gossip"
	"hickorybend/io/shell"
)

// evacuations shows the evacuated zones and what still runs there.
func (tool *tool) evacuations() *ff.Command {
	return &ff.Command{
		Name: "evacuations", Usage: "hbctl --node ADDRESS --key KEY evacuations",
		ShortHelp: "show evacuated zones and what still runs there", Flags: ff.NewFlagSet("evacuations").SetParent(tool.flags),
		LongHelp: "For nodes of 'hickorybend edge', which have no control address: ADDRESS is a node's address for other nodes and\n" +
			"KEY their peer key. SINCE is when a node first learned of the evacuation, by this node's clock.",
		Exec: func(ctx context.Context, _ []string) error {
			return exitErrorOf(tool.listEvacuations(ctx, gossip.NewClient(&http.Client{Timeout: callTimeout}, *tool.node, *tool.key)))
		},
	}
}

func (tool *tool) listEvacuations(ctx context.Context, client *gossip.Client) error {
	evacuationlist, err := client.EvacuationList(ctx)
	if err != nil {
		return err
	}
	if !evacuationlist.Known {
		return shell.ExitError{Code: shell.CodeFailed, Message: "this node has not read the operators' rows yet"}
	}
	if *tool.json {
		printJSON(evacuationlist.Zones)
		return nil
	}
	table := newTable("ZONE", "SINCE", "KNOWN-ZONE", "RUNNING", "ENDPOINTS")
	for _, zone := range evacuationlist.Zones {
		running, endpoints := 0, []string{}
		for _, endpoint := range zone.Endpoints {
			running += endpoint.InFlight
			endpoints = append(endpoints, fmt.Sprintf("%s:%d", endpoint.Endpoint, endpoint.InFlight))
		}
		since := time.Now().Add(-time.Duration(zone.Evacuation.Age)).UTC().Format(time.RFC3339)
		table.row(zone.Evacuation.Zone, since, !zone.Unknown, running, strings.Join(endpoints, ", "))
	}
	return table.print()
}
