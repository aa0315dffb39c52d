package main

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"hickorybend/io/conf"
	"hickorybend/io/node"
	"hickorybend/io/shell"
)

func main() { shell.Main(rootCommand(), "HICKORYBEND") }

// rootCommand returns the command with its subcommands.
func rootCommand() *ff.Command {
	flags := ff.NewFlagSet("hickorybend")
	settingsFile := flags.StringLong("settings", "/etc/hickorybend/node.jsonc", "the node's settings file, JSON with comments")
	checkOnly := flags.BoolLong("check", "check the settings and exit")
	return &ff.Command{
		Name:        "hickorybend",
		Usage:       "hickorybend --settings FILE [--check]\n  hickorybend edge --config FILE",
		ShortHelp:   "serve models that span several hosts",
		LongHelp:    "Each flag can also be set by an environment variable, such as HICKORYBEND_SETTINGS=FILE.\nSIGTERM drains and stops the node.",
		Flags:       flags,
		Subcommands: []*ff.Command{edgeCommand(flags, checkOnly)},
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *settingsFile, *checkOnly)
		},
	}
}

func serve(ctx context.Context, file string, checkOnly bool) error {
	settings, err := conf.Read(file)
	if err != nil {
		return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
	}
	if checkOnly {
		reportValid()
		return nil
	}
	log, err := shell.NewLogger()
	if err != nil {
		return err
	}
	return runApp(ctx, log, fx.Options(
		fx.Supply(settings),
		fx.StopTimeout(settings.Drain.Notice+2*settings.Drain.Timeout),
		node.Module(),
	))
}

func reportValid() { _, _ = os.Stdout.WriteString("settings are valid\n") }

// fxLogger makes fx log only warnings and errors.
func fxLogger(log *zap.Logger) fxevent.Logger {
	return &fxevent.ZapLogger{Logger: log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))}
}
