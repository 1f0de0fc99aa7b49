// Package ctl has the commands of wisteriactl.
package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/dghubble/sling"
	"github.com/urfave/cli/v3"
)

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cmd := &cli.Command{
		Name:      "wisteriactl",
		Usage:     "operate wisteriacrank",
		Writer:    stdout,
		ErrWriter: stderr,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "agent", Value: "127.0.0.1:7402", Usage: "operator address of an agent"},
		},
		Commands: []*cli.Command{{
			Name:      "apply",
			Usage:     "put a document in force in trial",
			ArgsUsage: "FILE",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "if-version", Usage: "version that the document replaces"},
				&cli.StringFlag{Name: "environment", Value: "trial", Usage: "environment to write"},
			},
			Action: apply,
		}},
	}
	if err := cmd.Run(ctx, args); err != nil {
		fmt.Fprintln(stderr, "wisteriactl:", err)
		return 1
	}
	return 0
}

type putQuery struct {
	IfVersion uint64 `url:"if-version"`
}

func apply(ctx context.Context, cmd *cli.Command) error {
	text, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	req, err := sling.New().Base("http://" + cmd.String("agent")).
		Put("/v1/documents/" + cmd.String("environment")).
		QueryStruct(putQuery{IfVersion: cmd.Uint64("if-version")}).
		Body(strings.NewReader(string(text))).Request()
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("call agent: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("agent: %s", strings.TrimSpace(string(body)))
	}
	fmt.Fprintf(cmd.Root().Writer, "accepted: %s", body)
	return nil
}
