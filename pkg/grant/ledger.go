// Package grant limits the work that entry hosts of other regions send to a
// dispatcher. A grant allows its holder a number of concurrent requests for
// five seconds.
//
// The dispatcher issues grants from a Ledger; the owner keeps the grants that it
// received in a Pool. Neither type is safe for concurrent use.
package grant

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Lifetime is how long a grant is valid.
const Lifetime = 5 * time.Second

// ID identifies a grant among those of one dispatcher.
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
// grants and requests that run without a grant together never exceed the slots.
type Ledger struct {
	incarnation model.Incarnation
	sequence    uint64
	servers     map[model.ServerID]serverSlots
	grants      []*issuedGrant // in order of issue
	local       int            // running requests that need no grant
}

type serverSlots struct {
	slots int
	// since is the time at which the server was added.
	since time.Time
}

// issuedGrant is an outstanding grant, or an expired one under which requests still
// run.
type issuedGrant struct {
	id      ID
	holder  model.HostID
	count   int
	used    int
	expires time.Time
}

// NewLedger returns the ledger of a dispatcher that has just started.
func NewLedger(incarnation model.Incarnation) *Ledger {
	return &Ledger{incarnation: incarnation, servers: make(map[model.ServerID]serverSlots)}
}

// SetServer adds a server or changes its slots. The slots of a new server are
// granted only after Lifetime, when all grants of its previous dispatcher have
// expired.
func (l *Ledger) SetServer(now time.Time, id model.ServerID, slots int) {
	s, ok := l.servers[id]
	if !ok {
		s.since = now
	}
	s.slots = slots
	l.servers[id] = s
	l.revoke(now)
}

// RemoveServer removes a server. Unused slots of grants that exceed the remaining
// slots are revoked, from the newest grant first.
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

// grantable returns the slots of the servers that were added at least Lifetime ago.
func (l *Ledger) grantable(now time.Time) int {
	total := 0
	for _, s := range l.servers {
		if now.Sub(s.since) >= Lifetime {
			total += s.slots
		}
	}
	return total
}

// Reserved returns the slots that are reserved by outstanding grants or used by
// requests that run under grants.
func (l *Ledger) Reserved(now time.Time) int {
	l.expire(now)
	total := 0
	for _, g := range l.grants {
		total += max(g.count, g.used)
	}
	return total
}

// FreeLocalSlots returns the number of further requests that may start without a
// grant.
func (l *Ledger) FreeLocalSlots(now time.Time) int {
	return max(0, l.Slots()-l.Reserved(now)-l.local)
}

// StartLocal occupies a slot for a request that needs no grant. It reports whether
// one was free.
func (l *Ledger) StartLocal(now time.Time) bool {
	if l.FreeLocalSlots(now) == 0 {
		return false
	}
	l.local++
	return true
}

// FinishLocal releases the slot of a request that needed no grant.
func (l *Ledger) FinishLocal() {
	l.local = max(0, l.local-1)
}

// Issue grants up to want slots. spare is the number of slots that the
// dispatcher's own region does not need. One grant gets at most half of the
// remaining slots, rounded up, so that holders that request grants at the same
// time all get some.
func (l *Ledger) Issue(now time.Time, holder model.HostID, want, spare int) (Grant, bool) {
	remaining := min(spare, l.grantable(now)-l.Reserved(now)-l.local)
	count := min(want, (remaining+1)/2)
	if count <= 0 {
		return Grant{}, false
	}
	l.sequence++
	g := &issuedGrant{
		id:      ID{Incarnation: l.incarnation, Sequence: l.sequence},
		holder:  holder,
		count:   count,
		expires: now.Add(Lifetime),
	}
	l.grants = append(l.grants, g)
	return Grant{ID: g.id, Count: count}, true
}

// Start occupies a slot of a grant for a request. It returns result.NoGrant unless
// the grant is valid, belongs to the holder and has an unused slot.
func (l *Ledger) Start(now time.Time, id ID, holder model.HostID) result.Code {
	l.expire(now)
	g := l.find(id)
	if g == nil || g.holder != holder || g.used >= g.count {
		return result.NoGrant
	}
	g.used++
	return result.Served
}

// Finish releases the slot of a request that ran under a grant.
func (l *Ledger) Finish(now time.Time, id ID) {
	if g := l.find(id); g != nil {
		g.used = max(0, g.used-1)
	}
	l.expire(now)
}

// Return removes unused slots from a grant before it expires.
func (l *Ledger) Return(now time.Time, id ID, holder model.HostID, count int) {
	if g := l.find(id); g != nil && g.holder == holder && count > 0 {
		g.count = max(0, g.count-count)
	}
	l.expire(now)
}

func (l *Ledger) find(id ID) *issuedGrant {
	i := slices.IndexFunc(l.grants, func(g *issuedGrant) bool { return g.id == id })
	if i < 0 {
		return nil
	}
	return l.grants[i]
}

// expire ends grants whose lifetime is over. Requests that run under them occupy
// their slots until they finish.
func (l *Ledger) expire(now time.Time) {
	for _, g := range l.grants {
		if !now.Before(g.expires) {
			g.count = 0
		}
	}
	l.grants = slices.DeleteFunc(l.grants, func(g *issuedGrant) bool { return g.count == 0 && g.used == 0 })
}

// revoke removes unused slots of grants, the newest first, until the ledger no
// longer exceeds its slots or none are left.
func (l *Ledger) revoke(now time.Time) {
	excess := l.Reserved(now) + l.local - l.Slots()
	for i := len(l.grants) - 1; i >= 0 && excess > 0; i-- {
		g := l.grants[i]
		unused := min(excess, max(0, g.count-g.used))
		g.count -= unused
		excess -= unused
	}
	l.expire(now)
}
