package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"hickorybend/io/shell"
	"hickorybend/io/stress"
)

func main() {
	flags := ff.NewFlagSet("hbload")
	targets := flags.StringLong("targets", "127.0.0.1:8081", "the nodes' addresses for callers, separated by commas")
	keys := flags.StringLong("keys", "", "TEAM=KEY pairs, separated by commas")
	model := flags.StringLong("model", "", "the model to request")
	plainPath := flags.StringLong("plain", "", "the path prefix of a plain service")
	atMostOncePath := flags.StringLong("once", "", "the path of an at-most-once call, below --plain")
	rate := flags.Float64Long("rate", 20, "the average number of requests a second")
	duration := flags.DurationLong("length", 10*time.Second, "how long to send requests")
	seed := flags.Uint64Long("seed", 1, "the seed of the load")
	prefixes := flags.IntLong("prefixes", 20, "the number of distinct prefixes that the prompts share; 0 makes each chat's system message unique")
	prompt := flags.IntLong("prompt-bytes", 1000, "the length of the shared prefix of a prompt, in bytes")
	tokens := flags.IntLong("tokens", 40, "the length of a completion, in tokens")
	mix := flags.StringLong("mix", "0.7,0.1,0.1,0.1", "the weights of streamed chats, plain completions, reads of the plain service and at-most-once calls")
	asJSON := flags.BoolLong("json", "print the report as JSON")
	shell.Main(&ff.Command{
		Name: "hbload", Usage: "hbload --model NAME --keys TEAM=KEY[,...] [FLAGS]", Flags: flags,
		ShortHelp: "send load and check every response",
		LongHelp:  "Exits with 1 if a response was incomplete or belonged to another request, if a call ran twice, or if no response was complete.",
		Exec: func(ctx context.Context, _ []string) error {
			mix, err := parseMix(*mix)
			if err != nil {
				return err
			}
			teamKeys, err := parseKeys(*keys)
			if err != nil {
				return err
			}
			return runLoad(ctx, stress.Plan{
				Targets: strings.Split(*targets, ","), Keys: teamKeys, Model: *model, PlainPath: *plainPath, AtMostOncePath: *atMostOncePath,
				Rate: *rate, Duration: *duration, Seed: *seed, Prefixes: *prefixes, PromptBytes: *prompt, Tokens: *tokens,
				Mix: mix, FirstTokenGoal: firstTokenGoal, InterTokenGoal: interTokenGoal, Timeout: requestTimeout,
			}, *asJSON)
		},
	}, "HBLOAD")
}

// The latency goals of a response and the timeout of a request.
const (
	firstTokenGoal = 430 * time.Millisecond
	interTokenGoal = 39 * time.Millisecond
	requestTimeout = time.Minute
)

func runLoad(ctx context.Context, plan stress.Plan, asJSON bool) error {
	report := stress.Run(ctx, plan)
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return err
		}
	} else {
		fmt.Print(report.Text())
	}
	if wrong := report.Wrong(); wrong > 0 || report.Completed() == 0 {
		return shell.ExitError{Code: shell.CodeFailed, Message: fmt.Sprintf("%d wrong responses, %d complete", wrong, report.Completed())}
	}
	return nil
}

func parseMix(list string) (stress.Mix, error) {
	var mix stress.Mix
	_, err := fmt.Sscanf(list, "%g,%g,%g,%g", &mix.Chat, &mix.Text, &mix.Plain, &mix.AtMostOnce)
	if err != nil {
		return mix, shell.ExitError{Code: shell.CodeUsage, Message: fmt.Sprintf("--mix must be four numbers separated by commas, not %q", list)}
	}
	return mix, nil
}

func parseKeys(pairs string) ([]stress.TeamKey, error) {
	var keys []stress.TeamKey
	for _, pair := range strings.Split(pairs, ",") {
		team, key, found := strings.Cut(pair, "=")
		if !found {
			return nil, shell.ExitError{Code: shell.CodeUsage, Message: fmt.Sprintf("--keys must be TEAM=KEY pairs separated by commas, not %q", pair)}
		}
		keys = append(keys, stress.TeamKey{Team: team, Key: key})
	}
	return keys, nil
}
