// Package agent is the daemon that talks to the platform's store and feeds
// the other daemons of its host.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	hostKeyPrefix = "hosts/"
	pollInterval  = time.Second
)

// Agent is the agent daemon.
type Agent struct {
	settings    *settings.Settings
	platform    platform.Platform
	incarnation model.Incarnation

	mu      sync.Mutex
	state   *wirepb.LocalState
	changed chan struct{}
	self    model.HostRecord
}

// New returns an agent for the host of the settings.
func New(s *settings.Settings, p platform.Platform) *Agent {
	incarnation := model.NewIncarnation(time.Now())
	return &Agent{
		settings:    s,
		platform:    p,
		incarnation: incarnation,
		state:       &wirepb.LocalState{},
		changed:     make(chan struct{}),
		self: model.HostRecord{
			Host:          s.Host.ID,
			Region:        s.Host.Region,
			FailureDomain: s.Host.FailureDomain,
			AgentAddress:  s.Listen.Agent,
			Incarnation:   incarnation,
			State:         model.HostStarting,
		},
	}
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", a.settings.Listen.Agent)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	operators, err := net.Listen("tcp", a.settings.Listen.Operators)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	identity := wire.Identity{
		Environment: a.settings.Host.Environment,
		Role:        wirepb.Role_ROLE_AGENT,
		Host:        a.settings.Host.ID,
		Incarnation: a.incarnation,
	}
	api := &http.Server{Handler: operator.NewHandler(a.platform), ReadHeaderTimeout: 5 * time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return wire.NewServer(identity, a, a.settings.Limits.MaxFrameBytes, nil).Serve(ctx, peers)
	})
	group.Go(func() error {
		stop := context.AfterFunc(ctx, func() { _ = api.Close() })
		defer stop()
		if err := api.Serve(operators); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error { a.poll(ctx); return nil })
	return group.Wait()
}

// poll reads the environment's document and the hosts.
func (a *Agent) poll(ctx context.Context) {
	for ctx.Err() == nil {
		a.pollOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

func (a *Agent) pollOnce(ctx context.Context) {
	next := &wirepb.LocalState{}
	object, err := a.platform.Get(ctx, envobject.Key(a.settings.Host.Environment))
	if err == nil {
		if stored, err := envobject.Decode(object.Value); err == nil {
			next.Generation = object.Version
			next.Document = stored.Document
			next.Meta = stored.Meta()
		}
	}
	objects, err := a.platform.List(ctx, hostKeyPrefix+a.settings.Host.Environment+"/")
	if err != nil {
		return
	}
	for _, object := range objects {
		var record model.HostRecord
		if json.Unmarshal(object.Value, &record) == nil {
			next.Hosts = append(next.Hosts, wire.RecordToWire(record))
		}
	}
	machines, err := a.platform.Machines(ctx)
	if err == nil {
		for _, m := range machines {
			if m.State == platform.MachineLeaving {
				next.LeavingServers = append(next.LeavingServers, m.Name)
			}
		}
	}
	a.publish(next)
}

func (a *Agent) publish(next *wirepb.LocalState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = next
	close(a.changed)
	a.changed = make(chan struct{})
}

// Handle implements wire.Handler.
func (a *Agent) Handle(ctx context.Context, _ *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	switch body := env.Body.(type) {
	case *wirepb.Envelope_WatchState:
		a.serveWatch(ctx, stream)
	case *wirepb.Envelope_ReportLocal:
		a.takeReport(ctx, body.ReportLocal)
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ReportLocalReply{ReportLocalReply: &wirepb.ReportLocalReply{}}})
	}
}

func (a *Agent) serveWatch(ctx context.Context, stream *wire.Stream) {
	for {
		a.mu.Lock()
		state, changed := a.state, a.changed
		a.mu.Unlock()
		if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_LocalState{LocalState: state}}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (a *Agent) takeReport(ctx context.Context, report *wirepb.ReportLocal) {
	a.mu.Lock()
	before := a.self
	if report.LookupAddress != "" {
		a.self.LookupAddress = report.LookupAddress
	}
	if report.CallerAddress != "" {
		a.self.CallerAddress = report.CallerAddress
		a.self.PeerAddress = report.PeerAddress
		a.self.State = model.HostState(report.State)
		a.self.EntryIncarnation = model.Incarnation(report.Incarnation)
	}
	same := before == a.self
	if !same {
		a.self.Sequence++
	}
	record := a.self
	a.mu.Unlock()
	if same {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	_, _ = a.platform.Put(ctx, hostKeyPrefix+a.settings.Host.Environment+"/"+string(record.Host), value, platform.AnyVersion)
}
