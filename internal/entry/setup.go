package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const (
	// stopGrace is added to the cache time of lookup responses before a stopping
	// host refuses requests. It covers the time until every lookup host has its
	// new state.
	stopGrace = 4 * time.Second

	tickInterval        = 100 * time.Millisecond
	grantReturnInterval = time.Second
	// sessionIdleTimeout is how long a session to another entry host stays open
	// without calls. The keepalives of a session use 256 bytes/s.
	sessionIdleTimeout = 30 * time.Second
	// closeTimeout bounds the wait for callers that do not read their responses.
	closeTimeout = 5 * time.Second
)

// Daemon is the entry daemon.
type Daemon struct {
	settings    *settings.Settings
	log         *events.Log
	metrics     *metrics.Registry
	identity    wire.Identity
	incarnation model.Incarnation
	peers       *wire.Client
	watcher     *localstate.Watcher
	dispatcher  *dispatcher
	remote      *remoteGrants
	links       *linkLimiter
	balancer    *balancer
	lifecycle   *lifecycle
	requests    *requestState
}

// New returns an entry daemon for the host of the settings.
func New(base daemon.Base) *Daemon {
	// net/http logs the first bytes of an unsolicited response, which may contain
	// a body, to the standard logger. Nothing else in the daemon uses that logger.
	log.SetOutput(io.Discard)
	s := base.Settings
	incarnation := model.NewIncarnation(time.Now())
	identity := wire.Identity{
		Environment: s.Host.Environment,
		Role:        wirepb.Role_ROLE_ENTRY,
		Host:        s.Host.ID,
		Incarnation: incarnation,
	}
	peers := wire.NewClient(identity, s.Limits.MaxFrameBytes)
	peers.IdleTimeout = sessionIdleTimeout
	d := &Daemon{
		settings:    s,
		log:         base.Log,
		metrics:     base.Metrics,
		identity:    identity,
		incarnation: incarnation,
		peers:       peers,
		watcher:     localstate.NewWatcher(peers, s.Listen.Agent),
		dispatcher:  newDispatcher(s.Host.ID, s.Host.Region, incarnation, newWaitLimit(s.Limits.MaxQueue), base.Log, base.Metrics),
		remote:      newRemoteGrants(s.Host.Region, peers, int64(incarnation)),
		links:       newLinkLimiter(s.Host.Region, s.Limits.MaxBodyBytes),
		balancer:    newBalancer(int64(incarnation)),
		lifecycle:   newLifecycle(),
		requests:    newRequestState(),
	}
	d.watcher.OnChange = d.applyView
	d.watcher.OnError = func(err error) {
		d.log.Emit(events.AgentLost, events.Address(s.Listen.Agent), events.Reason(err))
	}
	// A slow agent must not delay the view that caused the announcement.
	d.lifecycle.onAnnounce = func() { go d.watcher.ReportNow(context.Background(), d.report()) }
	return d
}

// applyView applies a new view.
func (d *Daemon) applyView(view *localstate.View) {
	if view.Document == nil {
		return
	}
	d.dispatcher.update(view)
	d.links.update(view)
	d.balancer.retain(view.Hosts)
	d.lifecycle.configured(view.Document.Environment.CacheTime)
}

func (d *Daemon) report() *wirepb.ReportLocal {
	report := &wirepb.ReportLocal{
		CallerAddress: d.settings.Listen.Callers,
		PeerAddress:   d.settings.Listen.Peers,
		State:         wirepb.HostState(d.lifecycle.state()),
		Incarnation:   uint64(d.incarnation),
		StatusJson:    d.dispatcher.statusJSON(time.Now()),
	}
	if view := d.watcher.Current(); view != nil {
		report.Generation = uint64(view.Generation)
	}
	return report
}

// Run serves until ctx ends, then shuts down gracefully: lookup responses stop
// naming this host first, and accepted requests complete.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	server := d.newCallerServer(callers)
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error {
		return wire.NewServer(d.identity, d, d.settings.Limits.MaxFrameBytes, d).Serve(serveCtx, peers)
	})
	group.Go(server.serve)
	group.Go(func() error { return metrics.Serve(serveCtx, d.settings.Listen.EntryMetrics, d.metrics) })
	group.Go(func() error { d.watcher.Run(serveCtx); return nil })
	group.Go(func() error { d.watcher.Report(serveCtx, d.report); return nil })
	group.Go(func() error { runEvery(serveCtx, tickInterval, d.tick); return nil })
	group.Go(func() error {
		runEvery(serveCtx, grantReturnInterval, func(time.Time) { d.remote.returnUnused(serveCtx) })
		return nil
	})
	group.Go(func() error {
		defer stopServing()
		return d.awaitShutdown(ctx, serveCtx, server)
	})
	return group.Wait()
}

// InvalidInput implements wire.Counters.
func (d *Daemon) InvalidInput(code result.Code) {
	d.metrics.Add(fmt.Sprintf("invalid_input_%d", code), 1)
}

// connectionDropped counts and logs a caller's connection over the limit.
func (d *Daemon) connectionDropped() {
	d.metrics.Add("connections_over_limit", 1)
	d.log.Emit(events.ConnectionsFull, events.Count(d.settings.Limits.MaxConnections))
}

func (d *Daemon) tick(now time.Time) {
	d.dispatcher.tick(now)
	d.lifecycle.tick()
}

// awaitShutdown performs the graceful shutdown when ctx ends.
func (d *Daemon) awaitShutdown(ctx, serveCtx context.Context, server *callerServer) error {
	select {
	case <-serveCtx.Done():
		server.close()
		return nil
	case <-ctx.Done():
	}
	d.log.Emit(events.DaemonStopping, events.Host(d.settings.Host.ID))
	d.lifecycle.stop()
	select {
	case <-serveCtx.Done():
	case <-d.lifecycle.exited:
	}
	defer server.close()
	if !server.drain(closeTimeout) {
		return errors.New("callers' connections are still open")
	}
	return nil
}

// runEvery calls f once per interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
