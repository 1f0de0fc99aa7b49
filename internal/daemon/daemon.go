// Package daemon implements the command line that all daemons share.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
)

// Exit codes of a daemon.
const (
	ExitOK = 0
	// ExitFailed means that the daemon could not serve.
	ExitFailed = 1
	// ExitSettings means that the command line or the settings have faults.
	ExitSettings = 2
)

// Runner is a daemon that serves until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Base holds the dependencies that every daemon gets.
type Base struct {
	Settings *settings.Settings
	Log      *events.Log
	Metrics  *metrics.Registry
}

// Program describes the binary of a daemon: its name, usage text and constructor.
type Program struct {
	Name, Usage string
	Build       func(Base) Runner
}

// Run runs the program until SIGTERM, SIGINT or SIGHUP, then exits the process with
// the exit code. Without a handler, SIGHUP would end the process with no drain.
func Run(p Program) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	code := p.Execute(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// Execute runs the command line and returns the exit code.
func (p Program) Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	code := ExitOK
	cmd := p.command(stdout, stderr, func(c int) { code = c })
	if err := cmd.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		if code == ExitOK {
			code = ExitSettings
		}
	}
	return code
}

func (p Program) command(stdout, stderr io.Writer, setCode func(int)) *cli.Command {
	return &cli.Command{
		Name:      p.Name,
		Usage:     p.Usage,
		Writer:    stdout,
		ErrWriter: stderr,
		// The default handler would exit the process, also in tests.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Required: true, Usage: "settings file of this host"},
			&cli.BoolFlag{Name: "check-config", Usage: "print the effective settings, or all faults, and exit"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "lowest level that is logged: " + strings.Join(events.Levels(), ", ")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return p.action(ctx, cmd, stdout, stderr, setCode)
		},
	}
}

func (p Program) action(ctx context.Context, cmd *cli.Command, stdout, stderr io.Writer, setCode func(int)) error {
	level, ok := events.ParseLevel(cmd.String("log-level"))
	if !ok {
		return fmt.Errorf("--log-level %q; accepted: %s", cmd.String("log-level"), strings.Join(events.Levels(), ", "))
	}
	s, err := settings.Load(cmd.String("config"))
	var faults inicheck.Faults
	if errors.As(err, &faults) {
		return fmt.Errorf("%d faults in the settings\n%w", len(faults), faults)
	}
	if err != nil {
		return err
	}
	if cmd.Bool("check-config") {
		return s.Write(stdout)
	}
	setCode(ExitFailed)
	log := events.New(stderr, level, time.Now)
	defer log.Flush()
	if err := p.serve(ctx, Base{Settings: s, Log: log, Metrics: metrics.New()}); err != nil {
		return err
	}
	setCode(ExitOK)
	return nil
}

func (p Program) serve(ctx context.Context, base Base) error {
	host := base.Settings.Host
	started := time.Now()
	base.Log.Emit(events.DaemonStarted, events.Host(host.ID), events.Region(host.Region), events.FailureDomain(host.FailureDomain))
	if err := p.Build(base).Run(ctx); err != nil {
		base.Log.Emit(events.DaemonFailed, events.Host(host.ID), events.Reason(err))
		return err
	}
	base.Log.Emit(events.DaemonStopped, events.Host(host.ID), events.Elapsed(time.Since(started)))
	return nil
}
