package configreplica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/configreplica"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

func runningFleet(t *testing.T, n, domains int) *fleet {
	f := newFleet(n, domains)
	f.acceptNext()
	f.mustConverge(t, "first generation")
	f.advance(3*time.Second, nil)
	f.pushes, f.pulls = 0, 0
	return f
}

// watchers returns the hosts of a failure domain that watch the store.
func (f *fleet) watchers(domain model.FailureDomain) []*host {
	var found []*host
	for _, h := range f.hosts {
		if h.record.FailureDomain == domain && !h.stopped && h.r.Watches() {
			found = append(found, h)
		}
	}
	return found
}

// Guards against a feed tree that omits or repeats hosts and against pushes
// that carry unchanged sections.
func TestTreeReachesEveryHostOnceWithChangedSectionsOnly(t *testing.T) {
	f := runningFleet(t, 200, 2)
	sections := 0
	f.onPush = func(_ *host, p configreplica.Push) { sections = max(sections, len(p.Delta.Changed)) }
	f.acceptNext()
	f.advance(step, nil)
	if n := f.outdated(); n > 0 {
		t.Errorf("%d hosts without the stored generation after one step", n)
	}
	f.advance(2*time.Second, nil)
	if f.pushes != 200-2 || f.pulls != 0 || sections != 2 {
		t.Errorf("%d pushes of up to %d sections and %d pulls, want 198 of the 2 changed ones and 0", f.pushes, sections, f.pulls)
	}
	for _, domain := range []model.FailureDomain{"domain-0", "domain-1"} {
		if n := len(f.watchers(domain)); n != 2 {
			t.Errorf("%d watchers in %s, want 2", n, domain)
		}
	}
}

// Guards against a failure domain that misses a change because its first
// watcher is unresponsive. Pulls after probes would hide the fault, so probes
// are disabled.
func TestStandbyFeedsWhenFirstWatcherIsUnresponsive(t *testing.T) {
	f := runningFleet(t, 60, 2)
	for _, h := range f.watchers("domain-1") {
		h.unresponsive = h.r.IsFirstWatcher()
	}
	f.noProbes = true
	f.acceptNext()
	f.mustConverge(t, "unresponsive first watcher")
}

// Guards against a failure domain that misses a change because its watchers
// are partitioned from the store, although other failure domains have it.
func TestWatchersWithoutStorePullFromOtherDomains(t *testing.T) {
	f := runningFleet(t, 120, 4)
	f.storePartitioned = func(r model.HostRecord) bool { return r.FailureDomain == "domain-1" }
	f.acceptNext()
	f.mustConverge(t, "watchers without store")
}

// Guards against an unreachable child whose subtree gets no push.
func TestPushBypassesUnreachableChild(t *testing.T) {
	f := runningFleet(t, 60, 1)
	f.noProbes = true
	for i := range 20 {
		f.hosts[i].stopped = !f.hosts[i].r.Watches()
	}
	f.acceptNext()
	f.mustConverge(t, "unreachable children")
}

// Guards against a host that missed a push, or has a different base, and is
// never updated.
func TestMissedPushIsRepairedByPull(t *testing.T) {
	f := runningFleet(t, 40, 2)
	isolated := f.hosts[11].record.Host
	f.partitioned = func(a, b model.HostRecord) bool { return a.Host == isolated || b.Host == isolated }
	f.acceptNext()
	f.advance(2*time.Second, nil)
	f.partitioned = func(a, b model.HostRecord) bool { return false }
	f.mustConverge(t, "partitioned host")
	if f.pulls == 0 {
		t.Error("no pull was sent: the partition lost no push")
	}
}

// Guards against hosts that restart during a long store outage and never
// become ready, or become ready with an old generation that only one failure
// domain has.
func TestRestartDuringStoreOutage(t *testing.T) {
	f := runningFleet(t, 24, 4)
	lagging := model.FailureDomain("domain-2")
	f.partitioned = func(a, b model.HostRecord) bool {
		return (a.FailureDomain == lagging) != (b.FailureDomain == lagging)
	}
	f.storePartitioned = func(r model.HostRecord) bool { return r.FailureDomain == lagging }
	f.acceptNext()
	f.advance(maxPropagation, nil)
	f.storeDown = true
	f.advance(time.Hour, nil)
	restarted := f.hosts[2] // in the lagging failure domain
	f.restart(2)
	f.updateMembers()
	f.advance(3*time.Second, nil)
	if restarted.r.Ready() {
		t.Errorf("ready with generation %d, which only the lagging failure domain has", restarted.r.Current().Generation)
	}
	f.partitioned = func(a, b model.HostRecord) bool { return false }
	f.advance(3*time.Second, nil)
	if g := restarted.r.Current().Generation; !restarted.r.Ready() || g != f.stored.Generation {
		t.Errorf("ready %v with generation %d, want %d", restarted.r.Ready(), g, f.stored.Generation)
	}
	for i := range f.hosts {
		if i%4 != 3 {
			f.restart(i)
		}
	}
	f.updateMembers()
	f.advance(5*time.Second, nil)
	for _, h := range f.hosts {
		if !h.r.Ready() {
			t.Errorf("%s is not ready although one failure domain has the configuration", h.record.Host)
		}
	}
}

// Guards against deltas that do not rebuild the document byte for byte.
func TestDeltaRebuildsTheDocument(t *testing.T) {
	texts := []string{
		"", "[a]\nx=1\n", "; note\n[a]\nx=1\n[b]\n", "[b]\n[a]\nx=1", "; note\n[z]\n[a]\nx=2\n[q]\n[r]\n[b]\n[b]\ny=1\n", "[q]\n[b]\n[b]\ny=1\n[s]\n",
	}
	for i, from := range texts {
		for j, to := range texts {
			a, b := newFleet(1, 1).hosts[0].r, newFleet(1, 1).hosts[0].r
			first := configreplica.Snapshot{Generation: 1, Text: from}
			a.FromStore(time.Time{}, first)
			b.FromStore(time.Time{}, first)
			a.FromStore(time.Time{}, configreplica.Snapshot{Generation: 2, Text: to})
			delta := a.PullReply(1)
			wrong := delta
			wrong.Digest++
			if applied, _ := b.ReceivePush(time.Time{}, "a", wrong, nil); applied {
				t.Errorf("%d to %d: delta with a wrong digest was applied", i, j)
			}
			b.ReceivePush(time.Time{}, "a", delta, nil)
			if got := b.Current().Text; got != to {
				t.Errorf("%d to %d: %q, want %q", i, j, got, to)
			}
		}
	}
}

type operation struct {
	write     bool
	ifVersion model.Generation
	version   model.Generation
	ok        bool
}

// register models a register with conditional writes.
var register = porcupine.Model{
	Init: func() any { return model.Generation(0) },
	Step: func(state, input, output any) (bool, any) {
		held, op := state.(model.Generation), input.(operation)
		if !op.write {
			return output.(operation).version == held, held
		}
		if out := output.(operation); out.ok {
			return held == op.ifVersion, out.version
		}
		return held != op.ifVersion, held
	},
}

// Guards against a generation that is not active on every host 6 s after
// acceptance, and against a host that returns to an older one: under racing
// writers, restarts and failed hosts, the generation of each host must be a
// value that the register had within the last 6 s.
func TestHistoryOfGenerationsInForce(t *testing.T) {
	f := runningFleet(t, 30, 4)
	start := f.now
	writes := []porcupine.Operation{{Input: operation{write: true}, Output: operation{ok: true, version: 1}, Call: -int64(time.Hour), Return: -int64(time.Hour) + 1}}
	reads := make(map[model.HostID][]porcupine.Operation)
	highest := make(map[model.HostID]model.Generation)
	observe := func() {
		at := int64(f.now.Sub(start))
		for i, h := range f.hosts {
			g := h.r.Current().Generation
			if h.stopped {
				highest[h.record.Host] = 0
				continue
			}
			if g < highest[h.record.Host] {
				t.Errorf("%s went back from generation %d to %d", h.record.Host, highest[h.record.Host], g)
			}
			highest[h.record.Host] = g
			if h.r.Ready() && at%int64(time.Second) == 0 {
				reads[h.record.Host] = append(reads[h.record.Host], porcupine.Operation{ClientId: i, Input: operation{}, Output: operation{version: g}, Call: at - int64(maxPropagation), Return: at})
			}
		}
	}
	for round := range 12 {
		read := f.stored.Generation
		for writer := range 2 {
			at := int64(f.now.Sub(start)) + int64(writer)
			ok := f.stored.Generation == read
			if ok {
				f.acceptNext()
			}
			writes = append(writes, porcupine.Operation{ClientId: 1000 + writer, Input: operation{write: true, ifVersion: read}, Output: operation{ok: ok, version: f.stored.Generation}, Call: at, Return: at + 1})
		}
		failed := f.hosts[f.rng.Intn(len(f.hosts))]
		failed.stopped = true
		f.advance(time.Duration(1+round%5)*time.Second, observe)
		f.restart(f.indexOf(failed))
		f.updateMembers()
	}
	for id, history := range reads {
		if !porcupine.CheckOperations(register, append(history, writes...)) {
			t.Errorf("%s: its generations are not values of the register within the last %v", id, maxPropagation)
		}
	}
}

func (f *fleet) indexOf(h *host) int {
	for i := range f.hosts {
		if f.hosts[i] == h {
			return i
		}
	}
	return -1
}

// BenchmarkChange measures a configuration change of one section in one
// failure domain: bytes and time per member, and the bytes that the watchers
// send. The first watcher is the root of the feed tree.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{20, 100, 250, 1000} {
		for _, fanout := range []int{2, 8, 32} {
			b.Run(fmt.Sprintf("members=%d/fanout=%d", n, fanout), func(b *testing.B) { benchChange(b, n, fanout) })
		}
	}
}

func benchChange(b *testing.B, n, fanout int) {
	f := newFleet(n, 1)
	f.cfg.Fanout = fanout
	for i := range f.hosts {
		f.restart(i)
	}
	f.updateMembers()
	f.acceptNext()
	f.advance(2*time.Second, nil)
	bytes, rootBytes, changes := 0, 0, 0
	f.onPush = func(h *host, p configreplica.Push) {
		size := encodedBytes(p)
		bytes += size
		if h.r.Watches() {
			rootBytes += size
		}
	}
	for b.Loop() {
		changes++
		f.acceptNext()
		f.advance(step, nil)
	}
	b.ReportMetric(float64(bytes)/float64(changes*n), "bytes/op")
	b.ReportMetric(float64(rootBytes)/float64(changes), "root-bytes/op")
}

func encodedBytes(p configreplica.Push) int {
	message := &wirepb.ConfigPush{BaseGeneration: uint64(p.Delta.Base), Generation: uint64(p.Delta.Generation), Digest: p.Delta.Digest, Removed: p.Delta.Removed}
	for _, s := range p.Delta.Changed {
		message.Changed = append(message.Changed, &wirepb.Section{Name: s.Name, Text: s.Text})
	}
	for _, h := range p.Subtree {
		message.Subtree = append(message.Subtree, string(h))
	}
	return proto.Size(message)
}
