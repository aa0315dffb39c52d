package main

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v4"

	"hickorybend/platform/fakes"
)

const (
	drainNotice = 9 * time.Second // that a leaving runner serves on
	drainCheck  = 50 * time.Millisecond
	drainMost   = 10 * time.Second // for its work to end
)

// runnerCommand is one runner of the users' platform as a process of its own.
func runnerCommand() *ff.Command {
	flags := ff.NewFlagSet("runner")
	id := flags.StringLong("id", "m-1", "the runner's id")
	service := flags.StringLong("service", fakes.ServiceModels, "the service it belongs to")
	domain := flags.StringLong("domain", "", "its fabric domain")
	fabric := flags.StringLong("fabric", "127.0.0.1:9100", "where it tells of itself")
	events := flags.IntLong("events", 10, "events of a stream")
	pause := flags.DurationLong("pause", 30*time.Millisecond, "between two events")
	load := flags.DurationLong("load", time.Second, "to load a model onto its host")
	stall := flags.DurationLong("stall", 6*time.Second, "after which a first host that misses a member breaks")
	return &ff.Command{
		Name:      "runner",
		Usage:     "standin runner [FLAGS]",
		ShortHelp: "one runner of the users' platform; SIGTERM has it leave as planned",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			delays := fakes.Delays{Rejoin: *load / 10, Warm: *load * 2 / 3, Load: *load, Open: *load / 10, MemberTimeout: *stall}
			runner := fakes.NewRunner(nil, *service, *id, *domain, fakes.WithFabric(fakes.DialFabric(*fabric)), fakes.WithDelays(delays), fakes.WithEvents(*events, *pause))
			<-ctx.Done()
			leave(runner)
			return nil
		},
	}
}

// leave says that the runner drains, serves on, and ends.
func leave(runner *fakes.Runner) {
	runner.Register("draining")
	time.Sleep(drainNotice)
	for end := time.Now().Add(drainMost); runner.Running() > 0 && time.Now().Before(end); {
		time.Sleep(drainCheck)
	}
	runner.Close()
}
