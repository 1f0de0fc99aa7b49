package membership_test

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

func newConvergedFleet(t *testing.T, n int) *fleet {
	f := newFleet(n, membership.DefaultConfig())
	mustWithin(t, f, 10*time.Second, "all hosts see each other", func() bool { return f.converged(n) })
	return f
}

// Guards against a dead host that stays in the view, and against a lost failure
// domain whose hosts are detected only one after the other.
func TestFailureDomainGoneIsMarkedDead(t *testing.T) {
	f := newConvergedFleet(t, 20)
	for i := 0; i < 20; i += 4 {
		f.hosts[i].stopped = true
	}
	mustWithin(t, f, 8*time.Second, "five dead hosts of one failure domain", func() bool {
		for i := 0; i < 20; i += 4 {
			if !f.allSee(f.hosts[i].id, model.HostDead) {
				return false
			}
		}
		return true
	})
}

// Guards against a host that is declared dead by those that cannot reach it
// although others can.
func TestIndirectProbesCoverOneBrokenPath(t *testing.T) {
	f := newConvergedFleet(t, 10)
	broken := func(a, b model.HostID) bool { return a == f.hosts[1].id && b == f.hosts[2].id }
	f.partitioned = func(a, b model.HostRecord) bool { return broken(a.Host, b.Host) || broken(b.Host, a.Host) }
	for range 300 {
		f.advance(tickInterval)
		if !f.allSee(f.hosts[2].id, model.HostReady) || !f.allSee(f.hosts[1].id, model.HostReady) {
			t.Fatal("a host with one broken path was suspected")
		}
	}
}

// Guards against a resumed host that stays dead in the views of others, and
// against one that declares others dead by timers that expired while it was
// frozen.
func TestFrozenHostIsDeclaredDeadAndRefutesAfterResuming(t *testing.T) {
	f := newConvergedFleet(t, 12)
	id := f.hosts[5].id
	f.frozen[id] = true
	mustWithin(t, f, 8*time.Second, "frozen host dead", func() bool { return f.allSee(id, model.HostDead) })
	f.advance(time.Minute)
	f.frozen[id] = false
	mustWithin(t, f, time.Second, "resumed host ready again", func() bool { return f.allSee(id, model.HostReady) })
	for _, r := range f.hosts[5].m.Records() {
		if r.State != model.HostReady {
			t.Errorf("resumed host has %s as %s in its view", r.Host, r.State)
		}
	}
}

// Guards against a resumed host that declares a live host dead because the time of
// a suspect expired while the process was frozen.
func TestResumedHostDeclaresNobodyDeadByItsOldTimers(t *testing.T) {
	f := newConvergedFleet(t, 12)
	frozen, target := f.hosts[5], f.hosts[3]
	suspicion := target.m.Self()
	suspicion.State = model.HostSuspect
	frozen.m.Received(f.now, membership.Message{From: f.hosts[1].m.Self(), Records: []model.HostRecord{suspicion}})
	f.frozen[frozen.id] = true
	f.advance(time.Minute)
	f.frozen[frozen.id] = false
	deadRecords := 0
	f.onSend = func(_ string, m membership.Message) {
		for _, r := range m.Records {
			if r.Host == target.id && r.State == model.HostDead {
				deadRecords++
			}
		}
	}
	f.advance(5 * time.Second)
	if deadRecords > 0 {
		t.Errorf("%d records declared a live host dead after resuming", deadRecords)
	}
}

// Guards against a live host that is suspected and is never notified of it.
func TestSuspectedHostRefutesBeforeItIsDeclaredDead(t *testing.T) {
	f := newConvergedFleet(t, 8)
	target := f.hosts[3]
	suspicion := target.m.Self()
	suspicion.State = model.HostSuspect
	f.hosts[0].m.Received(f.now, membership.Message{From: f.hosts[1].m.Self(), Records: []model.HostRecord{suspicion}})
	for range 50 {
		f.advance(tickInterval)
		for _, h := range f.hosts {
			if r, _ := h.m.Record(target.id); r.State == model.HostDead {
				t.Fatal("a live host was declared dead")
			}
		}
	}
	if got := target.m.Self().Sequence; got <= suspicion.Sequence {
		t.Errorf("sequence after refutation is %d, want above %d", got, suspicion.Sequence)
	}
	if !f.allSee(target.id, model.HostReady) {
		t.Error("the refutation did not reach all hosts")
	}
}

// Guards against a record of an earlier incarnation that hides a restarted host,
// and against an earlier process that continues beside its successor.
func TestRestartedHostReplacesItsEarlierRecord(t *testing.T) {
	f := newConvergedFleet(t, 8)
	earlier := f.hosts[4]
	f.advance(300 * time.Millisecond)
	f.start(4)
	mustWithin(t, f, 2*time.Second, "new incarnation everywhere", func() bool {
		for _, h := range f.hosts {
			if r, _ := h.m.Record(earlier.id); r.Incarnation <= earlier.m.Self().Incarnation || r.State != model.HostReady {
				return false
			}
		}
		return true
	})
	f.run(earlier, earlier.m.Received(f.now, f.hosts[0].m.Reply(membership.Message{WantAll: true})))
	if !earlier.m.Superseded() {
		t.Error("the earlier process did not notice its successor")
	}
}

// Guards against a graceful leave that is handled like a failure, and against
// records that are never pruned.
func TestLeaveIsSeenAtOnceAndPruned(t *testing.T) {
	f := newConvergedFleet(t, 12)
	leaver := f.hosts[7]
	f.run(leaver, leaver.m.Leave(f.now))
	leaver.stopped = true
	mustWithin(t, f, time.Second, "host left", func() bool { return f.allSee(leaver.id, model.HostLeft) })
	f.advance(f.cfg.DeadRetention + time.Minute)
	for _, h := range f.hosts {
		if _, known := h.m.Record(leaver.id); known && h != leaver {
			t.Errorf("%s still has the record", h.id)
		}
	}
}

// Guards against regions that stay partitioned after the network has healed
// because each has declared the other dead and does not probe it any more.
func TestPartitionedRegionsMeetAgainAfterHealing(t *testing.T) {
	f := newConvergedFleet(t, 20)
	f.partitioned = func(a, b model.HostRecord) bool { return a.Region != b.Region }
	mustWithin(t, f, 10*time.Second, "each region sees only itself", func() bool { return f.converged(10) })
	f.advance(5 * time.Minute)
	f.partitioned = func(a, b model.HostRecord) bool { return false }
	mustWithin(t, f, 20*time.Second, "all see each other", func() bool { return f.converged(20) })
}

// Guards against a change that is never repaired after all its messages were lost:
// no host disseminates it any more, so only the digest shows that views differ.
func TestLostChangeIsRepairedByDigest(t *testing.T) {
	f := newConvergedFleet(t, 12)
	isolated := f.hosts[9]
	f.advance(time.Minute)
	source := f.hosts[2].id
	f.partitioned = func(a, b model.HostRecord) bool {
		return a.Host == isolated.id && b.Host == source || a.Host == source && b.Host == isolated.id
	}
	f.dropRecords = func(to model.HostID) bool { return to == isolated.id }
	const address = "127.0.0.1:20000"
	f.hosts[2].m.Update(f.now, func(r *model.HostRecord) { r.CallerAddress = address })
	f.advance(20 * time.Second)
	f.dropRecords = nil
	mustWithin(t, f, time.Minute, "isolated host has the change", func() bool {
		r, _ := isolated.m.Record(source)
		return r.CallerAddress == address
	})
}

// Guards against traffic that grows with the number of hosts while nothing changes.
func TestIdleFleetSendsNoRecords(t *testing.T) {
	f := newConvergedFleet(t, 100)
	f.advance(time.Minute)
	records := 0
	f.onSend = func(_ string, m membership.Message) { records += len(m.Records) }
	f.sent = make(map[string]int)
	f.advance(10 * time.Second)
	if records > 0 || f.sent["push"] > 0 || f.sent["full"] > 0 {
		t.Errorf("idle fleet sent %d records, %d pushes, %d full exchanges", records, f.sent["push"], f.sent["full"])
	}
	if want := 100 * 20; f.sent["probe"] != want {
		t.Errorf("%d probes in 10 s, want %d", f.sent["probe"], want)
	}
}
