package host

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// settingsVariable is the environment variable that names the settings file
	// if the command line does not.
	settingsVariable = "WISTERIACRANK_CONFIG"
	// memoryLimitShare is the share of the memory setting that is set as the
	// runtime's soft limit. Below 1, garbage is collected before the process is
	// killed for exceeding its memory.
	memoryLimitShare = 0.7
	// gcPercent is lower than the runtime's default of 100, because peak memory
	// is scarcer than the processor time of collections.
	gcPercent = 50
)

const (
	// logBuffer is the number of log lines that are buffered for standard
	// output: about 250 KB.
	logBuffer = 1024
	// logCloseTimeout bounds the wait for standard output at shutdown.
	logCloseTimeout = 200 * time.Millisecond
	// droppedReportInterval is the interval between reports of dropped log lines.
	droppedReportInterval = 5 * time.Second
)

func closeLog(output *events.Buffered) {
	ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
	defer cancel()
	output.Close(ctx.Done())
}

// reportDropped logs the number of lines that were dropped because standard
// output was too slow.
func reportDropped(ctx context.Context, log *events.Log, output *events.Buffered, counts *metrics.Registry) {
	tick := time.NewTicker(droppedReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if n := output.Dropped(); n > 0 {
				counts.Add("log_lines_dropped", int64(n))
				log.Emit(events.LinesDropped, events.Count(n))
			}
		}
	}
}

// Program describes the binary of a host on one platform.
type Program struct {
	Name     string
	Bounds   BoundsReader
	Protocol Protocol
	Store    func(address string) Store
	Decoder  func(regionOf map[string]string) inventory.Decoder
}

// Main runs the program until a stop signal, then exits the process.
func Main(p Program) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	// Without a handler, SIGHUP would end the process.
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	code := daemon.ExitOK
	if err := p.command(&code, hangUp).Run(ctx, os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		if code == daemon.ExitOK {
			code = daemon.ExitSettings
		}
	}
	stop()
	os.Exit(code)
}

func (p Program) command(code *int, hangUp <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:           p.Name,
		Usage:          "answers lookups and forwards callers' requests to backend servers",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Sources: cli.EnvVars(settingsVariable), Required: true, Usage: "settings file of this host"},
			&cli.BoolFlag{Name: "check-config", Usage: "print the effective settings, or all faults, and exit"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "lowest level that is logged: " + strings.Join(events.Levels(), ", ")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return p.run(ctx, cmd, code, hangUp) },
	}
}

func (p Program) run(ctx context.Context, cmd *cli.Command, code *int, hangUp <-chan os.Signal) error {
	level, ok := events.ParseLevel(cmd.String("log-level"))
	if !ok {
		return fmt.Errorf("--log-level %q; accepted: %s", cmd.String("log-level"), strings.Join(events.Levels(), ", "))
	}
	path := cmd.String("config")
	load := func() (*Settings, error) { return LoadSettings(path, p.Bounds) }
	s, err := load()
	var faults inicheck.Faults
	if errors.As(err, &faults) {
		return fmt.Errorf("%d faults in the settings\n%w", len(faults), faults)
	}
	if err != nil {
		return err
	}
	if cmd.Bool("check-config") {
		fmt.Fprintf(cmd.Root().Writer, "%+v\n", *s)
		return nil
	}
	*code = daemon.ExitFailed
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryLimitShare))
	output := events.NewBuffered(os.Stdout, logBuffer)
	defer closeLog(output)
	log := events.New(output, level, time.Now)
	defer log.Flush()
	log.Emit(events.DaemonStarted, events.Host(model.HostID(s.ID)), events.Region(model.Region(s.Region)), events.FailureDomain(model.FailureDomain(s.Domain)))
	registry := metrics.New()
	h := New(Base{Settings: s, Protocol: p.Protocol, Store: p.Store(s.StoreAddress), Decoder: p.Decoder(s.RegionOf), Log: log, Metrics: registry})
	go reportDropped(ctx, log, output, registry)
	go h.followSettings(ctx, path, load, hangUp)
	if err := h.Run(ctx); err != nil {
		log.Emit(events.DaemonFailed, events.Host(model.HostID(s.ID)), events.Reason(err))
		return err
	}
	log.Emit(events.DaemonStopped, events.Host(model.HostID(s.ID)), events.Elapsed(time.Since(h.started)))
	*code = daemon.ExitOK
	return nil
}
