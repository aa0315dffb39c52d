package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"hickorybend/core/intent"
	"hickorybend/io/admin"
	"hickorybend/io/shell"
)

func (tool *tool) validate() *ff.Command {
	return &ff.Command{
		Name: "validate", Usage: "hbctl validate FILE", ShortHelp: "check a configuration file without contacting a node",
		Flags: ff.NewFlagSet("validate").SetParent(tool.flags),
		Exec: func(_ context.Context, args []string) error {
			file, src, err := readSpecFile(args)
			if err != nil {
				return err
			}
			if _, err := intent.Parse(file, src); err != nil {
				return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
			}
			fmt.Printf("%s is valid\n", file)
			return nil
		},
	}
}

func (tool *tool) apply() *ff.Command {
	flags := ff.NewFlagSet("apply").SetParent(tool.flags)
	base := flags.Uint64Long("base", 0, "the version that the change is based on; 0 for the first configuration")
	return &ff.Command{
		Name: "apply", Usage: "hbctl apply [--base VERSION] FILE", ShortHelp: "put a configuration in force", Flags: flags,
		LongHelp: "Sections that only others changed since the base version stay as they are. A section that both changed is\n" +
			"a conflict: nothing takes effect, and the text in force is shown (exit code 3).",
		Exec: tool.exec(func(ctx context.Context, client *admin.Client, args []string) error {
			file, src, err := readSpecFile(args)
			if err != nil {
				return err
			}
			applyresult, err := client.Apply(ctx, file, src, int64(*base))
			if err != nil {
				return err
			}
			return tool.printApplyResult(applyresult)
		}),
	}
}

func (tool *tool) printApplyResult(applyresult admin.ApplyResult) error {
	if *tool.json {
		printJSON(applyresult)
	}
	switch {
	case applyresult.Unknown:
		return shell.ExitError{Code: shell.CodeUnknownOutcome, Message: fmt.Sprintf("the outcome is unknown; check whether 'hbctl history' lists version %d", applyresult.Head)}
	case len(applyresult.Conflicts) > 0:
		return shell.ExitError{Code: shell.CodeConflict, Message: conflictText(applyresult)}
	case len(applyresult.NoticeUnacknowledged) > 0:
		return shell.ExitError{Code: shell.CodeFailed, Message: fmt.Sprintf(
			"not accepted: %s did not acknowledge the notice that precedes a change. Try again; the row of a failed node expires within half a minute", strings.Join(applyresult.NoticeUnacknowledged, ", "))}
	case *tool.json:
		return nil
	case applyresult.Unchanged:
		fmt.Printf("nothing to change; version %d is in force\n", applyresult.Head)
		return nil
	}
	fmt.Printf("accepted as version %d: %s\n", applyresult.Head, strings.Join(applyresult.Sections, ", "))
	fmt.Printf("acknowledged by %d nodes", len(applyresult.Acknowledged))
	if len(applyresult.Unacknowledged) > 0 {
		fmt.Printf("; not by %s (they read it from the store or stop accepting new requests within seconds)", strings.Join(applyresult.Unacknowledged, ", "))
	}
	fmt.Println()
	return nil
}

func conflictText(applyresult admin.ApplyResult) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "conflict: version %d is in force and has other changes in the sections that this file changes\n", applyresult.Head)
	for _, conflict := range applyresult.Conflicts {
		_, _ = fmt.Fprintf(&text, "%s\n  base:     %s\n  in force: %s\n  proposed: %s\n", conflict.Name, conflict.Base, conflict.Current, conflict.Proposed)
	}
	return text.String()
}

func (tool *tool) diff() *ff.Command {
	return tool.command("diff", "diff FILE", "compare a file with the configuration in force",
		func(ctx context.Context, client *admin.Client, args []string) error {
			file, src, err := readSpecFile(args)
			if err != nil {
				return err
			}
			requested, err := intent.Parse(file, src)
			if err != nil {
				return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
			}
			configsnapshot, err := client.Show(ctx, 0)
			if err != nil {
				return err
			}
			current, err := intent.Parse("in force", []byte(configsnapshot.Text))
			if err != nil {
				return err
			}
			changes := intent.Diff(current.Sections(), requested.Sections())
			fmt.Printf("compared with version %d: %d sections differ\n", configsnapshot.Head, len(changes))
			for _, change := range changes {
				fmt.Printf("%s\n  - %s\n  + %s\n", change.Name, change.Before, change.After)
			}
			return nil
		})
}

func (tool *tool) show() *ff.Command {
	flags := ff.NewFlagSet("show").SetParent(tool.flags)
	version := flags.Uint64Long("version", 0, "print the configuration as of this version; 0 for the current one")
	return &ff.Command{
		Name: "show", Usage: "hbctl show [--version N]", ShortHelp: "print the configuration in force", Flags: flags,
		Exec: tool.exec(func(ctx context.Context, client *admin.Client, _ []string) error {
			configsnapshot, err := client.Show(ctx, int64(*version))
			if err != nil {
				return err
			}
			if *tool.json {
				printJSON(configsnapshot)
				return nil
			}
			fmt.Printf("// version %d\n%s", configsnapshot.Head, configsnapshot.Text)
			return nil
		}),
	}
}

func (tool *tool) history() *ff.Command {
	return tool.command("history", "history", "list every accepted change",
		func(ctx context.Context, client *admin.Client, _ []string) error {
			changes, err := client.History(ctx)
			if err != nil {
				return err
			}
			if *tool.json {
				printJSON(changes)
				return nil
			}
			table := newTable("VERSION", "AT", "OPERATOR", "SECTIONS")
			for _, change := range changes {
				table.row(change.Version, change.At.Format(time.RFC3339), change.Operator, strings.Join(change.Sections, ", "))
			}
			return table.print()
		})
}
