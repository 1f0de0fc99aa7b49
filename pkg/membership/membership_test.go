package membership_test

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

func started(t *testing.T, n int) *fleet {
	f := newFleet(n, membership.DefaultConfig())
	mustWithin(t, f, 10*time.Second, "all hosts see each other", func() bool { return f.converged(n) })
	return f
}

// Guards against a dead host that stays in the view, and against a whole
// failure domain that is noticed only one host after the other.
func TestFailureDomainGoneIsMarkedDead(t *testing.T) {
	f := started(t, 20)
	for i := 0; i < 20; i += 4 {
		f.hosts[i].off = true
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

// Guards against a host that is judged dead by those that cannot reach it
// although others can.
func TestIndirectProbesCoverOneBrokenPath(t *testing.T) {
	f := started(t, 10)
	broken := func(a, b model.HostID) bool { return a == f.hosts[1].id && b == f.hosts[2].id }
	f.cut = func(a, b model.HostRecord) bool { return broken(a.Host, b.Host) || broken(b.Host, a.Host) }
	for range 300 {
		f.advance(step)
		if !f.allSee(f.hosts[2].id, model.HostReady) || !f.allSee(f.hosts[1].id, model.HostReady) {
			t.Fatal("a host with one broken path was suspected")
		}
	}
}

// Guards against a resumed host that stays dead in the others' views, and
// against one that judges others by timers that ran out while it was frozen.
func TestFrozenHostIsBuriedAndRefutesAfterResuming(t *testing.T) {
	f := started(t, 12)
	id := f.hosts[5].id
	f.frozen[id] = true
	mustWithin(t, f, 8*time.Second, "frozen host dead", func() bool { return f.allSee(id, model.HostDead) })
	f.advance(time.Minute)
	f.frozen[id] = false
	mustWithin(t, f, time.Second, "resumed host ready again", func() bool { return f.allSee(id, model.HostReady) })
	for _, r := range f.hosts[5].m.Records() {
		if r.State != model.HostReady {
			t.Errorf("resumed host holds %s as %s", r.Host, r.State)
		}
	}
}

// Guards against a resumed host that buries a live host because a suspicion
// ran out while the process was frozen.
func TestFrozenHostDoesNotBuryOnItsOldTimers(t *testing.T) {
	f := started(t, 12)
	frozen, target := f.hosts[5], f.hosts[3]
	mark := target.m.Self()
	mark.State = model.HostSuspect
	frozen.m.Received(f.now, membership.Message{From: f.hosts[1].m.Self(), Records: []model.HostRecord{mark}})
	f.frozen[frozen.id] = true
	f.advance(time.Minute)
	f.frozen[frozen.id] = false
	buried := 0
	f.onSend = func(_ string, m membership.Message) {
		for _, r := range m.Records {
			if r.Host == target.id && r.State == model.HostDead {
				buried++
			}
		}
	}
	f.advance(5 * time.Second)
	if buried > 0 {
		t.Errorf("%d messages held a live host dead after resuming", buried)
	}
}

// Guards against a suspected live host that never learns of the suspicion.
func TestSuspectedHostRefutesBeforeItIsBuried(t *testing.T) {
	f := started(t, 8)
	target := f.hosts[3]
	mark := target.m.Self()
	mark.State = model.HostSuspect
	f.hosts[0].m.Received(f.now, membership.Message{From: f.hosts[1].m.Self(), Records: []model.HostRecord{mark}})
	for range 50 {
		f.advance(step)
		for _, h := range f.hosts {
			if r, _ := h.m.Record(target.id); r.State == model.HostDead {
				t.Fatal("a live host was buried")
			}
		}
	}
	if got := target.m.Self().Sequence; got <= mark.Sequence {
		t.Errorf("sequence after refutation is %d, want above %d", got, mark.Sequence)
	}
	if !f.allSee(target.id, model.HostReady) {
		t.Error("the refutation did not reach everyone")
	}
}

// Guards against a record of an earlier start that hides a restarted host,
// and against a leftover of the earlier process that goes on.
func TestRestartedHostReplacesItsEarlierRecord(t *testing.T) {
	f := started(t, 8)
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
	f := started(t, 12)
	leaver := f.hosts[7]
	f.run(leaver, leaver.m.Leave(f.now))
	leaver.off = true
	mustWithin(t, f, time.Second, "host left", func() bool { return f.allSee(leaver.id, model.HostLeft) })
	f.advance(f.cfg.DeadRetention + time.Minute)
	for _, h := range f.hosts {
		if _, known := h.m.Record(leaver.id); known && h != leaver {
			t.Errorf("%s still has the record", h.id)
		}
	}
}

// Guards against regions that stay apart after a partition has healed: each
// holds the other dead and neither probes the other any more.
func TestPartitionedRegionsMeetAgainAfterHealing(t *testing.T) {
	f := started(t, 20)
	f.cut = func(a, b model.HostRecord) bool { return a.Region != b.Region }
	mustWithin(t, f, 10*time.Second, "each region sees only itself", func() bool { return f.converged(10) })
	f.advance(5 * time.Minute)
	f.cut = func(a, b model.HostRecord) bool { return false }
	mustWithin(t, f, 20*time.Second, "all see each other", func() bool { return f.converged(20) })
}

// Guards against a change whose messages were all lost: no host spreads it
// any more, so only the digest shows that views differ.
func TestLostChangeIsRepairedByDigest(t *testing.T) {
	f := started(t, 12)
	island := f.hosts[9]
	f.advance(time.Minute)
	source := f.hosts[2].id
	f.cut = func(a, b model.HostRecord) bool {
		return a.Host == island.id && b.Host == source || a.Host == source && b.Host == island.id
	}
	f.strip = func(to model.HostID) bool { return to == island.id }
	const address = "127.0.0.1:20000"
	f.hosts[2].m.Update(f.now, func(r *model.HostRecord) { r.CallerAddress = address })
	f.advance(20 * time.Second)
	f.strip = nil
	mustWithin(t, f, time.Minute, "island has the change", func() bool {
		r, _ := island.m.Record(source)
		return r.CallerAddress == address
	})
}

// Guards against traffic that grows with the number of hosts although nothing
// changes.
func TestQuietFleetSendsNoRecords(t *testing.T) {
	f := started(t, 100)
	f.advance(time.Minute)
	records := 0
	f.onSend = func(_ string, m membership.Message) { records += len(m.Records) }
	f.sent = make(map[string]int)
	f.advance(10 * time.Second)
	if records > 0 || f.sent["push"] > 0 || f.sent["full"] > 0 {
		t.Errorf("quiet fleet sent %d records, %d pushes, %d full exchanges", records, f.sent["push"], f.sent["full"])
	}
	if want := 100 * 20; f.sent["probe"] != want {
		t.Errorf("%d probes in 10 s, want %d", f.sent["probe"], want)
	}
}
