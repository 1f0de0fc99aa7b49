// Package lookup implements the daemon that returns the entry hosts that a caller
// should use. It builds tables with package steering from the state that the agent
// of its host sends, and answers queries over HTTP from the newest table.
package lookup

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/listen"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// rebuildInterval is how often the table is checked for changes that depend on
// time alone: moves of blocks, ramps of weights, and the decay of measured
// region orders.
const rebuildInterval = time.Second

// Daemon is the lookup daemon.
type Daemon struct {
	settings    *settings.Settings
	log         *events.Log
	metrics     *metrics.Registry
	incarnation model.Incarnation
	watcher     *localstate.Watcher
	tables      *tableCache
}

// New returns a lookup daemon for the host of the settings.
func New(base daemon.Base) *Daemon {
	s := base.Settings
	incarnation := model.NewIncarnation(time.Now())
	client := wire.NewClient(wire.Identity{
		Environment: s.Host.Environment,
		Role:        wirepb.Role_ROLE_LOOKUP,
		Host:        s.Host.ID,
		Incarnation: incarnation,
	}, s.Limits.MaxFrameBytes)
	d := &Daemon{
		settings:    s,
		log:         base.Log,
		metrics:     base.Metrics,
		incarnation: incarnation,
		watcher:     localstate.NewWatcher(client, s.Listen.Agent),
		tables:      newTableCache(),
	}
	d.tables.weights = effectiveWeights
	if d.metrics != nil {
		d.metrics.Gauge("lookup", func() any { return json.RawMessage(counters.String()) })
	}
	d.watcher.OnChange = func(view *localstate.View) { d.tables.apply(view, time.Now()) }
	d.watcher.OnError = func(err error) {
		d.log.Emit(events.AgentLost, events.Address(s.Listen.Agent), events.Reason(err))
	}
	return d
}

// Run serves until ctx ends, then completes the queries that have begun to
// arrive.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.settings.Listen.Lookup)
	if err != nil {
		return fmt.Errorf("listen for lookups: %w", err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { d.watcher.Run(ctx); return nil })
	group.Go(func() error { d.watcher.Report(ctx, d.report); return nil })
	group.Go(func() error { d.refreshTables(ctx); return nil })
	group.Go(func() error { return metrics.Serve(ctx, d.settings.Listen.LookupMetrics, d.metrics) })
	group.Go(func() error {
		return serve(ctx, listen.Limit(listener, d.settings.Limits.MaxConnections, countDropped), d.tables.current.Load)
	})
	return group.Wait()
}

func (d *Daemon) report() *wirepb.ReportLocal {
	return &wirepb.ReportLocal{LookupAddress: d.settings.Listen.Lookup, Incarnation: uint64(d.incarnation)}
}

func (d *Daemon) refreshTables(ctx context.Context) {
	ticker := time.NewTicker(rebuildInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tables.refresh(time.Now())
		}
	}
}
