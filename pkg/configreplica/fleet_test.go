package configreplica_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/configreplica"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	step = 100 * time.Millisecond
	// maxPropagation is the limit on the time from the acceptance of a
	// configuration until every host has it.
	maxPropagation = 6 * time.Second
)

// fleet simulates replicas with a fake clock, a network without delay and with
// injected faults, and one store. Every host exchanges its generation with a
// random host per probe interval.
type fleet struct {
	now              time.Time
	rng              *rand.Rand
	hosts            []*host
	stored           configreplica.Snapshot
	storeDown        bool
	noProbes         bool
	partitioned      func(a, b model.HostRecord) bool
	storePartitioned func(h model.HostRecord) bool
	pushes           int
	cfg              configreplica.Config
	onPush           func(h *host, p configreplica.Push)
	pulls            int
}

type host struct {
	record       model.HostRecord
	r            *configreplica.Replica
	stopped      bool
	unresponsive bool // watches the store but pushes nothing
}

func newFleet(n, domains int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewSource(7)), cfg: configreplica.DefaultConfig()}
	f.partitioned = func(a, b model.HostRecord) bool { return false }
	f.storePartitioned = func(model.HostRecord) bool { return false }
	for i := range n {
		f.hosts = append(f.hosts, &host{record: model.HostRecord{
			Host:          model.HostID(fmt.Sprintf("host-%04d", i)),
			Region:        model.Region(fmt.Sprintf("region-%d", i%domains/2)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		}})
		f.restart(i)
	}
	f.updateMembers()
	return f
}

func (f *fleet) restart(i int) {
	h := f.hosts[i]
	h.stopped = false
	h.r = configreplica.New(h.record, f.cfg, rand.New(rand.NewSource(int64(i))))
}

func (f *fleet) updateMembers() {
	var live []model.HostRecord
	for _, h := range f.hosts {
		if !h.stopped {
			live = append(live, h.record)
		}
	}
	for _, h := range f.hosts {
		h.r.SetMembers(live)
	}
}

func (f *fleet) find(from *host, id model.HostID) *host {
	for _, h := range f.hosts {
		if h.record.Host == id && !h.stopped && !f.partitioned(from.record, h.record) {
			return h
		}
	}
	return nil
}

func (f *fleet) run(h *host, actions []configreplica.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case configreplica.Push:
			if h.unresponsive {
				continue
			}
			f.pushes++
			if f.onPush != nil {
				f.onPush(h, a)
			}
			if to := f.find(h, a.To); to != nil {
				_, next := to.r.ReceivePush(f.now, h.record.Host, a.Delta, a.Subtree)
				f.run(to, next)
			} else {
				f.run(h, h.r.PushFailed(a))
			}
		case configreplica.Pull:
			f.pulls++
			if peer := f.find(h, a.From); peer != nil {
				f.run(h, h.r.Pulled(f.now, a.From, peer.r.PullReply(a.Have)))
			} else {
				h.r.PullFailed()
			}
		}
	}
}

// advance runs the fleet for d and calls observe, if set, after each step.
func (f *fleet) advance(d time.Duration, observe func()) {
	const stepsPerProbe = 5
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, h := range f.hosts {
			if !h.stopped && h.r.Watches() && !f.storeDown && !f.storePartitioned(h.record) && f.stored.Generation > h.r.Current().Generation {
				f.run(h, h.r.FromStore(f.now, f.stored))
			}
		}
		for i, h := range f.hosts {
			if h.stopped {
				continue
			}
			f.run(h, h.r.Tick(f.now))
			if !f.noProbes && (int(f.now.UnixMilli()/step.Milliseconds())+i)%stepsPerProbe == 0 {
				f.probe(h)
			}
		}
		if observe != nil {
			observe()
		}
	}
}

func (f *fleet) probe(h *host) {
	peer := f.find(h, f.hosts[f.rng.Intn(len(f.hosts))].record.Host)
	if peer == nil || peer == h {
		return
	}
	f.run(peer, peer.r.PeerGeneration(f.now, h.record.Host, h.r.Advertised()))
	f.run(h, h.r.PeerGeneration(f.now, peer.record.Host, peer.r.Advertised()))
}

// acceptNext makes the store accept the next generation.
func (f *fleet) acceptNext() {
	f.stored.Generation++
	f.stored.Text = document(200, int(f.stored.Generation))
}

// document returns a document of n sections, one of which depends on the
// version.
func document(n, version int) string {
	text := "; comment\n"
	for i := range n {
		value := 0
		if i == version%n {
			value = version
		}
		text += fmt.Sprintf("[server booking-desk-%d]\naddress = 10.0.0.%d:80\nslots = %d\n\n", i, i%250, value)
	}
	return text
}

// outdated counts the running hosts without the stored generation.
func (f *fleet) outdated() int {
	n := 0
	for _, h := range f.hosts {
		if !h.stopped && (h.r.Current().Generation != f.stored.Generation || h.r.Current().Text != f.stored.Text) {
			n++
		}
	}
	return n
}

func (f *fleet) mustConverge(t *testing.T, what string) {
	t.Helper()
	start := f.now
	for f.now.Sub(start) < maxPropagation && f.outdated() > 0 {
		f.advance(step, nil)
	}
	if n := f.outdated(); n > 0 {
		t.Fatalf("%s: %d hosts without generation %d after %v", what, n, f.stored.Generation, maxPropagation)
	}
	t.Logf("%s: on every host after %v, %d pushes, %d pulls", what, f.now.Sub(start), f.pushes, f.pulls)
}
