package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"hickorybend/io/fakes"
	"hickorybend/io/shell"
)

func main() {
	flags := ff.NewFlagSet("standin")
	text := flags.StringLong("text", "", "the operators' text of the deployment")
	ip := flags.StringLong("ip", "127.0.0.1", "the IP number to listen on")
	port := flags.IntLong("port", 9000, "the platform's port; endpoints have those above it")
	domains := flags.IntLong("domains", 2, "fabric domains in each zone")
	hosts := flags.IntLong("hosts", 10, "model hosts in each fabric domain")
	lag := flags.DurationLong("list-lag", 2*time.Second, "how late the host list is")
	load := flags.DurationLong("load-time", 1500*time.Millisecond, "how long an engine takes to load weights")
	shell.Main(&ff.Command{
		Name:      "standin",
		Usage:     "standin --text FILE [FLAGS]",
		ShortHelp: "stand-ins for the platform and the endpoints",
		LongHelp:  "Faults are set by HTTP: POST /faults on the platform's port; docs/TESTING.md lists them.",
		Flags:     flags,

		Subcommands: []*ff.Command{runnerCommand()},
		Exec: func(ctx context.Context, _ []string) error {
			src, err := os.ReadFile(*text)
			if err != nil {
				return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
			}
			layout, err := fakes.LayoutOf(*text, src, *ip, *port, *domains, *hosts)
			if err != nil {
				return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
			}
			layout.HostListLag = *lag
			layout.Speed.LoadTime = *load
			return stand(ctx, layout)
		},
	}, "STANDIN")
}

func stand(ctx context.Context, layout fakes.Layout) error {
	platform, err := fakes.Start(layout)
	if err != nil {
		return err
	}
	fmt.Printf("standin: platform on %s, %d endpoints\n", layout.Address, len(layout.Hosts))
	<-ctx.Done()
	platform.Stop()
	return nil
}
