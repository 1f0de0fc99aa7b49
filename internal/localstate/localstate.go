// Package localstate keeps a daemon's view of the state that the agent of its
// host sends.
package localstate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// View is the agent's state at one time. It is immutable.
type View struct {
	Generation model.Generation
	Document   *document.Document
	Meta       *wirepb.ConfigMeta
	Hosts      []model.HostRecord
	// Leaving are the backend servers that the host list marks as leaving.
	Leaving   map[model.ServerID]bool
	Latencies []*wirepb.RegionLatency
	// Received is the local time at which the view arrived.
	Received time.Time

	derived sync.Map
}

// Derived returns the value of compute, which must depend on nothing but the
// view, and caches it under the key. Requests need such values far more often
// than views change.
func (v *View) Derived(key any, compute func() any) any {
	if value, ok := v.derived.Load(key); ok {
		return value
	}
	value, _ := v.derived.LoadOrStore(key, compute())
	return value
}

type hostIndexKey struct{}

// Host returns the record of a host.
func (v *View) Host(id model.HostID) (model.HostRecord, bool) {
	index := v.Derived(hostIndexKey{}, func() any {
		byID := make(map[model.HostID]model.HostRecord, len(v.Hosts))
		for _, h := range v.Hosts {
			byID[h.Host] = h
		}
		return byID
	}).(map[model.HostID]model.HostRecord)
	h, ok := index[id]
	return h, ok
}

const (
	watchRetryDelay = 200 * time.Millisecond
	reportInterval  = 500 * time.Millisecond
	reportTimeout   = 2 * time.Second
)

// Watcher follows the agent. Its methods are safe for concurrent use.
type Watcher struct {
	client       *wire.Client
	agentAddress string
	current      atomic.Pointer[View]
	// OnChange is called for each new view, one at a time, from Run. Set it
	// before Run.
	OnChange func(*View)
	// OnError is called when a state cannot be applied or the agent is not
	// reachable.
	OnError func(error)
}

// NewWatcher returns a watcher of the agent at the address.
func NewWatcher(client *wire.Client, agentAddress string) *Watcher {
	return &Watcher{client: client, agentAddress: agentAddress}
}

// Current returns the latest view, or nil before the first one.
func (w *Watcher) Current() *View { return w.current.Load() }

// Run follows the agent until ctx ends. The last view stays current while the
// agent is not reachable.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.watch(ctx); err != nil && ctx.Err() == nil && w.OnError != nil {
			w.OnError(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

func (w *Watcher) watch(ctx context.Context) error {
	request := &wirepb.Envelope{Body: &wirepb.Envelope_WatchState{WatchState: &wirepb.WatchState{}}}
	stream, err := w.client.Open(ctx, w.agentAddress, request)
	if err != nil {
		return fmt.Errorf("watch agent: %w", err)
	}
	defer stream.Close()
	for {
		env, err := stream.Receive()
		if err != nil {
			return fmt.Errorf("watch agent: %w", err)
		}
		if state := env.GetLocalState(); state != nil {
			if err := w.apply(state); err != nil {
				return err
			}
		}
	}
}

// apply makes a state the current view. Unless its generation is above the
// current one, the view keeps the current document, because an agent that has
// restarted may not have the newest generation yet.
func (w *Watcher) apply(state *wirepb.LocalState) error {
	previous := w.current.Load()
	view := &View{
		Generation: model.Generation(state.Generation),
		Meta:       state.Meta,
		Leaving:    make(map[model.ServerID]bool, len(state.LeavingServers)),
		Latencies:  state.Latencies,
		Received:   time.Now(),
	}
	for _, h := range state.Hosts {
		view.Hosts = append(view.Hosts, wire.RecordFromWire(h))
	}
	for _, name := range state.LeavingServers {
		view.Leaving[model.ServerID(name)] = true
	}
	switch {
	case previous != nil && view.Generation <= previous.Generation:
		view.Generation, view.Document, view.Meta = previous.Generation, previous.Document, previous.Meta
	case view.Generation == 0:
		return nil
	default:
		doc, err := document.Parse(state.Document)
		if err != nil {
			return fmt.Errorf("generation %d: %w", view.Generation, err)
		}
		view.Document = doc
	}
	w.current.Store(view)
	if w.OnChange != nil {
		w.OnChange(view)
	}
	return nil
}

// Report sends a report of this daemon to the agent once per interval until ctx
// ends.
func (w *Watcher) Report(ctx context.Context, describe func() *wirepb.ReportLocal) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		w.ReportNow(ctx, describe())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ReportNow sends one report of this daemon to the agent.
func (w *Watcher) ReportNow(ctx context.Context, report *wirepb.ReportLocal) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	env := &wirepb.Envelope{Body: &wirepb.Envelope_ReportLocal{ReportLocal: report}}
	if _, err := w.client.Call(ctx, w.agentAddress, env); err != nil && ctx.Err() == nil && w.OnError != nil {
		w.OnError(fmt.Errorf("report to agent: %w", err))
	}
}
