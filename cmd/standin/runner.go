package main

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v4"

	"hickorybend/platform/fakes"
)

const (
	drainNotice       = 9 * time.Second // time for which a draining runner still expects requests
	drainPollInterval = 50 * time.Millisecond
	drainTimeout      = 10 * time.Second // for running requests to finish after drainNotice
)

// runnerCommand returns the subcommand that runs one runner, an endpoint of the
// users' platform, in its own process.
func runnerCommand() *ff.Command {
	flags := ff.NewFlagSet("runner")
	id := flags.StringLong("id", "m-1", "the runner's ID")
	service := flags.StringLong("service", fakes.ServiceModels, "the service that the runner belongs to")
	domain := flags.StringLong("domain", "", "the runner's fabric domain")
	fabric := flags.StringLong("fabric", "127.0.0.1:9100", "the address to which the runner reports heartbeats and executions")
	eventCount := flags.IntLong("events", 10, "the number of events in a stream")
	eventInterval := flags.DurationLong("pause", 30*time.Millisecond, "the time between two events")
	loadTime := flags.DurationLong("load", time.Second, "how long loading a model onto the host takes")
	stallTimeout := flags.DurationLong("stall", 6*time.Second, "how long a replica's first host (rank 0) waits for a missing member before the replica breaks")
	crashPart := flags.StringLong("crash-part", "", "the part of a prompt on which the runner crashes; empty for none")
	crashDowntime := flags.DurationLong("crash-downtime", time.Second, "how long the runner is down after such a crash")
	return &ff.Command{
		Name:      "runner",
		Usage:     "standin runner [FLAGS]",
		ShortHelp: "one runner of the users' platform; SIGTERM drains it",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			delays := fakes.Delays{Rejoin: *loadTime / 10, Warm: *loadTime * 2 / 3, Load: *loadTime, Open: *loadTime / 10, MemberTimeout: *stallTimeout}
			runner := fakes.NewRunner(nil, *service, *id, *domain, fakes.WithFabric(fakes.DialFabric(*fabric)), fakes.WithDelays(delays), fakes.WithEvents(*eventCount, *eventInterval))
			runner.SetCrashParts(*crashDowntime, *crashPart)
			<-ctx.Done()
			drain(runner)
			return nil
		},
	}
}

// drain registers the runner as draining and says so in its answers, serves requests
// for drainNotice, waits up to drainTimeout for running requests, and closes the
// runner.
func drain(runner *fakes.Runner) {
	runner.Register("draining")
	runner.SetLeaving(true)
	time.Sleep(drainNotice)
	for deadline := time.Now().Add(drainTimeout); runner.Running() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	runner.Close()
}
