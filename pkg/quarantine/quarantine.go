// Package quarantine records requests that crash backend servers. A request that
// ran on a crashed server is a suspect and runs only alone on a server; if it
// crashes that one too, it is convicted and refused. The package does no I/O and
// is not safe for concurrent use.
package quarantine

import (
	"container/list"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/atmostonce"
)

// Lifetimes are how long the statuses are kept.
type Lifetimes struct {
	Suspect, Convicted time.Duration
}

// DefaultLifetimes keep a status for longer than callers resend a request.
var DefaultLifetimes = Lifetimes{Suspect: 10 * time.Minute, Convicted: 10 * time.Minute}

func (l Lifetimes) lifetime(status Status) time.Duration {
	if status == Convicted {
		return l.Convicted
	}
	return l.Suspect
}

// DefaultMaxEntries bounds a table to about 2 MB.
const DefaultMaxEntries = 10_000

// Hash identifies the content of a request.
type Hash = atmostonce.BodyHash

// HashOf returns the hash of a request's content. The request ID is not part of
// it, because a caller may resend the same content with a new ID.
func HashOf(service, path string, body []byte) Hash {
	return atmostonce.HashParts([]byte(service), []byte(path), body)
}

// Status is the quarantine status of a request's content.
type Status int

// Statuses, in ascending order of severity.
const (
	Clear Status = iota
	Suspect
	Convicted
)

// Table holds the status of request contents.
type Table struct {
	max       int
	lifetimes Lifetimes
	entries   map[Hash]*entry
	// byStatus holds the entries of each status in order of expiry.
	byStatus map[Status]*list.List
}

type entry struct {
	hash    Hash
	status  Status
	expires time.Time
	element *list.Element
}

// NewTable returns an empty table of at most maxEntries.
func NewTable(maxEntries int, lifetimes Lifetimes) *Table {
	return &Table{
		max:       maxEntries,
		lifetimes: lifetimes,
		entries:   make(map[Hash]*entry),
		byStatus:  map[Status]*list.List{Suspect: list.New(), Convicted: list.New()},
	}
}

// Len returns the number of entries. While it is 0, requests need not be hashed.
func (t *Table) Len() int { return len(t.entries) }

// Counts returns the numbers of suspected and convicted request contents.
func (t *Table) Counts(now time.Time) (suspected, convicted int) {
	t.expire(now)
	for _, e := range t.entries {
		switch e.status {
		case Suspect:
			suspected++
		case Convicted:
			convicted++
		}
	}
	return suspected, convicted
}

// Status returns the status of a request content.
func (t *Table) Status(h Hash, now time.Time) Status {
	t.expire(now)
	if known := t.entries[h]; known != nil {
		return known.status
	}
	return Clear
}

// Crashed records that a server crashed while it ran the request, and returns
// the new status. Only a suspect that ran alone is convicted: beside other work,
// it is not certain which request caused the crash.
func (t *Table) Crashed(h Hash, exclusive bool, now time.Time) Status {
	status := Suspect
	if exclusive && t.Status(h, now) >= Suspect {
		status = Convicted
	}
	t.Raise(h, status, now)
	return t.Status(h, now)
}

// Completed records that a server completed the request and reports whether this
// cleared a suspect. Completion beside other work proves nothing, because the
// suspicion may be newer than the start of the request.
func (t *Table) Completed(h Hash, exclusive bool, now time.Time) bool {
	if !exclusive || t.Status(h, now) != Suspect {
		return false
	}
	t.remove(t.entries[h])
	return true
}

// Raise applies a status that another host reported. It never lowers a status.
func (t *Table) Raise(h Hash, status Status, now time.Time) {
	if status == Clear || t.Status(h, now) > status {
		return
	}
	if known := t.entries[h]; known != nil {
		t.remove(known)
	}
	if len(t.entries) >= t.max {
		t.evict()
	}
	added := &entry{hash: h, status: status, expires: now.Add(t.lifetimes.lifetime(status))}
	added.element = t.byStatus[status].PushBack(added)
	t.entries[h] = added
}

// Clear removes a suspect that another host cleared. A conviction stays.
func (t *Table) Clear(h Hash) {
	if known := t.entries[h]; known != nil && known.status == Suspect {
		t.remove(known)
	}
}

// evict removes the oldest suspect, or the oldest conviction if there is no
// suspect: a lost suspicion costs one more crash, a lost conviction two.
func (t *Table) evict() {
	for _, status := range []Status{Suspect, Convicted} {
		if front := t.byStatus[status].Front(); front != nil {
			t.remove(front.Value.(*entry))
			return
		}
	}
}

func (t *Table) expire(now time.Time) {
	for _, entries := range t.byStatus {
		for front := entries.Front(); front != nil; front = entries.Front() {
			oldest := front.Value.(*entry)
			if now.Before(oldest.expires) {
				break
			}
			t.remove(oldest)
		}
	}
}

func (t *Table) remove(old *entry) {
	t.byStatus[old.status].Remove(old.element)
	delete(t.entries, old.hash)
}
