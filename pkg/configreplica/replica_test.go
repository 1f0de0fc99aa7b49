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

func running(t *testing.T, n, domains int) *fleet {
	f := newFleet(n, domains)
	f.promote()
	f.mustSpread(t, "first generation")
	f.advance(3*time.Second, nil)
	f.pushes, f.pulls = 0, 0
	return f
}

// watchers are the hosts of a failure domain that watch the store.
func (f *fleet) watchers(domain model.FailureDomain) []*host {
	var found []*host
	for _, h := range f.hosts {
		if h.record.FailureDomain == domain && !h.off && h.r.Watches() {
			found = append(found, h)
		}
	}
	return found
}

// Guards against a tree that misses or repeats hosts, and against pushes that
// carry more than the changed sections.
func TestTreeReachesEveryHostOnceWithChangedSectionsOnly(t *testing.T) {
	f := running(t, 200, 2)
	sections := 0
	f.onPush = func(_ *host, p configreplica.Push) { sections = max(sections, len(p.Delta.Changed)) }
	f.promote()
	f.advance(step, nil)
	if n := f.behind(); n > 0 {
		t.Errorf("%d hosts behind after one step", n)
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

// Guards against a first watcher that falls silent and holds back its failure
// domain. Probes would hide the fault, so there are none.
func TestStandbyFeedsWhenTheFirstWatcherIsSilent(t *testing.T) {
	f := running(t, 60, 2)
	for _, h := range f.watchers("domain-1") {
		h.silent = h.r.IsFirstWatcher()
	}
	f.noProbes = true
	f.promote()
	f.mustSpread(t, "silent first watcher")
}

// Guards against watchers that are cut off from the store and hold back their
// failure domain although others have the change.
func TestWatchersWithoutStoreLearnFromOtherDomains(t *testing.T) {
	f := running(t, 120, 4)
	f.storeCut = func(r model.HostRecord) bool { return r.FailureDomain == "domain-1" }
	f.promote()
	f.mustSpread(t, "watchers without store")
}

// Guards against a dead child whose subtree is left out.
func TestPushGoesAroundADeadChild(t *testing.T) {
	f := running(t, 60, 1)
	f.noProbes = true
	for i := range 20 {
		f.hosts[i].off = !f.hosts[i].r.Watches()
	}
	f.promote()
	f.mustSpread(t, "dead children")
}

// Guards against a host that missed a push, or whose base differs, and stays
// behind because nothing repairs it.
func TestMissedPushIsRepairedByPull(t *testing.T) {
	f := running(t, 40, 2)
	island := f.hosts[11].record.Host
	f.cut = func(a, b model.HostRecord) bool { return a.Host == island || b.Host == island }
	f.promote()
	f.advance(2*time.Second, nil)
	f.cut = func(a, b model.HostRecord) bool { return false }
	f.mustSpread(t, "island")
	if f.pulls == 0 {
		t.Error("no pull was needed: the test lost nothing")
	}
}

// Guards against hosts that restart during a long store outage and never get
// ready, or get ready with a generation that one lagging domain holds.
func TestRestartDuringStoreOutage(t *testing.T) {
	f := running(t, 24, 4)
	lagging := model.FailureDomain("domain-2")
	f.cut = func(a, b model.HostRecord) bool {
		return (a.FailureDomain == lagging) != (b.FailureDomain == lagging)
	}
	f.storeCut = func(r model.HostRecord) bool { return r.FailureDomain == lagging }
	f.promote()
	f.advance(inForce, nil)
	f.down = true
	f.advance(time.Hour, nil)
	newcomer := f.hosts[2] // of the lagging domain
	f.restart(2)
	f.updateMembers()
	f.advance(3*time.Second, nil)
	if newcomer.r.Ready() {
		t.Errorf("ready with generation %d of the lagging domain alone", newcomer.r.Current().Generation)
	}
	f.cut = func(a, b model.HostRecord) bool { return false }
	f.advance(3*time.Second, nil)
	if g := newcomer.r.Current().Generation; !newcomer.r.Ready() || g != f.stored.Generation {
		t.Errorf("ready %v with generation %d, want %d", newcomer.r.Ready(), g, f.stored.Generation)
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
			t.Errorf("%s not ready although one failure domain holds the configuration", h.record.Host)
		}
	}
}

// Guards against deltas that do not rebuild the document byte by byte.
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
				t.Errorf("%d to %d: delta with another digest was applied", i, j)
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

// register is a register with conditional updates.
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

// Guards against a generation that is not in force 6 s after acceptance or
// falls back: every host's generation must be that of a register at some
// moment of the last 6 s, under racing writers, restarts and lost hosts.
func TestHistoryOfGenerationsInForce(t *testing.T) {
	f := running(t, 30, 4)
	start := f.now
	writes := []porcupine.Operation{{Input: operation{write: true}, Output: operation{ok: true, version: 1}, Call: -int64(time.Hour), Return: -int64(time.Hour) + 1}}
	reads := make(map[model.HostID][]porcupine.Operation)
	highest := make(map[model.HostID]model.Generation)
	observe := func() {
		at := int64(f.now.Sub(start))
		for i, h := range f.hosts {
			g := h.r.Current().Generation
			if h.off {
				highest[h.record.Host] = 0
				continue
			}
			if g < highest[h.record.Host] {
				t.Errorf("%s fell from generation %d to %d", h.record.Host, highest[h.record.Host], g)
			}
			highest[h.record.Host] = g
			if h.r.Ready() && at%int64(time.Second) == 0 {
				reads[h.record.Host] = append(reads[h.record.Host], porcupine.Operation{ClientId: i, Input: operation{}, Output: operation{version: g}, Call: at - int64(inForce), Return: at})
			}
		}
	}
	for round := range 12 {
		read := f.stored.Generation
		for writer := range 2 {
			at := int64(f.now.Sub(start)) + int64(writer)
			ok := f.stored.Generation == read
			if ok {
				f.promote()
			}
			writes = append(writes, porcupine.Operation{ClientId: 1000 + writer, Input: operation{write: true, ifVersion: read}, Output: operation{ok: ok, version: f.stored.Generation}, Call: at, Return: at + 1})
		}
		lost := f.hosts[f.rng.Intn(len(f.hosts))]
		lost.off = true
		f.advance(time.Duration(1+round%5)*time.Second, observe)
		f.restart(f.indexOf(lost))
		f.updateMembers()
	}
	for id, history := range reads {
		if !porcupine.CheckOperations(register, append(history, writes...)) {
			t.Errorf("%s: its generations are not those of the register within %v", id, inForce)
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

// BenchmarkChange measures one configuration change of one section in one
// failure domain: bytes and time per member, and the share of the first
// watcher, which sends to the children of the root.
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
	f.promote()
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
		f.promote()
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
