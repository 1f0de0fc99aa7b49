package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check a document without an agent and list all its faults",
		ArgsUsage:   "FILE",
		Description: example("check examples/demo/document.ini"),
		Action:      check,
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	file, err := oneArgument(cmd)
	if err != nil {
		return err
	}
	_, doc, err := readFile(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "valid: %d regions, %d ranks, %d services, %d servers, %d blocks\n",
		len(doc.Regions), len(doc.Ranks), len(doc.Services), len(doc.Servers), len(doc.Blocks))
	return nil
}

// readFile reads and checks a document. It returns its text and the parsed
// document.
func readFile(file string) (string, *document.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, fmt.Errorf("read document: %w", err)
	}
	doc, faults := document.Check(file, string(text))
	if len(faults) > 0 {
		return "", nil, fmt.Errorf("%d faults\n%w", len(faults), inicheck.Faults(faults))
	}
	return string(text), doc, nil
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "list what a document, or another environment, would change",
		ArgsUsage:   "[FILE]",
		Description: example("diff document.ini") + "\n   wisteriactl diff --from trial --environment production",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "environment", Value: operator.Trial, Usage: "environment that would change"},
			&cli.StringFlag{Name: "from", Usage: "environment to compare with instead of a file"},
		},
		Action: diff,
	}
}

func diff(ctx context.Context, cmd *cli.Command) error {
	c := newClient(cmd)
	var text string
	if from := cmd.String("from"); from != "" {
		source, err := c.document(ctx, from)
		if err != nil {
			return err
		}
		text = source.Text
	} else {
		file, err := oneArgument(cmd)
		if err != nil {
			return err
		}
		if text, _, err = readFile(file); err != nil {
			return err
		}
	}
	current, err := c.documentOrNone(ctx, cmd.String("environment"))
	if err != nil {
		return err
	}
	printDiff(cmd.Root().Writer, current, text)
	return nil
}

// printDiff prints the changes that text would make in an environment. If this
// release refuses the stored document, everything in text counts as added.
func printDiff(w io.Writer, current operator.Document, text string) {
	fmt.Fprintf(w, "%s, version %d:\n", current.Environment, current.Version)
	if current.Text == text {
		fmt.Fprintln(w, "  no change")
		return
	}
	before, _ := document.Check("", current.Text)
	after, _ := document.Check("", text)
	changes := document.Diff(before, after)
	if len(changes) == 0 {
		fmt.Fprintln(w, "  only comments, spelling or the order of sections")
	}
	for _, change := range changes {
		fmt.Fprintln(w, " ", change)
	}
}
