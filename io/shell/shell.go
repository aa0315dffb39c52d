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

// Exit codes of all commands.
const (
	CodeOK             = 0
	CodeFailed         = 1
	CodeUsage          = 2
	CodeConflict       = 3
	CodeUnknownOutcome = 4
)

// ExitError is an error with its own exit code. Its message is printed without the
// command's name.
type ExitError struct {
	Code    int
	Message string
}

// Error returns the message.
func (exiterror ExitError) Error() string { return exiterror.Message }

// Main runs a command with the process's arguments and exits. SIGINT and SIGTERM
// cancel its context. envPrefix is the prefix of the environment variables that set
// its flags.
func Main(command *ff.Command, envPrefix string) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(Run(ctx, command, os.Args[1:], envPrefix))
}

// Run parses the arguments and the environment, runs the command and returns its
// exit code.
func Run(ctx context.Context, command *ff.Command, args []string, envPrefix string) int {
	err := command.Parse(args, ff.WithEnvVarPrefix(envPrefix))
	if errors.Is(err, ff.ErrHelp) {
		_, _ = fmt.Fprintln(os.Stdout, ffhelp.Command(command))
		return CodeOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\nRun '%s --help' for usage.\n", command.Name, err, command.Name)
		return CodeUsage
	}
	return exitCode(command, command.Run(ctx))
}

// exitCode prints a command's error and returns the exit code.
func exitCode(command *ff.Command, err error) int {
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

// NewLogger creates a logger that writes JSON lines to standard error.
func NewLogger() (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.Sampling = nil
	log, err := config.Build()
	return log, errors.Wrap(err, "shell: creating the logger")
}

// NewLoggerTo creates a logger that writes JSON lines to a sink, with one call of
// Write for each line. Durations are logged in milliseconds.
func NewLoggerTo(sink zapcore.WriteSyncer) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, zap.InfoLevel))
}
