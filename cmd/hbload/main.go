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
	targets := flags.StringLong("targets", "127.0.0.1:8081", "callers' addresses, with commas between")
	keys := flags.StringLong("keys", "", "TEAM=KEY pairs, with commas between")
	model := flags.StringLong("model", "", "the model to ask for")
	plain := flags.StringLong("plain", "", "the path prefix of a plain service")
	once := flags.StringLong("once", "", "the path below it of a call that may not be repeated")
	rate := flags.Float64Long("rate", 20, "requests a second")
	length := flags.DurationLong("length", 10*time.Second, "how long to send")
	seed := flags.Uint64Long("seed", 1, "the seed of the arrivals")
	prefixes := flags.IntLong("prefixes", 20, "how many beginnings the prompts share; 0 for none")
	prompt := flags.IntLong("prompt-bytes", 1000, "the length of a prompt")
	tokens := flags.IntLong("tokens", 40, "the length of an answer")
	mix := flags.StringLong("mix", "0.7,0.1,0.1,0.1", "the shares of chat, text, plain and once")
	asJSON := flags.BoolLong("json", "print the report as JSON")
	shell.Main(&ff.Command{
		Name: "hbload", Usage: "hbload --model NAME --keys TEAM=KEY[,...] [FLAGS]", Flags: flags,
		ShortHelp: "send load and check every answer",
		LongHelp:  "Exits with 1 if an answer was not whole, not its caller's own, or doubled, or if none was whole.",
		Exec: func(ctx context.Context, _ []string) error {
			mix, err := parseMix(*mix)
			if err != nil {
				return err
			}
			parsed, err := parseKeys(*keys)
			if err != nil {
				return err
			}
			return load(ctx, stress.Plan{
				Targets: strings.Split(*targets, ","), Keys: parsed, Model: *model, PlainPath: *plain, AtMostOncePath: *once,
				Rate: *rate, Duration: *length, Seed: *seed, Prefixes: *prefixes, PromptBytes: *prompt, Tokens: *tokens,
				Mix: mix, FirstTokenGoal: firstGoal, InterTokenGoal: betweenGoal, Timeout: answerLimit,
			}, *asJSON)
		},
	}, "HBLOAD")
}

const (
	firstGoal   = 430 * time.Millisecond
	betweenGoal = 39 * time.Millisecond
	answerLimit = time.Minute
)

func load(ctx context.Context, plan stress.Plan, asJSON bool) error {
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
		return shell.ExitError{Code: shell.CodeFailed, Message: fmt.Sprintf("%d wrong answers, %d whole", wrong, report.Completed())}
	}
	return nil
}

func parseMix(list string) (stress.Mix, error) {
	var mix stress.Mix
	_, err := fmt.Sscanf(list, "%g,%g,%g,%g", &mix.Chat, &mix.Text, &mix.Plain, &mix.AtMostOnce)
	if err != nil {
		return mix, shell.ExitError{Code: shell.CodeUsage, Message: fmt.Sprintf("--mix needs four numbers with commas between, not %q", list)}
	}
	return mix, nil
}

func parseKeys(pairs string) ([]stress.TeamKey, error) {
	var keys []stress.TeamKey
	for _, pair := range strings.Split(pairs, ",") {
		team, key, found := strings.Cut(pair, "=")
		if !found {
			return nil, shell.ExitError{Code: shell.CodeUsage, Message: fmt.Sprintf("--keys needs TEAM=KEY, not %q", pair)}
		}
		keys = append(keys, stress.TeamKey{Team: team, Key: key})
	}
	return keys, nil
}
