// Package quarantine remembers requests that crash backend servers. A request
// that ran on a crashed server is a suspect and runs only alone on a server;
// if it crashes that one too, it is convicted and refused. The package does no
// I/O and is not safe for concurrent use.
package quarantine

import (
	"container/list"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/atmostonce"
)

// Lifetimes are how long standings are remembered.
type Lifetimes struct {
	Suspect, Convicted time.Duration
}

// DefaultLifetimes remember a request for longer than callers resend it.
var DefaultLifetimes = Lifetimes{Suspect: 10 * time.Minute, Convicted: 10 * time.Minute}

func (l Lifetimes) of(standing Status) time.Duration {
	if standing == Convicted {
		return l.Convicted
	}
	return l.Suspect
}

// DefaultMaxEntries bounds a table to about 2 MB.
const DefaultMaxEntries = 10_000

// Hash identifies the content of a request.
type Hash = atmostonce.BodyHash

// HashOf returns the hash of a request's content. The request ID is not part
// of it: a caller may resend the same content under a new ID.
func HashOf(service, path string, body []byte) Hash {
	return atmostonce.HashParts([]byte(service), []byte(path), body)
}

// Status is what is known of a request's content.
type Status int

// Standings, in ascending order of severity.
const (
	Clear Status = iota
	Suspect
	Convicted
)

// Table holds the standing of contents.
type Table struct {
	max      int
	remember Lifetimes
	entries  map[Hash]*entry
	// byStanding holds the entries of each standing in order of expiry.
	byStanding map[Status]*list.List
}

type entry struct {
	hash     Hash
	standing Status
	expires  time.Time
	element  *list.Element
}

// NewTable returns an empty table of at most maxEntries.
func NewTable(maxEntries int, remember Lifetimes) *Table {
	return &Table{
		max:        maxEntries,
		remember:   remember,
		entries:    make(map[Hash]*entry),
		byStanding: map[Status]*list.List{Suspect: list.New(), Convicted: list.New()},
	}
}

// Len returns the number of entries. While it is 0, no content needs a hash.
func (t *Table) Len() int { return len(t.entries) }

// Counts returns the numbers of suspected and convicted contents.
func (t *Table) Counts(now time.Time) (suspected, convicted int) {
	t.expire(now)
	for _, e := range t.entries {
		switch e.standing {
		case Suspect:
			suspected++
		case Convicted:
			convicted++
		}
	}
	return suspected, convicted
}

// Status returns the standing of a content.
func (t *Table) Status(h Hash, now time.Time) Status {
	t.expire(now)
	if known := t.entries[h]; known != nil {
		return known.standing
	}
	return Clear
}

// Crashed records that a server crashed while it ran the content, and returns
// the new standing. Only a suspect that ran alone is convicted: beside other
// work it is not certain which request caused the crash.
func (t *Table) Crashed(h Hash, alone bool, now time.Time) Status {
	standing := Suspect
	if alone && t.Status(h, now) >= Suspect {
		standing = Convicted
	}
	t.Raise(h, standing, now)
	return t.Status(h, now)
}

// Completed records that a server survived the content and reports whether
// this cleared a suspect. Completion beside other work proves nothing, since
// the suspicion may be newer than its start.
func (t *Table) Completed(h Hash, alone bool, now time.Time) bool {
	if !alone || t.Status(h, now) != Suspect {
		return false
	}
	t.remove(t.entries[h])
	return true
}

// Raise takes over a standing that another host reported. It never lowers one.
func (t *Table) Raise(h Hash, standing Status, now time.Time) {
	if standing == Clear || t.Status(h, now) > standing {
		return
	}
	if known := t.entries[h]; known != nil {
		t.remove(known)
	}
	if len(t.entries) >= t.max {
		t.evict()
	}
	added := &entry{hash: h, standing: standing, expires: now.Add(t.remember.of(standing))}
	added.element = t.byStanding[standing].PushBack(added)
	t.entries[h] = added
}

// Clear takes over that another host cleared a suspect. A conviction stays.
func (t *Table) Clear(h Hash) {
	if known := t.entries[h]; known != nil && known.standing == Suspect {
		t.remove(known)
	}
}

// evict removes the oldest suspect, or the oldest conviction if there is none:
// a lost suspicion costs one more crash, a lost conviction two.
func (t *Table) evict() {
	for _, standing := range []Status{Suspect, Convicted} {
		if front := t.byStanding[standing].Front(); front != nil {
			t.remove(front.Value.(*entry))
			return
		}
	}
}

func (t *Table) expire(now time.Time) {
	for _, order := range t.byStanding {
		for front := order.Front(); front != nil; front = order.Front() {
			oldest := front.Value.(*entry)
			if now.Before(oldest.expires) {
				break
			}
			t.remove(oldest)
		}
	}
}

func (t *Table) remove(old *entry) {
	t.byStanding[old.standing].Remove(old.element)
	delete(t.entries, old.hash)
}
