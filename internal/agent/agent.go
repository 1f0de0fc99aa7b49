// Package agent implements the agent daemon. It calls the platform's store,
// replicates configuration and membership to the other agents, and sends the
// resulting state to the other daemons of its host.
//
// The decisions are made in pkg/membership and pkg/configreplica: one mutex
// serializes the calls to them, and the messages that they return are sent
// without holding it.
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
	// tickInterval is a small part of the probe interval, so that probes and
	// timeouts are hardly delayed.
	tickInterval = 100 * time.Millisecond
	// freezeThreshold is the time between two ticks above which the process counts
	// as frozen in between.
	freezeThreshold = time.Second
	// maxCalls is the limit of concurrent calls to peers.
	maxCalls = 64
)

var errSuperseded = errors.New("a later start of this host is running")

// Agent is the agent daemon. Its methods are safe for concurrent use.
type Agent struct {
	settings *settings.Settings
	// log and metrics may be nil, which discards events and counts.
	log      *events.Log
	metrics  *metrics.Registry
	platform platform.Platform
	identity wire.Identity
	// feedClient calls the children in the feed trees. It keeps its sessions,
	// because the children rarely change.
	feedClient *wire.Client
	// dial opens connections to peers. It is set before serve.
	dial func(address string) (net.Conn, error)
	// callSlots is a semaphore of maxCalls.
	callSlots chan struct{}
	// probesStarted counts the direct probes that were started.
	probesStarted atomic.Int64

	mu       sync.Mutex
	members  *membership.Members
	replica  *configreplica.Replica
	shared   sharedState
	daemons  localDaemons
	inForce  map[model.HostID]reportedGeneration
	leaving  bool
	lastTick time.Time
	outage   outage
	observed observedHosts
	// observedGeneration is the generation that was last logged as in force.
	observedGeneration model.Generation
	// replicaMembers is the membership version that the replica last got.
	replicaMembers uint64
	// published holds the versions in state.
	published publishedVersions
	// state is sent to the local daemons. changed is closed when it is replaced.
	state   *wirepb.LocalState
	changed chan struct{}
}

// publishedVersions are the versions of the parts of a published state. The
// state is published again only if one of them changed.
type publishedVersions struct {
	members    uint64
	generation model.Generation
	shared     uint64
}

// New returns an agent for the host in the settings of base.
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
		settings:   s,
		platform:   p,
		identity:   identity,
		feedClient: wire.NewQuietClient(identity, s.Limits.MaxFrameBytes),
		dial:       wire.Dial,
		callSlots:  make(chan struct{}, maxCalls),
		members:    membership.New(self, membership.DefaultConfig(), now, rng),
		replica:    configreplica.New(self, configreplica.DefaultConfig(), rng),
		shared:     sharedState{latencies: newLatencyTable()},
		daemons:    make(localDaemons),
		inForce:    make(map[model.HostID]reportedGeneration),
		lastTick:   now,
		state:      &wirepb.LocalState{},
		changed:    make(chan struct{}),
	}
	a.feedClient.ConnectWith(a.dialCounted)
	return a
}

// Run serves until ctx ends, then waits for the entry daemon's shutdown and
// leaves the membership.
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
		closed := make(chan struct{})
		context.AfterFunc(serving, func() {
			defer close(closed)
			closeAPI(api)
		})
		if err := api.Serve(operators); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-closed
		return nil
	})
	group.Go(func() error { return a.tickLoop(serving) })
	group.Go(func() error { return a.serveMetrics(serving) })
	for _, loop := range []func(context.Context){a.joinLoop, a.initialRead, a.watchLoop, a.register, a.pollLoop} {
		group.Go(func() error { loop(serving); return nil })
	}
	group.Go(func() error {
		defer stopServing()
		select {
		case <-ctx.Done():
			a.shutdown(serving)
		case <-serving.Done():
		}
		return nil
	})
	defer a.feedClient.Close()
	return group.Wait()
}

// apiTimeout bounds the commands of operators that are completed at the end. It
// covers the calls to the store of one command.
const apiTimeout = 10 * time.Second

// closeAPI completes the commands in progress: one that is cut may have taken effect.
func closeAPI(api *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), apiTimeout)
	defer cancel()
	if err := api.Shutdown(ctx); err != nil {
		_ = api.Close()
	}
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

// tick advances membership and replica to now and publishes a changed state.
func (a *Agent) tick(now time.Time) outbox {
	a.mu.Lock()
	defer a.mu.Unlock()
	if gap := now.Sub(a.lastTick); gap > freezeThreshold {
		a.daemons.excludeFreeze(gap)
	}
	a.lastTick = now
	a.updateSelf(now)
	var out outbox
	out.members = a.members.Tick(now)
	a.syncMembers()
	out.replica = a.replica.Tick(now)
	// A changed membership can make a pulled configuration usable.
	a.observeConfig(now, fromPull, "")
	a.publish(now)
	return out
}

// syncMembers forwards a changed membership to the replica and removes the
// generations of hosts that have left the view.
func (a *Agent) syncMembers() {
	if a.members.Version() == a.replicaMembers {
		return
	}
	a.replicaMembers = a.members.Version()
	a.observeMembers()
	a.replica.SetMembers(a.members.Live())
	maps.DeleteFunc(a.inForce, func(host model.HostID, _ reportedGeneration) bool {
		_, known := a.members.Record(host)
		return !known
	})
}

// leaveTimeout bounds the messages that announce the departure.
const leaveTimeout = 10 * time.Second

// shutdown waits until the entry daemon has stopped, then announces to other
// agents that this host has left. The wait has no bound of its own: the entry
// daemon bounds its shutdown, and the wait ends when its reports do.
func (a *Agent) shutdown(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for start := time.Now(); ctx.Err() == nil && a.mustAwaitEntry(time.Since(start)); {
		sleep(ctx, tickInterval)
	}
	a.mu.Lock()
	actions := a.members.Leave(time.Now())
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, action := range actions {
		sends.Go(func() { a.performMember(ctx, action) })
	}
	sends.Wait()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
