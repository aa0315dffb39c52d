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

// blocks shows or lifts the blocks of inputs that crash endpoints.
func (tool *tool) blocks() *ff.Command {
	flags := ff.NewFlagSet("blocks").SetParent(tool.flags)
	lift := flags.StringLong("lift", "", "lift the block of the input with this ID, on all nodes")
	return &ff.Command{
		Name: "blocks", Usage: "hbctl --node ADDRESS --key KEY blocks [--lift INPUT]",
		ShortHelp: "show or lift blocks of requests that crash endpoints", Flags: flags,
		LongHelp: "For nodes of 'hickorybend edge', which have no control address: ADDRESS is a node's address for other nodes and\n" +
			"KEY their peer key. An input is a whole request (kind request) or a part of prompts; 606 has its ID.",
		Exec: func(ctx context.Context, _ []string) error {
			client := gossip.NewClient(&http.Client{Timeout: callTimeout}, *tool.node, *tool.key)
			if *lift != "" {
				return exitErrorOf(liftBlock(ctx, client, *lift))
			}
			return exitErrorOf(tool.listBlocks(ctx, client))
		},
	}
}

func liftBlock(ctx context.Context, client *gossip.Client, input string) error {
	lifted, err := client.Lift(ctx, input)
	if err != nil {
		return err
	}
	if !lifted {
		return shell.ExitError{Code: shell.CodeFailed, Message: "this node knows of no block of the input " + input}
	}
	fmt.Printf("lifted; the other nodes learn of it within a second\n")
	return nil
}

func (tool *tool) listBlocks(ctx context.Context, client *gossip.Client) error {
	blockstatuslist, err := client.BlockStatusList(ctx)
	if err != nil {
		return err
	}
	if *tool.json {
		printJSON(blockstatuslist.Blocks)
		return nil
	}
	table := newTable("KIND", "SERVICE", "INPUT", "SINCE", "CRASHES", "USES", "TRIALS", "PASSED", "NEXT-TRIAL", "EVIDENCE")
	now := time.Now()
	for _, status := range blockstatuslist.Blocks {
		block, kind := status.Block, "prompt-part"
		if block.Service == "" {
			kind = "request"
		}
		var evidence []string
		for _, report := range status.Evidence {
			evidence = append(evidence, report.Endpoint+" "+now.Add(-time.Duration(report.Age)).UTC().Format(time.TimeOnly))
		}
		table.row(kind, block.Service, block.Input, now.Add(-time.Duration(block.Age)).UTC().Format(time.RFC3339), block.Crashes, status.Uses, block.Trials, block.Passed,
			time.Duration(block.NextTrialDelay).Round(time.Second), strings.Join(evidence, ", "))
	}
	return table.print()
}
