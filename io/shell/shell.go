package shell

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// The exit codes of every command.
const (
	CodeOK             = 0
	CodeFailed         = 1
	CodeUsage          = 2
	CodeConflict       = 3
	CodeUnknownOutcome = 4
)

// ExitError is an error that asks for an exit code of its own.
type ExitError struct {
	Code    int
	Message string
}

// Error gives the message.
func (exiterror ExitError) Error() string { return exiterror.Message }

// Main parses the arguments and the environment, runs the command and exits.
func Main(command *ff.Command, environment string) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(Run(ctx, command, os.Args[1:], environment))
}

// Run runs a command and gives its exit code.
func Run(ctx context.Context, command *ff.Command, args []string, environment string) int {
	err := command.Parse(args, ff.WithEnvVarPrefix(environment))
	if errors.Is(err, ff.ErrHelp) {
		_, _ = fmt.Fprintln(os.Stdout, ffhelp.Command(command))
		return CodeOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\nRun '%s --help' for what it takes.\n", command.Name, err, command.Name)
		return CodeUsage
	}
	return codeOf(command, command.Run(ctx))
}

func codeOf(command *ff.Command, err error) int {
	var exiterror ExitError
	switch {
	case err == nil:
		return CodeOK
	case errors.Is(err, ff.ErrNoExec):
		_, _ = fmt.Fprintln(os.Stderr, ffhelp.Command(command))
		return CodeUsage
	case errors.As(err, &exiterror):
		_, _ = fmt.Fprintln(os.Stderr, exiterror.Message)
		return exiterror.Code
	default:
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
		return CodeFailed
	}
}

// NewLogger makes a log of JSON lines on standard error.
func NewLogger() (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.Sampling = nil
	log, err := config.Build()
	return log, errors.Wrap(err, "shell: making the log")
}

// NewLoggerTo makes a log of JSON lines on a sink that takes each line whole.
func NewLoggerTo(sink zapcore.WriteSyncer) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, zap.InfoLevel))
}
