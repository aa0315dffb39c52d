package main

import (
	"context"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"hickorybend/io/edge"
	"hickorybend/io/logbuf"
	"hickorybend/io/shell"
)

// logFlushTimeout bounds the writing of buffered log lines at the end of the process.
const logFlushTimeout = 200 * time.Millisecond

// edgeCommand returns the command that runs a node on the users' platform. checkOnly is
// a flag of the parent.
func edgeCommand(parent *ff.FlagSet, checkOnly *bool) *ff.Command {
	flags := ff.NewFlagSet("edge").SetParent(parent)
	file := flags.StringLong("config", "/etc/hickorybend/settings.toml", "the node's settings file, JSON with comments")
	return &ff.Command{
		Name:      "edge",
		Usage:     "hickorybend edge --config FILE [--check]",
		ShortHelp: "run a node on the users' platform",
		LongHelp:  "The platform's store holds the configuration and the list of endpoints.\nSIGTERM drains and stops the node; SIGHUP reads the settings again.",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveEdge(ctx, *file, *checkOnly)
		},
	}
}

func serveEdge(ctx context.Context, file string, checkOnly bool) error {
	settings, err := edge.ReadSettings(file)
	if err != nil {
		return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
	}
	if checkOnly {
		reportValid()
		return nil
	}
	writer := logbuf.New(os.Stdout)
	defer writer.Close(logFlushTimeout)
	log := shell.NewLoggerTo(writer)
	return runApp(ctx, log, fx.Options(
		fx.Supply(settings, edge.SettingsPath(file)),
		fx.StopTimeout(settings.Grace),
		edge.Module(),
	))
}

// runApp runs a node until a signal stops it or it fails.
func runApp(ctx context.Context, log *zap.Logger, options fx.Option) error {
	app := fx.New(fx.Supply(log), fx.WithLogger(fxLogger), options)
	if err := app.Start(ctx); err != nil {
		return err
	}
	code := 0
	select {
	case <-ctx.Done():
	case shutdown := <-app.Wait():
		code = shutdown.ExitCode
	}
	if err := app.Stop(context.Background()); err != nil {
		return err
	}
	if code != 0 {
		return shell.ExitError{Code: code, Message: "the node failed"}
	}
	return nil
}
