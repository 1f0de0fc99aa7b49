package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// stopGrace is added to the cache time of look-up answers before a stopping
// host refuses requests.
const stopGrace = 2 * time.Second

// Daemon is the entry daemon.
type Daemon struct {
	settings    *settings.Settings
	incarnation model.Incarnation
	peers       *wire.Client
	watcher     *localstate.Watcher
	dispatcher  *dispatcher
	requests    *requestState
	state       atomic.Int32 // model.HostState
	running     sync.WaitGroup
}

// New returns an entry daemon for the host of the settings.
func New(s *settings.Settings) *Daemon {
	// net/http logs the first bytes of an unsolicited answer, which may hold a
	// body. It uses the standard logger, which nothing else here does.
	log.SetOutput(io.Discard)
	incarnation := model.NewIncarnation(time.Now())
	identity := wire.Identity{
		Environment: s.Host.Environment,
		Role:        wirepb.Role_ROLE_ENTRY,
		Host:        s.Host.ID,
		Incarnation: incarnation,
	}
	d := &Daemon{
		settings:    s,
		incarnation: incarnation,
		peers:       wire.NewClient(identity, s.Limits.MaxFrameBytes),
		dispatcher:  newDispatcher(s.Host.ID, s.Host.Region),
		requests:    newRequestState(),
	}
	d.state.Store(int32(model.HostStarting))
	d.watcher = localstate.NewWatcher(d.peers, s.Listen.Agent)
	d.watcher.OnChange = d.onView
	return d
}

// onView puts a new view in force.
func (d *Daemon) onView(view *localstate.View) {
	d.dispatcher.update(view)
	if view.Document != nil {
		d.state.CompareAndSwap(int32(model.HostStarting), int32(model.HostReady))
	}
}

func (d *Daemon) report() *wirepb.ReportLocal {
	report := &wirepb.ReportLocal{
		CallerAddress: d.settings.Listen.Callers,
		PeerAddress:   d.settings.Listen.Peers,
		State:         wirepb.HostState(d.state.Load()),
		Incarnation:   uint64(d.incarnation),
	}
	if view := d.watcher.Current(); view != nil {
		report.Generation = uint64(view.Generation)
	}
	return report
}

// Run serves until ctx ends, then shuts down gracefully: look-ups stop naming
// this host first, and accepted requests complete.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	group, serveCtx := errgroup.WithContext(serveCtx)
	identity := wire.Identity{
		Environment: d.settings.Host.Environment,
		Role:        wirepb.Role_ROLE_ENTRY,
		Host:        d.settings.Host.ID,
		Incarnation: d.incarnation,
	}
	server := &http.Server{
		Handler:           d.callerHandler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
	group.Go(func() error {
		return wire.NewServer(identity, d, d.settings.Limits.MaxFrameBytes, nil).Serve(serveCtx, peers)
	})
	group.Go(func() error {
		if err := server.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve callers: %w", err)
		}
		return nil
	})
	group.Go(func() error { d.watcher.Run(serveCtx); return nil })
	group.Go(func() error { d.watcher.Report(serveCtx, d.report); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			d.shutdown(server)
		case <-serveCtx.Done():
			_ = server.Close()
		}
		stopServing()
		return nil
	})
	return group.Wait()
}

func (d *Daemon) shutdown(server *http.Server) {
	d.state.Store(int32(model.HostStopping))
	d.watcher.ReportNow(context.Background(), d.report())
	if view := d.watcher.Current(); view != nil && view.Document != nil {
		time.Sleep(view.Document.Environment.CacheTime + stopGrace)
	}
	_ = server.Shutdown(context.Background())
	d.running.Wait()
	d.state.Store(int32(model.HostLeft))
	d.watcher.ReportNow(context.Background(), d.report())
}
