package model

import (
	"cmp"
	"fmt"
)

// Era counts how often the platform's store has come back from an older copy of
// itself. It is 0 until the store has stated one.
type Era uint64

// Position is a point in the history of the platform's store. A store that has come
// back from an older copy gives revisions out again in a higher era, so revisions are
// ordered within an era only.
type Position struct {
	Era      Era
	Revision uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Later returns the later one of p and q.
func (p Position) Later(q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// IsZero reports whether nothing was read from the store; its revisions start above 0.
func (p Position) IsZero() bool { return p.Revision == 0 }

// String returns the position as it is logged.
func (p Position) String() string { return fmt.Sprintf("revision %d of era %d", p.Revision, p.Era) }
