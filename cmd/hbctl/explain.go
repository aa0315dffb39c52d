package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v4"

	"hickorybend/io/admin"
	"hickorybend/io/shell"
	"hickorybend/io/trace"
)

// explain shows how a request was routed, from the node that served it or from
// the logs of nodes.
func (tool *tool) explain() *ff.Command {
	askNode := tool.exec(explainFromNode(tool))
	return &ff.Command{
		Name: "explain", Usage: "hbctl explain REQUEST-ID [LOG-FILE ...]", ShortHelp: "show how a request was routed",
		LongHelp: "Without files it asks the node, which must be the one that served the request. With the logs of nodes it shows\n" +
			"how the request ended, and the events of its endpoints, their replicas and its node in the ten seconds before.",
		Flags: ff.NewFlagSet("explain").SetParent(tool.flags),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return explainFromLogs(args[0], args[1:])
			}
			return askNode(ctx, args)
		},
	}
}

func explainFromNode(tool *tool) func(context.Context, *admin.Client, []string) error {
	return func(ctx context.Context, client *admin.Client, args []string) error {
		if len(args) != 1 {
			return shell.ExitError{Code: shell.CodeUsage, Message: "this command takes one request id and, optionally, log files to search"}
		}
		explanation, err := client.Explain(ctx, args[0])
		if err != nil {
			return err
		}
		if !explanation.Found {
			return shell.ExitError{Code: shell.CodeFailed, Message: "this node has no record of the request"}
		}
		if *tool.json {
			printJSON(explanation)
			return nil
		}
		fmt.Printf("%s of %s to %s at %s: %s\n", explanation.Request, explanation.Team, explanation.Service, explanation.ReceivedAt.Format(time.RFC3339Nano), explanation.Ended)
		table := newTable("TARGET", "LOAD", "CANDIDATES", "FROM-TOKEN", "FAILED")
		for _, attempt := range explanation.Attempts {
			table.row(attempt.Target, attempt.Load, attempt.Candidates, attempt.Offset, attempt.Error)
		}
		return table.print()
	}
}

func explainFromLogs(request string, files []string) error {
	var sources []trace.Source
	for _, file := range files {
		sources = append(sources, trace.Source{Name: file, Open: func() (io.ReadCloser, error) { return os.Open(file) }})
	}
	timeline, err := trace.Find(request, sources)
	if err != nil {
		return shell.ExitError{Code: shell.CodeFailed, Message: err.Error()}
	}
	endedAt := timeline.Completions[0].At
	lines := slices.Concat(timeline.Completions, timeline.Related)
	slices.SortStableFunc(lines, func(a, b trace.Line) int { return a.At.Compare(b.At) })
	for _, line := range lines {
		fmt.Printf("%+8.3f s  %s\n", line.At.Sub(endedAt).Seconds(), line)
	}
	return nil
}
