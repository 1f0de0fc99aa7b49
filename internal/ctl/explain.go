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
		Usage:       "explain a result code (100-599), a log event (from 1000) or one request by its log lines",
		ArgsUsage:   "CODE | --request ID [FILE...]",
		Description: example("explain 305") + "\n   wisteriactl explain 1305\n   wisteriactl explain --request 6e6febda48cfa645 west-1.log west-2.log",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "ID of a request; its lines are read from the files, or from standard input"},
		},
		Action: explain,
	}
}

func explain(_ context.Context, cmd *cli.Command) error {
	if id := cmd.String("request"); id != "" {
		return explainRequest(cmd, id)
	}
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
