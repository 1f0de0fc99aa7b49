package membership_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const tickInterval = 100 * time.Millisecond

// fleet runs members with a fake clock and a network without latency, to which
// tests add faults.
type fleet struct {
	now         time.Time
	cfg         membership.Config
	hosts       []*host
	byID        map[model.HostID]*host
	partitioned func(a, b model.HostRecord) bool
	frozen      map[model.HostID]bool
	sent        map[string]int
	// dropRecords reports whether messages to a host lose their records.
	dropRecords func(to model.HostID) bool
	// onSend is called with the kind and the content of every message.
	onSend func(kind string, message membership.Message)
}

type host struct {
	id      model.HostID
	m       *membership.Members
	stopped bool
}

func newFleet(n int, cfg membership.Config) *fleet {
	f := &fleet{now: time.Unix(1000, 0), cfg: cfg, byID: make(map[model.HostID]*host), frozen: make(map[model.HostID]bool), sent: make(map[string]int)}
	f.partitioned = func(a, b model.HostRecord) bool { return false }
	for i := range n {
		f.start(i)
	}
	return f
}

func record(i int, now time.Time) model.HostRecord {
	return model.HostRecord{
		Host:          model.HostID(fmt.Sprintf("host-%04d", i)),
		Region:        model.Region(fmt.Sprintf("region-%d", i%2)),
		FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%4)),
		CallerAddress: "127.0.0.1:10000", PeerAddress: "127.0.0.1:10001",
		AgentAddress: "127.0.0.1:10003", LookupAddress: "127.0.0.1:10002",
		Incarnation: model.NewIncarnation(now), State: model.HostReady, EntryIncarnation: model.NewIncarnation(now),
	}
}

// start starts or restarts host i, which joins through host 0 or 1.
func (f *fleet) start(i int) *host {
	r := record(i, f.now)
	h := &host{id: r.Host, m: membership.New(r, f.cfg, f.now, rand.New(rand.NewSource(int64(i+1))))}
	if old := f.byID[r.Host]; old != nil {
		f.hosts[i] = h
	} else {
		f.hosts = append(f.hosts, h)
	}
	f.byID[r.Host] = h
	if seed := f.hosts[0]; seed != h {
		f.exchange(h, seed.m.Self(), h.m.JoinMessage())
	} else if len(f.hosts) > 1 {
		f.exchange(h, f.hosts[1].m.Self(), h.m.JoinMessage())
	}
	return h
}

func (f *fleet) reachable(a *host, to model.HostRecord) *host {
	b := f.byID[to.Host]
	if b == nil || b.stopped || f.frozen[to.Host] || f.partitioned(a.m.Self(), b.m.Self()) {
		return nil
	}
	return b
}

// exchange delivers a message and its reply.
func (f *fleet) exchange(from *host, to model.HostRecord, message membership.Message) (membership.Message, bool) {
	b := f.reachable(from, to)
	if b == nil {
		return membership.Message{}, false
	}
	f.run(b, b.m.Received(f.now, f.delivered(b.id, message)))
	return f.delivered(from.id, b.m.Reply(message)), true
}

func (f *fleet) delivered(to model.HostID, message membership.Message) membership.Message {
	if f.dropRecords != nil && f.dropRecords(to) {
		message.Records = nil
	}
	return message
}

func (f *fleet) run(h *host, actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SendProbe:
			f.count("probe", a.Message)
			if reply, ok := f.exchange(h, a.To, a.Message); ok {
				f.count("reply", reply)
				f.run(h, h.m.ProbeAnswered(f.now, a.Number, reply))
			}
		case membership.SendIndirectProbe:
			if via := f.reachable(h, a.Via); via != nil {
				h.m.IndirectAnswered(f.now, a.Number, f.reachable(via, a.Target) != nil)
			} else {
				h.m.IndirectAnswered(f.now, a.Number, false)
			}
		case membership.SendRecords:
			f.count("push", a.Message)
			f.deliver(h, a.To, a.Message)
		case membership.SendFullExchange:
			f.count("full", a.Message)
			f.deliver(h, a.To, a.Message)
		}
	}
}

func (f *fleet) deliver(h *host, to model.HostRecord, message membership.Message) {
	if reply, ok := f.exchange(h, to, message); ok {
		f.run(h, h.m.Received(f.now, reply))
	}
}

func (f *fleet) count(kind string, message membership.Message) {
	f.sent[kind]++
	if f.onSend != nil {
		f.onSend(kind, message)
	}
}

// advance runs the fleet for the duration d.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		for _, h := range f.hosts {
			if !h.stopped && !f.frozen[h.id] {
				f.run(h, h.m.Tick(f.now))
			}
		}
	}
}

// until advances to the first tick at which done returns true.
func (f *fleet) until(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := f.now
	for f.now.Sub(start) < limit {
		if done() {
			return f.now.Sub(start), true
		}
		f.advance(tickInterval)
	}
	return limit, done()
}

// allSee reports whether the target has the state in the view of every other
// running host.
func (f *fleet) allSee(target model.HostID, state model.HostState) bool {
	for _, h := range f.hosts {
		if h.stopped || f.frozen[h.id] || h.id == target {
			continue
		}
		if r, ok := h.m.Record(target); !ok || r.State != state {
			return false
		}
	}
	return true
}

// converged reports whether every running host sees n hosts as ready.
func (f *fleet) converged(n int) bool {
	for _, h := range f.hosts {
		if h.stopped {
			continue
		}
		ready := 0
		for _, r := range h.m.Live() {
			if r.State == model.HostReady {
				ready++
			}
		}
		if ready != n {
			return false
		}
	}
	return true
}

func mustWithin(t *testing.T, f *fleet, limit time.Duration, what string, done func() bool) {
	t.Helper()
	took, ok := f.until(limit, done)
	if !ok {
		t.Fatalf("%s: not within %v", what, limit)
	}
	t.Logf("%s: after %v", what, took)
}
