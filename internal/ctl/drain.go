package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "give backend servers no new work, by an edit of the document",
		ArgsUsage:   "SERVER...",
		Description: example("drain booking-desk-3 booking-desk-4"),
		Flags:       []cli.Flag{environmentFlag()},
		Action:      func(ctx context.Context, cmd *cli.Command) error { return editDrain(ctx, cmd, true) },
	}
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name:        "undrain",
		Usage:       "give drained backend servers work again",
		ArgsUsage:   "SERVER...",
		Description: example("undrain booking-desk-3"),
		Flags:       []cli.Flag{environmentFlag()},
		Action:      func(ctx context.Context, cmd *cli.Command) error { return editDrain(ctx, cmd, false) },
	}
}

func editDrain(ctx context.Context, cmd *cli.Command, drain bool) error {
	if !cmd.Args().Present() {
		return usageError{cmd.Name + " needs the name of at least one backend server"}
	}
	c := newClient(cmd)
	current, err := c.document(ctx, cmd.String("environment"))
	if err != nil {
		return err
	}
	text := current.Text
	for _, server := range cmd.Args().Slice() {
		if text, err = setDrain(text, server, drain); err != nil {
			return err
		}
	}
	if _, faults := document.Check(current.Environment, text); len(faults) > 0 {
		return inicheck.Faults(faults)
	}
	return c.replace(ctx, cmd, current, current.Version, text)
}
