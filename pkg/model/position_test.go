package model

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a revision of an earlier era that counts as later.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []Position{{}, {0, 1}, {0, 900}, {1, 0}, {1, 3}, {1, 700}, {2, 5}}
	for i, p := range ordered {
		for j, q := range ordered {
			if got, want := p.Before(q), i < j; got != want {
				t.Errorf("(%v).Before(%v) = %v, want %v", p, q, got, want)
			}
			if got, want := p.After(q), i > j; got != want {
				t.Errorf("(%v).After(%v) = %v, want %v", p, q, got, want)
			}
			if got, want := p.Later(q), ordered[max(i, j)]; got != want {
				t.Errorf("(%v).Later(%v) = %v, want %v", p, q, got, want)
			}
		}
	}
}

// Guards against an order in which no host is the most recent one.
func TestOrderOfPositionsIsTotal(t *testing.T) {
	position := rapid.Custom(func(t *rapid.T) Position {
		return Position{Era(rapid.Uint64Range(0, 2).Draw(t, "era")), rapid.Uint64Range(0, 3).Draw(t, "revision")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := position.Draw(t, "a"), position.Draw(t, "b"), position.Draw(t, "c")
		if a.Compare(b) != -b.Compare(a) || (a.Compare(b) == 0) != (a == b) {
			t.Fatalf("%v and %v: %d and %d", a, b, a.Compare(b), b.Compare(a))
		}
		if a.Before(b) && b.Before(c) && !a.Before(c) {
			t.Fatalf("%v, %v and %v are not in order", a, b, c)
		}
	})
}
