package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"

	"hickorybend/io/admin"
	"hickorybend/io/shell"
)

// table prints rows in aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func newTable(columns ...string) *table {
	table := &table{writer: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
	_, _ = fmt.Fprintln(table.writer, strings.Join(columns, "\t"))
	return table
}

func (table *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(table.writer, strings.Join(texts, "\t"))
}

func (table *table) print() error { return table.writer.Flush() }

func printJSON(body any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

func (tool *tool) status() *ff.Command {
	return tool.command("status", "status", "show the state of the deployment as a node sees it",
		func(ctx context.Context, client *admin.Client, _ []string) error {
			report, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if *tool.json {
				printJSON(report)
				return nil
			}
			fmt.Printf("node %s in %s: serving %t, version %d, store up %t\n", report.Node, report.Zone, report.Serving, report.Head, report.StoreReachable)
			fmt.Printf("leases: %s\n", strings.Join(report.Leases, ", "))
			fmt.Printf("replicas %d, not whole %d; stranded hosts %d\n", len(report.Replicas), report.IncompleteReplicas, report.StrandedHosts)
			table := newTable("NODE", "ZONE", "CALLERS", "CONTROL", "DRAINING")
			for _, node := range report.Nodes {
				table.row(node.Name, node.Zone, node.CallersAddress, node.ControlAddress, node.Draining)
			}
			return table.print()
		})
}

func (tool *tool) replicas() *ff.Command {
	return tool.command("replicas", "replicas", "list the replicas",
		func(ctx context.Context, client *admin.Client, _ []string) error {
			report, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if *tool.json {
				printJSON(report.Replicas)
				return nil
			}
			table := newTable("REPLICA", "STATE", "WHOLE", "EJECTED", "EPOCH", "DOMAIN", "LOAD", "HERE", "HOSTS")
			for _, replica := range report.Replicas {
				var hosts []string
				for _, member := range replica.Replica.Members {
					hosts = append(hosts, member.Host)
				}
				table.row(replica.Replica.ID, replica.Replica.State, replica.Complete, replica.Ejected, replica.Replica.Epoch,
					replica.Replica.Domain, replica.Load, replica.InFlight, strings.Join(hosts, " "))
			}
			return table.print()
		})
}

func (tool *tool) endpoints() *ff.Command {
	return tool.command("endpoints", "endpoints", "list the endpoints",
		func(ctx context.Context, client *admin.Client, _ []string) error {
			report, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if *tool.json {
				printJSON(report.Endpoints)
				return nil
			}
			table := newTable("HOST", "SERVICE", "DOMAIN", "SEEN", "LEAVING", "REPLICA", "RUNNING", "WAITING")
			for _, endpoint := range report.Endpoints {
				table.row(endpoint.Host, endpoint.Service, endpoint.Domain, endpoint.Fresh, endpoint.Draining, endpoint.Replica, endpoint.Running, endpoint.Waiting)
			}
			return table.print()
		})
}

func (tool *tool) drain() *ff.Command {
	flags := ff.NewFlagSet("drain").SetParent(tool.flags)
	endpoint := flags.StringLong("endpoint", "", "drain the endpoint on this host")
	replica := flags.StringLong("replica", "", "drain this replica")
	zone := flags.StringLong("zone", "", "drain this availability zone")
	lift := flags.BoolLong("lift", "cancel the drain")
	return &ff.Command{
		Name: "drain", Usage: "hbctl drain (--endpoint HOST | --replica ID | --zone ZONE) [--lift]",
		ShortHelp: "send no new requests to a target and let running ones finish", Flags: flags,
		LongHelp: "A node is drained by SIGTERM. Progress shows in 'hbctl replicas' and 'hbctl endpoints'.",
		Exec: tool.exec(func(ctx context.Context, client *admin.Client, _ []string) error {
			drainrequest, err := drainTarget(*endpoint, *replica, *zone)
			if err != nil {
				return err
			}
			drainrequest.Cancel = *lift
			return client.Drain(ctx, drainrequest)
		}),
	}
}

// drainTarget returns the request for the one target that is set.
func drainTarget(endpoint, replica, zone string) (admin.DrainRequest, error) {
	var chosen []admin.DrainRequest
	for _, drainrequest := range []admin.DrainRequest{
		{Kind: admin.KindEndpoint, Name: endpoint},
		{Kind: admin.KindReplica, Name: replica},
		{Kind: admin.KindZone, Name: zone},
	} {
		if drainrequest.Name != "" {
			chosen = append(chosen, drainrequest)
		}
	}
	if len(chosen) != 1 {
		return admin.DrainRequest{}, shell.ExitError{Code: shell.CodeUsage, Message: "give exactly one of --endpoint, --replica and --zone"}
	}
	return chosen[0], nil
}
