// Package ctl implements the commands of wisteriactl.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
)

// defaultAgent is the operators' address of an agent on the same machine.
const defaultAgent = "127.0.0.1:7402"

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	started := false
	cmd := root(stdout, stderr)
	for _, sub := range cmd.Commands {
		action := sub.Action
		sub.Action = func(ctx context.Context, c *cli.Command) error {
			started = true
			return action(ctx, c)
		}
	}
	err := cmd.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "wisteriactl:", err)
	if !started {
		return ExitUsage
	}
	return exitCode(err)
}

func root(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "wisteriactl",
		Usage:       "operate wisteriacrank",
		Description: exitHelp(),
		Writer:      stdout,
		ErrWriter:   stderr,
		// The default handler ends the process, also in tests.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "agent", Value: []string{defaultAgent}, Sources: cli.EnvVars("WISTERIA_AGENTS"),
				Usage: "operators' address of an agent; may be given several times, the next one is tried if one does not respond"},
			&cli.StringFlag{Name: "author", Value: "unknown", Sources: cli.EnvVars("WISTERIA_AUTHOR", "USER"),
				Usage: "name that is stored with a change"},
		},
		Commands: []*cli.Command{
			checkCommand(), diffCommand(), applyCommand(), promoteCommand(),
			drainCommand(), undrainCommand(), statusCommand(), explainCommand(),
		},
	}
}

// example formats the description of a command.
func example(text string) string { return "Example:\n   wisteriactl " + text }

// usageError is a fault of the command line that the cli library doesn't check.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

// oneArgument returns the only argument of a command.
func oneArgument(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageError{fmt.Sprintf("%s takes one argument, %s; got %d", cmd.Name, cmd.ArgsUsage, cmd.Args().Len())}
	}
	return cmd.Args().First(), nil
}

// asProblem returns the *operator.Problem that err wraps, if any.
func asProblem(err error) (*operator.Problem, bool) {
	var p *operator.Problem
	ok := errors.As(err, &p)
	return p, ok
}
