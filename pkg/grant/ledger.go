// Package grant limits the work that entry hosts of other regions send to a
// dispatcher. A grant allows its holder a number of concurrent requests for
// five seconds.
//
// A Ledger is the dispatcher's side and a Wallet the owner's. Neither is safe
// for concurrent use.
package grant

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Lifetime is how long a grant is valid.
const Lifetime = 5 * time.Second

// ID identifies a grant of one dispatcher.
type ID struct {
	Incarnation model.Incarnation
	Sequence    uint64
}

// Grant allows Count concurrent requests.
type Grant struct {
	ID    ID
	Count int
}

// Ledger accounts for the slots of one service on one dispatcher: outstanding
// grants and local runs together never exceed the slots.
type Ledger struct {
	incarnation model.Incarnation
	sequence    uint64
	servers     map[model.ServerID]serverSlots
	grants      []*issued // in order of issue
	local       int
}

type serverSlots struct {
	slots int
	since time.Time
}

type issued struct {
	id      ID
	holder  model.HostID
	count   int
	used    int
	expires time.Time
}

// NewLedger returns the ledger of a dispatcher that just started.
func NewLedger(incarnation model.Incarnation) *Ledger {
	return &Ledger{incarnation: incarnation, servers: make(map[model.ServerID]serverSlots)}
}

// SetServer adds a server or changes its slots. The slots are granted only
// after Lifetime, when all grants of an earlier dispatcher have expired.
func (l *Ledger) SetServer(now time.Time, id model.ServerID, slots int) {
	s, ok := l.servers[id]
	if !ok {
		s.since = now
	}
	s.slots = slots
	l.servers[id] = s
	l.revoke(now)
}

// RemoveServer takes a server out. Grants that no longer fit are revoked, the
// newest first.
func (l *Ledger) RemoveServer(now time.Time, id model.ServerID) {
	delete(l.servers, id)
	l.revoke(now)
}

// Slots returns the slots of all servers.
func (l *Ledger) Slots() int {
	total := 0
	for _, s := range l.servers {
		total += s.slots
	}
	return total
}

func (l *Ledger) grantable(now time.Time) int {
	total := 0
	for _, s := range l.servers {
		if now.Sub(s.since) >= Lifetime {
			total += s.slots
		}
	}
	return total
}

// Reserved returns the slots that outstanding grants and runs under grants
// hold.
func (l *Ledger) Reserved(now time.Time) int {
	l.expire(now)
	total := 0
	for _, g := range l.grants {
		total += max(g.count, g.used)
	}
	return total
}

// FreeLocalSlots returns how many more local runs may start.
func (l *Ledger) FreeLocalSlots(now time.Time) int {
	return max(0, l.Slots()-l.Reserved(now)-l.local)
}

// StartLocal takes a slot for a run that needs no grant.
func (l *Ledger) StartLocal(now time.Time) bool {
	if l.FreeLocalSlots(now) == 0 {
		return false
	}
	l.local++
	return true
}

// FinishLocal ends a local run.
func (l *Ledger) FinishLocal() {
	l.local = max(0, l.local-1)
}

// Issue grants up to want of the spare slots. The dispatcher passes how many
// slots its own region can spare. One holder gets at most half of what is
// left, so that holders that ask together all get some.
func (l *Ledger) Issue(now time.Time, holder model.HostID, want, spare int) (Grant, bool) {
	left := min(spare, l.grantable(now)-l.Reserved(now)-l.local)
	count := min(want, (left+1)/2)
	if count <= 0 {
		return Grant{}, false
	}
	l.sequence++
	g := &issued{
		id:      ID{Incarnation: l.incarnation, Sequence: l.sequence},
		holder:  holder,
		count:   count,
		expires: now.Add(Lifetime),
	}
	l.grants = append(l.grants, g)
	return Grant{ID: g.id, Count: count}, true
}

// Start begins a run under a grant. It refuses with result.NoGrant unless the
// grant is valid, belongs to the holder and has an unused slot.
func (l *Ledger) Start(now time.Time, id ID, holder model.HostID) result.Code {
	l.expire(now)
	g := l.find(id)
	if g == nil || g.holder != holder || g.used >= g.count {
		return result.NoGrant
	}
	g.used++
	return result.Served
}

// Finish ends a run under a grant.
func (l *Ledger) Finish(now time.Time, id ID) {
	if g := l.find(id); g != nil {
		g.used = max(0, g.used-1)
	}
	l.expire(now)
}

// Return takes back unused slots of a grant before it expires.
func (l *Ledger) Return(now time.Time, id ID, holder model.HostID, count int) {
	if g := l.find(id); g != nil && g.holder == holder && count > 0 {
		g.count = max(0, g.count-count)
	}
	l.expire(now)
}

func (l *Ledger) find(id ID) *issued {
	at := slices.IndexFunc(l.grants, func(g *issued) bool { return g.id == id })
	if at < 0 {
		return nil
	}
	return l.grants[at]
}

// expire ends grants whose time is over. Their runs hold slots until they end.
func (l *Ledger) expire(now time.Time) {
	for _, g := range l.grants {
		if !now.Before(g.expires) {
			g.count = 0
		}
	}
	l.grants = slices.DeleteFunc(l.grants, func(g *issued) bool { return g.count == 0 && g.used == 0 })
}

// revoke takes back unused grants that exceed the slots.
func (l *Ledger) revoke(now time.Time) {
	over := l.Reserved(now) + l.local - l.Slots()
	for i := len(l.grants) - 1; i >= 0 && over > 0; i-- {
		g := l.grants[i]
		unused := min(over, max(0, g.count-g.used))
		g.count -= unused
		over -= unused
	}
	l.expire(now)
}
