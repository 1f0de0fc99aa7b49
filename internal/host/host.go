package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/retrybudget"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

const (
	// lookupTTL is how long callers may cache a lookup; some cache it three
	// times as long. It bounds how long a stopping host still receives requests.
	lookupTTL = time.Second
	// bodyMemoryShare and responseMemoryShare are the shares of the memory
	// setting for request bodies and for the responses of servers.
	bodyMemoryShare     = 0.25
	responseMemoryShare = 0.2
	// defaultBodyTimeout bounds the time in which a caller has to send a body.
	defaultBodyTimeout = 10 * time.Second
)

// Store is the part of the platform's store that a host uses.
type Store interface {
	inventory.Source
	// ListStale returns a listing that may be seconds old and costs less than
	// a current one.
	ListStale(ctx context.Context, c inventory.Collection) (inventory.Batch, error)
	Put(ctx context.Context, c inventory.Collection, name string, body any) error
	Delete(ctx context.Context, c inventory.Collection, name string) error
}

// Base holds the dependencies of a host.
type Base struct {
	Settings *Settings
	Protocol Protocol
	Store    Store
	Decoder  inventory.Decoder
	Log      *events.Log
	Metrics  *metrics.Registry
}

// Host is one entry host.
type Host struct {
	Base
	started  time.Time
	reader   *inventory.Reader
	entry    *callers.Server
	inFlight *inFlight
	stopping atomic.Bool
	// activeBounds are the bounds of the settings that were loaded last.
	activeBounds atomic.Pointer[Bounds]

	// mu guards the scheduler and the state of its servers.
	mu                 sync.Mutex
	scheduler          *scheduler.Scheduler
	waiters            map[*scheduler.Job]chan scheduler.Verdict
	tickScheduled      bool
	useReportScheduled bool
	lastFullUseReport  time.Time
	backends           map[string]*backend
	// leaving has what servers say in their responses about leaving.
	leaving *drain.Servers
	// retries has the retry budget of each service.
	retries map[string]*retrybudget.Window
	crashes *crashGuard
	// responseMemory is the memory for the responses of servers.
	responseMemory *bounded.Budget
	splitters      map[string]*splitter

	// appliedView is the view that was applied last.
	appliedView *inventory.View
	// peerLog is used only by the goroutine that sends heartbeats.
	peerLog peerLog

	// rosterMu is taken after mu and after the reader's own lock, never before.
	rosterMu sync.Mutex
	// chosenForColdSince is since when this host's view makes it one of those that share
	// the cold servers of the region, zero if it does not. rosterMu guards it.
	chosenForColdSince time.Time
	roster             *roster.Roster
	// newerMu guards newer: the peers that have newer content of a collection.
	newerMu sync.Mutex
	newer   map[inventory.Collection]newerPeer
	// asked has the latest requests of the store for peers that don't know eras. It is
	// guarded by newerMu.
	asked map[inventory.Collection]askedStore
	// pullWake wakes the goroutine that pulls newer content from peers.
	pullWake chan struct{}
	// readersLostStore is guarded by newerMu.
	readersLostStore bool
	heartbeatSocket  atomic.Pointer[net.PacketConn]
	// slots is the number of slots of all servers, which determines the number
	// of entry hosts.
	slots atomic.Int64
}

// backend is a backend server with its connections.
type backend struct {
	address         string
	startUnixMillis int64
	pool            *upstream.Pool
	probing         bool
	// verifiedAt is the time of the last check of the server after a lost
	// connection.
	verifiedAt time.Time
	// coldEntry is the position of the entry that was first seen at coldSeen. The
	// remaining cold time in the entry counts from coldSeen.
	coldEntry model.Position
	coldSeen  time.Time
}

// New returns a host that is not running yet.
func New(base Base) *Host {
	s := base.Settings
	h := &Host{
		Base:           base,
		started:        time.Now(),
		scheduler:      scheduler.New(s.Region),
		waiters:        make(map[*scheduler.Job]chan scheduler.Verdict),
		backends:       make(map[string]*backend),
		leaving:        drain.NewServers(),
		retries:        make(map[string]*retrybudget.Window),
		crashes:        newCrashGuard(),
		responseMemory: bounded.New(int64(float64(s.Memory) * responseMemoryShare)),
		splitters:      make(map[string]*splitter),
		newer:          make(map[inventory.Collection]newerPeer),
		asked:          make(map[inventory.Collection]askedStore),
		pullWake:       make(chan struct{}, 1),
		inFlight:       newInFlight(),
	}
	h.appliedView = &inventory.View{}
	h.activeBounds.Store(&s.Bounds)
	self := roster.Heartbeat{
		ID:            s.ID,
		Incarnation:   uint64(h.started.UnixMilli()),
		Region:        s.Region,
		Domain:        s.Domain,
		PeerAddress:   s.Listen.Peers,
		CallerAddress: s.Listen.Callers,
		Capacity:      capacityOf(s),
	}
	h.roster = roster.New(self, s.Seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	h.reader = inventory.NewReader(base.Store, base.Decoder, base.Log, time.Now, h.readsStore,
		inventory.Callbacks{View: h.applyView, Change: h.forwardChange, StoreLostChanged: h.announce})
	h.entry = callers.NewServer(h.serveCall, h.callerLimits, int64(float64(s.Memory)*bodyMemoryShare))
	return h
}

// callerLimits returns the limits of the active configuration.
func (h *Host) callerLimits() callers.Limits {
	limits := callers.Limits{
		MaxHeaderBytes: 16 << 10,
		MaxBodyBytes:   64 << 20,
		HeaderTimeout:  3 * time.Second,
		BodyTimeout:    defaultBodyTimeout,
		IdleTimeout:    15 * time.Second,
	}
	config := h.reader.View().Config
	if config == nil {
		return limits
	}
	if config.Limits.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = config.Limits.MaxHeaderBytes
	}
	if config.Limits.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = config.Limits.MaxBodyBytes
	}
	if config.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = config.Limits.HeaderTimeout
	}
	if config.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = config.Limits.IdleTimeout
	}
	return limits
}

// Run serves until ctx ends, then drains its callers and returns.
func (h *Host) Run(ctx context.Context) error {
	h.publishGauges()
	// The state is kept up to date until the last request has its response.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	lookups := callers.NewServer(h.serveLookup, h.callerLimits, 0)
	readiness := callers.NewServer(h.serveReadiness, h.callerLimits, 0)
	listeners, err := listenAll(h.Settings.Listen.Callers, h.Settings.Listen.Lookup, h.Settings.Listen.Ready)
	if err != nil {
		return err
	}
	for i, server := range []*callers.Server{h.entry, lookups, readiness} {
		group.Go(func() error { return server.Serve(listeners[i]) })
	}
	group.Go(func() error { return h.servePeers(work) })
	group.Go(func() error { h.reader.Run(work); return nil })
	group.Go(func() error { h.maintain(work); return nil })
	group.Go(func() error { h.register(ctx, work); return nil })
	group.Go(func() error { return metrics.Serve(work, h.Settings.Listen.Metrics, h.Metrics) })
	group.Go(func() error {
		select {
		case <-work.Done():
		case <-ctx.Done():
			h.stop(lookups)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		stopWork()
		return nil
	})
	return group.Wait()
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}
