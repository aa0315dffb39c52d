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
	specFile := flags.StringLong("text", "", "the file with the deployment's spec")
	ip := flags.StringLong("ip", "127.0.0.1", "the IP address to listen on")
	port := flags.IntLong("port", 9000, "the platform's port; the endpoints get the ports above it")
	domains := flags.IntLong("domains", 2, "the number of fabric domains in each zone")
	hosts := flags.IntLong("hosts", 10, "the number of model hosts in each fabric domain")
	listLag := flags.DurationLong("list-lag", 2*time.Second, "the delay after which the host list shows a change")
	loadTime := flags.DurationLong("load-time", 1500*time.Millisecond, "how long loading weights takes")
	shell.Main(&ff.Command{
		Name:      "standin",
		Usage:     "standin --text FILE [FLAGS]",
		ShortHelp: "stand-ins for the platform and the endpoints",
		LongHelp:  "Faults are injected by HTTP: POST /faults on the platform's port. docs/TESTING.md lists them.",
		Flags:     flags,

		Subcommands: []*ff.Command{runnerCommand()},
		Exec: func(ctx context.Context, _ []string) error {
			src, err := os.ReadFile(*specFile)
			if err != nil {
				return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
			}
			layout, err := fakes.NewLayout(*specFile, src, *ip, *port, *domains, *hosts)
			if err != nil {
				return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
			}
			layout.HostListLag = *listLag
			layout.Speed.LoadTime = *loadTime
			return serve(ctx, layout)
		},
	}, "STANDIN")
}

// serve runs the stand-ins until ctx is done.
func serve(ctx context.Context, layout fakes.Layout) error {
	platform, err := fakes.Start(layout)
	if err != nil {
		return err
	}
	fmt.Printf("standin: platform on %s, %d endpoints\n", layout.Address, len(layout.Hosts))
	<-ctx.Done()
	platform.Stop()
	return nil
}
