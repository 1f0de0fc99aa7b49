// Package agent is the daemon that talks to the platform's store, replicates
// configuration and membership to the other agents, and feeds the other
// daemons of its host.
//
// It is a shell around pkg/membership and pkg/configreplica: one mutex
// serializes them, and the messages that they return are sent outside of it.
package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/configreplica"
	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// tickInterval is a fraction of the probe interval, so that probes and
	// timeouts are not late by a noticeable part of it.
	tickInterval = 100 * time.Millisecond
	// freezeThreshold is the gap between two ticks that shows a freeze.
	freezeThreshold = time.Second
	// maxCalls bounds the calls to peers that run at the same time.
	maxCalls = 64
)

var errSuperseded = errors.New("a later start of this host is running")

// Agent is the agent daemon. Its methods are safe for concurrent use.
type Agent struct {
	settings *settings.Settings
	// log and metrics discard what they get if they are nil.
	log      *events.Log
	metrics  *metrics.Registry
	platform platform.Platform
	identity wire.Identity
	// feed keeps its sessions: the children in the feed tree rarely change.
	feed *wire.Client
	// connect opens connections to peers. It is set before serve.
	connect func(address string) (net.Conn, error)
	calls   chan struct{}
	// probesStarted counts direct probes.
	probesStarted atomic.Int64

	mu       sync.Mutex
	members  *membership.Members
	replica  *configreplica.Replica
	shared   sharedState
	local    localDaemons
	inForce  map[model.HostID]heardGeneration
	leaving  bool
	lastTick time.Time
	outage   outage
	observed observedHosts
	// observedGeneration was last logged as in force.
	observedGeneration model.Generation
	// fedMembers is the membership version that the replica knows.
	fedMembers uint64
	// seen is the state of the decision packages at the last publication.
	seen    seenVersions
	state   *wirepb.LocalState
	changed chan struct{}
}

// seenVersions decides whether local daemons need a new state.
type seenVersions struct {
	members    uint64
	generation model.Generation
	shared     uint64
}

// New returns an agent for the host of the settings.
func New(base daemon.Base, p platform.Platform) *Agent {
	a := newAgent(base.Settings, p, time.Now())
	a.log, a.metrics = base.Log, base.Metrics
	return a
}

func newAgent(s *settings.Settings, p platform.Platform, now time.Time) *Agent {
	incarnation := model.NewIncarnation(now)
	rng := rand.New(rand.NewSource(now.UnixNano()))
	self := model.HostRecord{
		Host:          s.Host.ID,
		Region:        s.Host.Region,
		FailureDomain: s.Host.FailureDomain,
		AgentAddress:  s.Listen.Agent,
		Incarnation:   incarnation,
		State:         model.HostStarting,
	}
	identity := wire.Identity{
		Environment: s.Host.Environment,
		Role:        wirepb.Role_ROLE_AGENT,
		Host:        s.Host.ID,
		Incarnation: incarnation,
	}
	a := &Agent{
		settings: s,
		platform: p,
		identity: identity,
		feed:     wire.NewQuietClient(identity, s.Limits.MaxFrameBytes),
		connect:  wire.Dial,
		calls:    make(chan struct{}, maxCalls),
		members:  membership.New(self, membership.DefaultConfig(), now, rng),
		replica:  configreplica.New(self, configreplica.DefaultConfig(), rng),
		shared:   sharedState{latencies: newLatencyTable()},
		local:    make(localDaemons),
		inForce:  make(map[model.HostID]heardGeneration),
		lastTick: now,
		state:    &wirepb.LocalState{},
		changed:  make(chan struct{}),
	}
	a.feed.ConnectWith(a.open)
	return a
}

// Run serves until ctx ends, then leaves gracefully.
func (a *Agent) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", a.settings.Listen.Agent)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	operators, err := net.Listen("tcp", a.settings.Listen.Operators)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return a.serve(ctx, peers, operators)
}

func (a *Agent) serve(ctx context.Context, peers, operators net.Listener) error {
	api := &http.Server{Handler: operator.NewHandler(a.platform, operator.WithLog(a.log), operator.WithStatus(operatorStatus{a})), ReadHeaderTimeout: 5 * time.Second}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error {
		return wire.NewServer(a.identity, a, a.settings.Limits.MaxFrameBytes, a).Serve(serving, countingListener{peers, a})
	})
	group.Go(func() error {
		stop := context.AfterFunc(serving, func() { _ = api.Close() })
		defer stop()
		if err := api.Serve(operators); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error { return a.tickLoop(serving) })
	group.Go(func() error { return a.serveMetrics(serving) })
	for _, loop := range []func(context.Context){a.joinLoop, a.firstRead, a.watchLoop, a.register, a.pollLoop} {
		group.Go(func() error { loop(serving); return nil })
	}
	group.Go(func() error {
		defer stopServing()
		select {
		case <-ctx.Done():
			a.leave(serving)
		case <-serving.Done():
		}
		return nil
	})
	defer a.feed.Close()
	return group.Wait()
}

func (a *Agent) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		a.perform(ctx, a.tick(time.Now()))
		if a.superseded() {
			return errSuperseded
		}
	}
}

func (a *Agent) superseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.Superseded()
}

// tick advances the decision packages and publishes what changed.
func (a *Agent) tick(now time.Time) outbox {
	a.mu.Lock()
	defer a.mu.Unlock()
	if gap := now.Sub(a.lastTick); gap > freezeThreshold {
		a.local.forgive(gap)
	}
	a.lastTick = now
	a.updateSelf(now)
	var out outbox
	out.members = a.members.Tick(now)
	a.takeMembers()
	out.replica = a.replica.Tick(now)
	// A changed membership can make a pulled configuration usable.
	a.observeConfig(now, fromPull, "")
	a.publish(now)
	return out
}

// takeMembers hands a changed membership on and forgets hosts that are gone.
func (a *Agent) takeMembers() {
	if a.members.Version() == a.fedMembers {
		return
	}
	a.fedMembers = a.members.Version()
	a.observeMembers()
	a.replica.SetMembers(a.members.Live())
	maps.DeleteFunc(a.inForce, func(host model.HostID, _ heardGeneration) bool {
		_, known := a.members.Record(host)
		return !known
	})
}

// leaveTimeout bounds the wait for the entry daemon's graceful shutdown.
const leaveTimeout = time.Minute

// leave waits until the entry daemon has stopped and tells the others.
func (a *Agent) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for start := time.Now(); ctx.Err() == nil && a.entryHolds(time.Since(start)); {
		sleep(ctx, tickInterval)
	}
	a.mu.Lock()
	actions := a.members.Leave(time.Now())
	a.mu.Unlock()
	var sends sync.WaitGroup
	for _, action := range actions {
		sends.Go(func() { a.performMember(ctx, action) })
	}
	sends.Wait()
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
