package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
)

func environmentFlag() cli.Flag {
	return &cli.StringFlag{Name: "environment", Value: operator.Trial, Usage: "environment to change; production changes by promote only"}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "put a document in force in trial",
		ArgsUsage:   "FILE",
		Description: example("apply document.ini") + "\n   wisteriactl apply --if-version 7 document.ini",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "if-version", Usage: "version that the document replaces; the one just read if not given"},
			environmentFlag(),
		},
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	file, err := oneArgument(cmd)
	if err != nil {
		return err
	}
	text, _, err := readFile(file)
	if err != nil {
		return err
	}
	c := newClient(cmd)
	current, err := c.documentOrNone(ctx, cmd.String("environment"))
	if err != nil {
		return err
	}
	base := current.Version
	if cmd.IsSet("if-version") {
		base = cmd.Uint64("if-version")
	}
	return c.replace(ctx, cmd, current, base, text)
}

// replace prints the changes of an environment and writes text as its document
// if the environment has the version base.
func (c client) replace(ctx context.Context, cmd *cli.Command, current operator.Document, base uint64, text string) error {
	w := cmd.Root().Writer
	printDiff(w, current, text)
	if current.Text == text {
		return nil
	}
	accepted, err := c.put(ctx, current.Environment, text, changeQuery{
		IfVersion: base,
		WriteID:   rand.Text(),
		Author:    cmd.String("author"),
	})
	if err != nil {
		return err
	}
	printAccepted(w, accepted)
	return nil
}

func printAccepted(w io.Writer, a operator.Accepted) {
	note := ""
	if a.ReadBack {
		note = " (the response to the write was lost; it was found by reading back)"
	}
	fmt.Fprintf(w, "accepted: %s, version %d%s\n", a.Environment, a.Version, note)
}

func promoteCommand() *cli.Command {
	return &cli.Command{
		Name:        "promote",
		Usage:       "put the document that trial runs in force in production",
		Description: example("promote --version 7"),
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "version", Usage: "version of the source that was tested; the one just read if not given"},
			&cli.Uint64Flag{Name: "if-version", Usage: "version of the target that is replaced; the one just read if not given"},
			&cli.StringFlag{Name: "from", Value: operator.Trial, Usage: "source environment"},
			&cli.StringFlag{Name: "to", Value: operator.Production, Usage: "target environment"},
		},
		Action: promote,
	}
}

func promote(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError{"promote takes no argument; it copies the document that trial runs"}
	}
	c := newClient(cmd)
	source, err := c.document(ctx, cmd.String("from"))
	if err != nil {
		return err
	}
	target, err := c.documentOrNone(ctx, cmd.String("to"))
	if err != nil {
		return err
	}
	printDiff(cmd.Root().Writer, target, source.Text)
	if cmd.IsSet("version") {
		source.Version = cmd.Uint64("version")
	}
	if cmd.IsSet("if-version") {
		target.Version = cmd.Uint64("if-version")
	}
	accepted, err := c.promote(ctx, changeQuery{
		IfVersion:   target.Version,
		WriteID:     rand.Text(),
		Author:      cmd.String("author"),
		From:        source.Environment,
		To:          target.Environment,
		FromVersion: source.Version,
	})
	if err != nil {
		return err
	}
	printAccepted(cmd.Root().Writer, accepted)
	return nil
}
