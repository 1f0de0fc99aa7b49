package grant

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

var start = time.Unix(1000, 0)

func anyHost(model.HostID) bool { return true }

// Guards against a restarted dispatcher that accepts the grants of its previous
// incarnation or issues the same slots again before they have expired.
func TestRestartWaitsAndRefusesOldGrants(t *testing.T) {
	before := NewLedger(1)
	before.SetServer(start, "a", 4)
	now := start.Add(Lifetime)
	old, ok := before.Issue(now, "owner", 2, 4)
	if !ok {
		t.Fatal("no grant")
	}
	after := NewLedger(2)
	after.SetServer(now, "a", 4)
	if code := after.Start(now, old.ID, "owner"); code != result.NoGrant {
		t.Errorf("start under a grant of the previous incarnation: %v, want %v", code, result.NoGrant)
	}
	if _, ok := after.Issue(now.Add(Lifetime-1), "owner", 1, 4); ok {
		t.Error("a new dispatcher issued a grant before the old grants had expired")
	}
	now = now.Add(Lifetime)
	if fresh, ok := after.Issue(now, "owner", 1, 4); !ok || fresh.ID.Sequence != old.ID.Sequence {
		t.Fatalf("grant %v, %v, want sequence %d", fresh.ID, ok, old.ID.Sequence)
	}
	if code := after.Start(now, old.ID, "owner"); code != result.NoGrant {
		t.Errorf("start under an old grant with the sequence of a new one: %v, want %v", code, result.NoGrant)
	}
}

// Guards against an owner that uses a grant after it has expired on the
// dispatcher, and against unused slots that stay reserved.
func TestPoolExpiresAndReturns(t *testing.T) {
	p := NewPool()
	p.Add(start, "d", "desk", Grant{ID: ID{1, 1}, Count: 3})
	slot, ok := p.Acquire(start, "desk", anyHost)
	if !ok {
		t.Fatal("no slot")
	}
	if got := p.TakeUnused(start.Add(unusedTime)); len(got) != 1 || got[0].Count != 2 {
		t.Errorf("surplus %v, want 2 slots", got)
	}
	if _, ok := p.Acquire(start.Add(unusedTime), "desk", anyHost); ok {
		t.Error("a returned slot was used")
	}
	p.Release(slot)
	if _, ok := p.Acquire(start.Add(Lifetime), "desk", anyHost); ok {
		t.Error("an expired grant was used")
	}
}

// Guards against grants that together exceed the slots of the servers, while a
// dispatcher restarts or is replaced before its old grants have expired.
func TestGrantsNeverExceedSlots(t *testing.T) {
	type live struct {
		count   int
		expires time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		const slots = 6
		now, incarnation := start, model.Incarnation(1)
		ledger := NewLedger(incarnation)
		ledger.SetServer(now, "a", slots)
		all := make(map[ID]live)
		running := make(map[ID]int)
		grants := func() (ids []ID, sum int) {
			for id, g := range all {
				if now.Before(g.expires) {
					sum += g.count
					ids = append(ids, id)
				}
			}
			return ids, sum
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				g, ok := ledger.Issue(now, "owner", rapid.IntRange(1, 9).Draw(t, "want"), 99)
				if ok {
					all[g.ID] = live{g.Count, now.Add(Lifetime)}
				}
			},
			"local":  func(*rapid.T) { ledger.StartLocal(now) },
			"finish": func(*rapid.T) { ledger.FinishLocal() },
			"start": func(t *rapid.T) {
				if ids, _ := grants(); len(ids) > 0 {
					id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "grant")]
					if ledger.Start(now, id, "owner") == result.Served {
						running[id]++
					}
				}
			},
			"end": func(*rapid.T) {
				for id, n := range running {
					if n > 0 {
						ledger.Finish(now, id)
						running[id]--
					}
				}
			},
			"restart": func(*rapid.T) {
				incarnation++
				ledger = NewLedger(incarnation)
				ledger.SetServer(now, "a", slots)
				running = make(map[ID]int)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if _, sum := grants(); sum > slots {
					t.Fatalf("%d slots granted, %d exist", sum, slots)
				}
				if used := ledger.Reserved(now) + ledger.local; used > slots {
					t.Fatalf("%d slots granted or in use, %d exist", used, slots)
				}
			},
		})
	})
}

// Guards against a region that is overloaded because many entry hosts of other
// regions decide at the same time by a measurement that is 5 s old. Each host uses
// the number of spare slots of 5 s ago and sends as many requests as its grants
// allow, plus one that requests a grant.
func TestRegionIsNotOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, dispatchers, slots = 12, 6, 9
		var ledgers []*Ledger
		now := start
		for i := range dispatchers {
			l := NewLedger(model.Incarnation(i + 1))
			l.SetServer(now, "a", slots)
			ledgers = append(ledgers, l)
		}
		pools := make([]*Pool, hosts)
		for i := range pools {
			pools[i] = NewPool()
		}
		measured := dispatchers * slots // all were idle 5 s ago
		now = now.Add(Lifetime)
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			for _, l := range ledgers {
				for range rapid.IntRange(0, slots).Draw(t, "local") {
					l.StartLocal(now)
				}
			}
			arrived := sendAll(now, ledgers, pools, measured)
			load := arrived
			for _, l := range ledgers {
				load += l.local
			}
			if load > dispatchers*slots+hosts {
				t.Fatalf("load %d in a region of %d slots, with %d hosts of other regions", load, dispatchers*slots, hosts)
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// sendAll makes every host request a grant from one dispatcher and then send as
// many requests as it may. It returns the number of requests that reach the region.
func sendAll(now time.Time, ledgers []*Ledger, pools []*Pool, measured int) int {
	arrived := 0
	for i, p := range pools {
		arrived++ // the request for the grant
		d := i % len(ledgers)
		if g, ok := ledgers[d].Issue(now, "owner", measured, measured); ok {
			p.Add(now, "d", "desk", g)
		}
	}
	for _, p := range pools {
		for range measured {
			if _, ok := p.Acquire(now, "desk", anyHost); ok {
				arrived++
			}
		}
	}
	return arrived
}
