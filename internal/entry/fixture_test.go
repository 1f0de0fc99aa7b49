package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// fleet is one region of entry daemons and backend servers in one process. The
// test sends the daemons the views that their agents would send.
type fleet struct {
	t       *testing.T
	backend []*standin.BackendProcess
	caller  *standin.Caller

	mu    sync.Mutex
	hosts []*testHost
}

// fakeAgent serves the states that are sent on it to the daemon of one host.
type fakeAgent chan *wirepb.LocalState

// testHost is one entry daemon with a fake agent.
type testHost struct {
	*Daemon
	callers, peers string
	agent          fakeAgent
	applied        chan struct{}
	stop           func()
	mu             sync.Mutex
	testEnd        chan struct{}
	killed         bool
}

func newFleet(t *testing.T, hosts, servers int, cfg standin.BackendConfig) *fleet {
	t.Helper()
	f := &fleet{t: t, caller: &standin.Caller{Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}}
	for i := range servers {
		cfg.Name = fmt.Sprintf("s%d", i)
		process, err := standin.StartBackend(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(process.Kill)
		f.backend = append(f.backend, process)
	}
	for i := range hosts {
		f.start(fmt.Sprintf("h%d", i))
	}
	f.publish()
	t.Cleanup(f.close)
	return f
}

// start starts a daemon under the name and replaces an earlier one of that name.
func (f *fleet) start(name string) *testHost {
	f.t.Helper()
	s := &settings.Settings{
		Host:   settings.Host{ID: model.HostID(name), Environment: "test", Region: "r", FailureDomain: "r-a"},
		Limits: settings.Limits{MaxBodyBytes: 1 << 20, MaxFrameBytes: wire.DefaultMaxFrameBytes, MaxQueue: 1000},
	}
	agent, callers, peers := listenLoopback(f.t), listenLoopback(f.t), listenLoopback(f.t)
	s.Listen.Agent = agent.Addr().String()
	h := &testHost{Daemon: New(daemon.Base{Settings: s, Metrics: metrics.New()}), testEnd: make(chan struct{}), agent: make(fakeAgent), applied: make(chan struct{})}
	h.watcher.OnChange = func(view *localstate.View) { h.applyView(view); h.applied <- struct{}{} }
	h.callers, h.peers = callers.Addr().String(), peers.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: h.callerHandler()}
	identity := wire.Identity{Environment: "test", Host: s.Host.ID, Incarnation: h.incarnation}
	go func() {
		_ = wire.NewServer(wire.Identity{Environment: "test"}, h.agent, wire.DefaultMaxFrameBytes, nil).Serve(ctx, agent)
	}()
	go h.watcher.Run(ctx)
	go func() { _ = server.Serve(callers) }()
	go func() { _ = wire.NewServer(identity, h.Daemon, s.Limits.MaxFrameBytes, nil).Serve(ctx, peers) }()
	h.stop = func() { _ = server.Close(); cancel(); h.Daemon.peers.Close() }
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, old := range f.hosts {
		if old.settings.Host.ID == s.Host.ID {
			f.hosts[i] = h
			return h
		}
	}
	f.hosts = append(f.hosts, h)
	return h
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// kill stops a daemon: its connections close, and a goroutine that reaches a step
// blocks there until the test ends.
func (h *testHost) kill() {
	h.mu.Lock()
	h.killed = true
	h.mu.Unlock()
	h.stop()
}

func (h *testHost) isKilled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed
}

// killAt kills the daemon when the request reaches the step.
func (h *testHost) killAt(at requestStep, id string) {
	h.setOnStep(func(got requestStep, req Request) {
		if got == at && strings.HasSuffix(req.ID, id) {
			go h.kill()
			<-h.testEnd
		}
	})
}

// setOnStep sets the function that is called at each step. Call it before
// requests are sent to the host.
func (h *testHost) setOnStep(do func(requestStep, Request)) {
	h.requests.onStep = func(at requestStep, req Request) {
		if h.isKilled() {
			<-h.testEnd
		}
		do(at, req)
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		close(h.testEnd)
		h.stop()
	}
}

// publish sends a view with the running hosts to each of them and waits until it
// is applied.
func (f *fleet) publish() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	state := &wirepb.LocalState{Generation: 1, Document: f.document()}
	for _, h := range f.hosts {
		if h.isKilled() {
			continue
		}
		state.Hosts = append(state.Hosts, wire.RecordToWire(model.HostRecord{
			Host: h.settings.Host.ID, Region: "r", FailureDomain: "r-a", State: model.HostReady,
			PeerAddress: h.peers, CallerAddress: h.callers, EntryIncarnation: h.incarnation,
		}))
	}
	for _, h := range f.hosts {
		if !h.isKilled() {
			h.agent <- state
			<-h.applied
		}
	}
}

// Handle implements wire.Handler: it sends the states that the fleet publishes.
func (a fakeAgent) Handle(ctx context.Context, _ *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	if env.GetReportLocal() != nil {
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ReportLocalReply{ReportLocalReply: &wirepb.ReportLocalReply{}}})
		return
	}
	for {
		select {
		case state := <-a:
			_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_LocalState{LocalState: state}})
		case <-ctx.Done():
			return
		}
	}
}

func (f *fleet) document() string {
	var text strings.Builder
	text.WriteString("[environment]\nname = test\ncache-time = 1s\nmove-cap = 50%\nmove-interval = 1s\n" +
		"[region r]\nfailure-domains = r-a\nentry-hosts = 3\nweight = 1\n" +
		"[rank check]\npriority = 1\ndeadline = 20s\nguaranteed-share = 50%\nqueue = 200\n" +
		"[service desk]\nanswer-timeout = 2500ms\nmax-body = 64 KB\n")
	for i, b := range f.backend {
		fmt.Fprintf(&text, "[server s%d]\nservice = desk\nregion = r\nfailure-domain = r-a\naddress = %s\nslots = 50\nconnections = 200\n", i, b.Address())
	}
	return text.String()
}

// send sends a request to a host under the ID.
func (f *fleet) send(h *testHost, id string, idempotent bool, body string) (standin.CallResult, error) {
	call := standin.Call{Service: "desk", Rank: "check", Idempotent: idempotent, Deadline: 20 * time.Second, Body: body}
	return f.caller.Send(f.t.Context(), h.callers, id, "r", call)
}

func (h *testHost) id(unique string) string {
	token := model.OwnerToken{Host: h.settings.Host.ID, Incarnation: h.incarnation, IssuedAt: time.Now()}
	return token.String() + "." + unique
}

// runs counts the runs of an ID in the records of all backend servers.
func (f *fleet) runs(id string) int {
	count := 0
	for _, b := range f.backend {
		for _, run := range b.Runs() {
			if run.RequestID == id {
				count++
			}
		}
	}
	return count
}

// disconnectWhileRunning sends a request and disconnects when it is running.
func (f *fleet) disconnectWhileRunning(to *testHost, id string, idempotent bool) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		call := standin.Call{Service: "desk", Rank: "check", Idempotent: idempotent, Deadline: 20 * time.Second, Body: "b"}
		_, _ = f.caller.Send(ctx, to.callers, id, "r", call)
	}()
	for f.runs(id) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}

// dispatches reports whether the host dispatches to backend servers.
func (f *fleet) dispatches(h *testHost) bool {
	for _, host := range dispatchers(h.watcher.Current(), "desk", "r") {
		if host.Host == h.settings.Host.ID {
			return true
		}
	}
	return false
}

// restartKilled replaces each killed daemon by a new one.
func (f *fleet) restartKilled() {
	f.t.Helper()
	for _, h := range slices.Clone(f.hosts) {
		if h.isKilled() {
			f.start(string(h.settings.Host.ID))
		}
	}
	f.publish()
}
