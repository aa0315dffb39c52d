package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"hickorybend/io/admin"
	"hickorybend/io/shell"
	"hickorybend/io/wire"
)

// tool holds the flags that all commands of hbctl share.
type tool struct {
	flags   *ff.FlagSet
	node    *string
	key     *string
	json    *bool
	cert    *string
	certKey *string
	ca      *string
}

const callTimeout = 20 * time.Second

func main() {
	flags := ff.NewFlagSet("hbctl")
	tool := &tool{
		flags:   flags,
		node:    flags.StringLong("node", "127.0.0.1:8181", "the control address of any node"),
		key:     flags.StringLong("key", "", "the operator's key; better given by the environment variable HBCTL_KEY"),
		json:    flags.BoolLong("json", "print JSON"),
		cert:    flags.StringLong("cert", "", "the operator's certificate file, where nodes use TLS"),
		certKey: flags.StringLong("cert-key", "", "the certificate's key file"),
		ca:      flags.StringLong("ca", "", "the file of the certificate authority that signs the nodes' certificates; turns TLS on"),
	}
	shell.Main(&ff.Command{
		Name: "hbctl", Usage: "hbctl [FLAGS] COMMAND ...", ShortHelp: "operate a deployment", Flags: flags,
		LongHelp: "Examples:\n  hbctl validate examples/ravenala.jsonc\n  hbctl apply --base 4 examples/ravenala.jsonc\n" +
			"  hbctl show > now.jsonc\n  hbctl replicas\n  hbctl drain --zone mu-north-a\n\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong usage or invalid configuration, 3 conflict, 4 unknown outcome.",
		Subcommands: []*ff.Command{
			tool.validate(), tool.apply(), tool.diff(), tool.show(), tool.history(),
			tool.status(), tool.replicas(), tool.endpoints(), tool.drain(), tool.explain(), tool.blocks(), tool.evacuations(),
		},
	}, "HBCTL")
}

func (tool *tool) client() (*admin.Client, error) {
	if *tool.ca == "" {
		return admin.NewClient(&http.Client{Timeout: callTimeout}, "http://"+*tool.node, *tool.key), nil
	}
	tlsconfig, err := wire.TLS(wire.CertFiles{Cert: *tool.cert, Key: *tool.certKey, CA: *tool.ca})
	if err != nil {
		return nil, err
	}
	return admin.NewClient(wire.HTTPClient(tlsconfig), "https://"+*tool.node, *tool.key), nil
}

// command returns a command that calls a node and has no flags of its own.
func (tool *tool) command(name, usage, help string, run func(ctx context.Context, client *admin.Client, args []string) error) *ff.Command {
	return &ff.Command{
		Name: name, Usage: "hbctl " + usage, ShortHelp: help,
		Flags: ff.NewFlagSet(name).SetParent(tool.flags),
		Exec:  tool.exec(run),
	}
}

// exec returns the Exec function of a command that calls a node by run.
func (tool *tool) exec(run func(ctx context.Context, client *admin.Client, args []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		client, err := tool.client()
		if err != nil {
			return err
		}
		return exitErrorOf(run(ctx, client, args))
	}
}

// exitErrorOf returns an error from a node with the message and exit code that the
// operator gets.
func exitErrorOf(err error) error {
	var connecterror *connect.Error
	if !errors.As(err, &connecterror) {
		return err
	}
	code := shell.CodeFailed
	switch connecterror.Code() {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeNotFound:
		code = shell.CodeUsage
	}
	return shell.ExitError{Code: code, Message: connecterror.Message()}
}

func readSpecFile(args []string) (string, []byte, error) {
	if len(args) != 1 {
		return "", nil, shell.ExitError{Code: shell.CodeUsage, Message: "this command takes one file"}
	}
	src, err := os.ReadFile(args[0])
	if err != nil {
		return "", nil, shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
	}
	return args[0], src, nil
}
