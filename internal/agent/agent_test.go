package agent

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/configreplica"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	environment = "trial"
	frameBytes  = 9 << 20
)

// fleet runs agents on loopback addresses with a stand-in of the store.
type fleet struct {
	t      *testing.T
	store  *standin.Store
	url    string
	seeds  []string
	agents []*Agent
	stops  []context.CancelFunc
	client *platform.Client
	// prepare, if set, may change an agent and its listener before it serves.
	prepare func(a *Agent, peers net.Listener) net.Listener
	// adjustSettings, if set, may change the settings and the address that other
	// agents use.
	adjustSettings func(s *settings.Settings)
}

func newFleet(t *testing.T) *fleet {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.CloseClientConnections)
	return &fleet{t: t, store: store, url: server.URL, client: platform.NewClient(server.URL)}
}

func hostSettings(i int, address string, seeds []string) *settings.Settings {
	s := &settings.Settings{Peers: settings.Peers{Agents: seeds}, Limits: settings.Limits{MaxFrameBytes: frameBytes}}
	s.Host = settings.Host{
		ID:            model.HostID(fmt.Sprintf("host-%d", i)),
		Environment:   environment,
		Region:        "bagmati",
		FailureDomain: model.FailureDomain(fmt.Sprintf("bagmati-%d", i%2)),
	}
	s.Listen.Agent = address
	return s
}

// start adds an agent, whose local daemons report that they are ready.
func (f *fleet) start() *Agent {
	var listeners [2]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		listeners[i] = l
	}
	address := listeners[0].Addr().String()
	s := hostSettings(len(f.agents), address, f.seeds)
	if f.adjustSettings != nil {
		f.adjustSettings(s)
		address = s.Listen.Agent
	}
	a := New(daemon.Base{Settings: s}, platform.NewClient(f.url))
	if f.prepare != nil {
		listeners[0] = f.prepare(a, listeners[0])
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = a.serve(ctx, listeners[0], listeners[1])
	}()
	go reportLoop(ctx, a)
	f.t.Cleanup(func() { stop(); <-ended })
	f.seeds = append(f.seeds, address)
	f.agents = append(f.agents, a)
	f.stops = append(f.stops, func() { stop(); <-ended })
	return a
}

func reportLoop(ctx context.Context, a *Agent) {
	for ; ctx.Err() == nil; sleep(ctx, tickInterval) {
		a.mu.Lock()
		inForce := a.state.Generation
		a.mu.Unlock()
		a.acceptReport(time.Now(), wirepb.Role_ROLE_LOOKUP, &wirepb.ReportLocal{LookupAddress: "127.0.0.1:1"})
		a.acceptReport(time.Now(), wirepb.Role_ROLE_ENTRY, entryReport(model.HostReady, inForce))
	}
	a.acceptReport(time.Now(), wirepb.Role_ROLE_ENTRY, entryReport(model.HostLeft, 0))
}

func entryReport(state model.HostState, inForce uint64) *wirepb.ReportLocal {
	return &wirepb.ReportLocal{CallerAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:3", State: wirepb.HostState(state), Generation: inForce}
}

func (f *fleet) promote(ifVersion uint64) uint64 {
	text, err := os.ReadFile("../../examples/demo/document.ini")
	if err != nil {
		f.t.Fatal(err)
	}
	value, err := envobject.Object{Document: fmt.Sprintf("; %d\n%s", ifVersion, text)}.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	version, err := f.client.Put(context.Background(), envobject.Key(environment), value, ifVersion)
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// waitReserve is the time before the test's own timeout at which a wait fails.
const waitReserve = 10 * time.Second

// wait polls until done returns true. It fails the test shortly before the test's
// own timeout.
func (f *fleet) wait(what string, done func() bool) {
	f.t.Helper()
	start := time.Now()
	defer func() { f.t.Logf("%s: after %v", what, time.Since(start).Round(time.Millisecond)) }()
	for ; !done(); time.Sleep(20 * time.Millisecond) {
		if deadline, ok := f.t.Deadline(); ok && time.Until(deadline) < waitReserve {
			f.t.Fatalf("not reached in time: %s; status %+v", what, f.agents[0].snapshot(time.Now()))
		}
	}
}

// inForceEverywhere reports whether every agent sees n ready hosts that have
// the generation in force.
func (f *fleet) inForceEverywhere(n int, generation uint64) bool {
	for _, a := range f.agents {
		s := a.Status(context.Background())
		if s.Generation != generation || s.Lagging != 0 || len(s.Regions) != 1 || s.Regions[0].Ready != n || s.Regions[0].Generation != generation {
			return false
		}
	}
	return true
}

// Guards against a rate of store calls that grows with the number of hosts,
// against leaving servers and measurements that reach only the agent that read
// them, and against hosts that can't start or leave while the store is down.
func TestFleetOnLoopback(t *testing.T) {
	f := newFleet(t)
	const hosts = 8
	for range hosts {
		f.start()
	}
	first := f.promote(platform.CreateOnly)
	f.wait("first generation in force", func() bool { return f.inForceEverywhere(hosts, first) })
	f.wait("hosts registered", func() bool {
		objects, err := f.client.List(context.Background(), hostKeyPrefix)
		return err == nil && len(objects) == hosts
	})

	f.store.SetMachines([]platform.Machine{{Name: "booking-desk-1", State: platform.MachineLeaving}})
	f.store.SetLatencies([]platform.Latency{{Block: "10.1.0.0/16", Region: "bagmati", Millis: 1, Measured: time.Now()}})
	f.wait("leaving server and measurement at every agent", func() bool {
		for _, a := range f.agents {
			a.mu.Lock()
			ok := len(a.state.LeavingServers) == 1 && len(a.state.Latencies) == 1
			a.mu.Unlock()
			if !ok {
				return false
			}
		}
		return true
	})

	var second uint64
	f.checkCalls(hosts, func() {
		second = f.promote(first)
		f.wait("second generation in force", func() bool { return f.inForceEverywhere(hosts, second) })
	})

	f.store.SetFaults(standin.Faults{Down: true})
	f.start()
	f.wait("host started without the store", func() bool { return f.inForceEverywhere(hosts+1, second) })
	f.store.SetFaults(standin.Faults{Delay: time.Hour})
	f.start()
	f.wait("host started while the store does not respond", func() bool { return f.inForceEverywhere(hosts+2, second) })

	f.stops[0]()
	f.agents = f.agents[1:]
	f.wait("host left", func() bool {
		for _, a := range f.agents {
			a.mu.Lock()
			r, ok := a.members.Record("host-0")
			a.mu.Unlock()
			if !ok || r.State != model.HostLeft {
				return false
			}
		}
		return true
	})
}

// checkCalls checks the number of agents that call the store during some polls
// and a change: two watchers in each of two failure domains and one poller.
func (f *fleet) checkCalls(hosts int, change func()) {
	f.t.Helper()
	calls := func(a *Agent) int64 { return a.platform.(*platform.Client).Calls() }
	before := make([]int64, hosts)
	for i, a := range f.agents {
		before[i] = calls(a)
	}
	const polls = 3
	total := f.store.Calls()
	f.wait("polls", func() bool { return f.store.Calls() >= total+polls })
	change()
	callingAgents := 0
	for i, a := range f.agents {
		if calls(a) > before[i] {
			callingAgents++
		}
	}
	const allowed = 2*2 + 1
	if callingAgents > allowed {
		f.t.Errorf("%d of %d agents call the store, want at most %d", callingAgents, hosts, allowed)
	}
}

// Guards against a feed tree of shared state that misses or repeats hosts, which
// pulls would hide in a running fleet.
func TestSharedStateTreeReachesEveryHostOnce(t *testing.T) {
	var hosts []model.HostID
	for i := range 100 {
		hosts = append(hosts, model.HostID(fmt.Sprintf("host-%d", i)))
	}
	reached := make(map[model.HostID]int)
	var follow func(pushes []sharedPush)
	follow = func(pushes []sharedPush) {
		for _, p := range pushes {
			reached[p.to]++
			follow(sharedTree(p.subtree))
		}
	}
	follow(sharedTree(hosts))
	for _, h := range hosts {
		if reached[h] != 1 {
			t.Errorf("%s reached %d times", h, reached[h])
		}
	}
}

// Guards against a host that stays ready although its entry daemon has crashed,
// and against one that stops being ready because the agent itself was frozen.
func TestHostIsReadyOnlyWhileItsEntryDaemonReports(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAgent(hostSettings(1, "127.0.0.1:1", nil), nil, now)
	state := func() model.HostState { return a.selfRecord().State }
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(tickInterval)
			a.tick(now)
		}
	}
	a.acceptReport(now, wirepb.Role_ROLE_ENTRY, entryReport(model.HostReady, 0))
	if state() != model.HostStarting {
		t.Errorf("state without a configuration is %v", state())
	}
	a.replica.FromStore(now, configreplica.Snapshot{Generation: 3, Text: "[a]\n"})
	advance(time.Second)
	if state() != model.HostReady {
		t.Errorf("state with configuration and entry daemon is %v", state())
	}
	now = now.Add(time.Minute)
	a.tick(now)
	if state() != model.HostReady {
		t.Errorf("state after a freeze of the agent is %v", state())
	}
	advance(reportTimeout)
	if state() != model.HostStarting {
		t.Errorf("state without reports is %v", state())
	}
	a.acceptReport(now, wirepb.Role_ROLE_ENTRY, entryReport(model.HostLeft, 3))
	if state() != model.HostStopping {
		t.Errorf("state after the entry daemon left is %v", state())
	}
}

// Guards against a registration that is written again because the response was
// lost, and against one that replaces the record of a later start.
func TestRegistrationWithLostResponse(t *testing.T) {
	f := newFleet(t)
	ctx := context.Background()
	earlier := newAgent(hostSettings(1, "127.0.0.1:1", nil), f.client, time.Unix(1000, 0))
	later := newAgent(hostSettings(1, "127.0.0.1:1", nil), f.client, time.Unix(2000, 0))
	f.store.SetFaults(standin.Faults{LoseResponses: 1})
	if later.registerOnce(ctx) {
		t.Error("a write without a response counts as done before it is read back")
	}
	if !later.registerOnce(ctx) || !earlier.registerOnce(ctx) {
		t.Error("registration is not resolved by reading back")
	}
	object, err := f.client.Get(ctx, hostKeyPrefix+environment+"/host-1")
	if err != nil || object.Version != 1 {
		t.Errorf("object version %d, error %v, want one write", object.Version, err)
	}
}
