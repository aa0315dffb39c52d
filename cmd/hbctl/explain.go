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

// explain asks the node that served a request, or reads nodes' logs.
func (tool *tool) explain() *ff.Command {
	asked := tool.exec(explainByNode(tool))
	return &ff.Command{
		Name: "explain", Usage: "hbctl explain REQUEST-ID [LOG-FILE ...]", ShortHelp: "why a request went where it did",
		LongHelp: "Without files it asks the node that served the request. With the logs of nodes it shows the\n" +
			"request's end and what befell its endpoints, their replicas and its node in the ten seconds before.",
		Flags: ff.NewFlagSet("explain").SetParent(tool.flags),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return explainByLogs(args[0], args[1:])
			}
			return asked(ctx, args)
		},
	}
}

func explainByNode(tool *tool) func(context.Context, *admin.Client, []string) error {
	return func(ctx context.Context, client *admin.Client, args []string) error {
		if len(args) != 1 {
			return shell.ExitError{Code: shell.CodeUsage, Message: "this command takes one request id, and the logs to look in if any"}
		}
		explanation, err := client.Explain(ctx, args[0])
		if err != nil {
			return err
		}
		if !explanation.Found {
			return shell.ExitError{Code: shell.CodeFailed, Message: "this node does not remember the request"}
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

func explainByLogs(request string, files []string) error {
	var sources []trace.Source
	for _, file := range files {
		sources = append(sources, trace.Source{Name: file, Open: func() (io.ReadCloser, error) { return os.Open(file) }})
	}
	timeline, err := trace.Find(request, sources)
	if err != nil {
		return shell.ExitError{Code: shell.CodeFailed, Message: err.Error()}
	}
	ended := timeline.Completions[0].At
	lines := slices.Concat(timeline.Completions, timeline.Related)
	slices.SortStableFunc(lines, func(a, b trace.Line) int { return a.At.Compare(b.At) })
	for _, line := range lines {
		fmt.Printf("%+8.3f s  %s\n", line.At.Sub(ended).Seconds(), line)
	}
	return nil
}
