// Package daemon is the command line that all daemons share.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/settings"
)

// Runner is a daemon that serves until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Main runs the daemon that build returns and exits with its status.
func Main(name, usage string, build func(*settings.Settings) Runner) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd := &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Required: true, Usage: "settings file of this host"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := settings.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			return build(s).Run(ctx)
		},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}
