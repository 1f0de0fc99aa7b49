package ctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "explain a result code (100-599) or a log event (from 1000)",
		ArgsUsage:   "CODE",
		Description: example("explain 305") + "\n   wisteriactl explain 1305",
		Action:      explain,
	}
}

func explain(_ context.Context, cmd *cli.Command) error {
	argument, err := oneArgument(cmd)
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(argument, 10, 32)
	if err != nil {
		return usageError{fmt.Sprintf("code %q; accepted: a number", argument)}
	}
	w := cmd.Root().Writer
	if info, ok := result.Code(number).Info(); ok {
		resend := "A resend with the same request ID is safe."
		if !info.ResendSafe {
			resend = "Do not resend with the same request ID."
		}
		fmt.Fprintf(w, "%d %s (%s, HTTP %d)\n%s\n%s\nWhat to do: %s\n", number, info.Name, info.Code.Class(), info.HTTPStatus, info.Meaning, resend, info.Action)
		return nil
	}
	for _, info := range events.All() {
		if info.ID == events.ID(number) {
			fmt.Fprintf(w, "%d %s (log event, %s)\n%s\n", number, info.Name, info.Level, info.Meaning)
			return nil
		}
	}
	return &operator.Problem{Code: result.NotFound, Detail: fmt.Sprintf("there is no code %d", number)}
}
