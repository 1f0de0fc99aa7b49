package inventory

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a server that has left and is used again because changes that
// the content includes already are applied once more, and against a server that
// is removed by an older removal of its previous entry. Changes reach a host from
// its own watch and from peers, so each part of the history may arrive more than
// once and late.
func TestOldChangesDoNotRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The store's history of two servers: at revision i+1, history[i].
		names := []string{"a", "b"}
		var history []Object
		live := make(map[string]bool)
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			name := rapid.SampledFrom(names).Draw(t, "server")
			o := Object{Name: name, Position: at(uint64(i + 1)), Body: []byte("ready"), Deleted: live[name] && rapid.Bool().Draw(t, "leaves")}
			live[name] = !o.Deleted
			history = append(history, o)
		}
		s := NewState(wordDecoder{}, func(Collection, Object, error) {})
		now := time.Unix(0, 0)
		s.ApplyListing(now, Servers, Batch{})
		applied := 0
		for range rapid.IntRange(1, 30).Draw(t, "batches") {
			// A watch from any revision up to the present one, which returns a part.
			from := rapid.IntRange(0, applied).Draw(t, "from")
			to := rapid.IntRange(from, len(history)).Draw(t, "to")
			s.ApplyChanges(now, Servers, Batch{Objects: history[from:to], Position: at(uint64(to))})
			applied = max(applied, to)
			want := make(map[string]bool)
			for _, o := range history[:applied] {
				want[o.Name] = !o.Deleted
			}
			for _, name := range names {
				if _, used := s.View().Servers[name]; used != want[name] {
					t.Fatalf("server %s is used: %v, want %v after revision %d", name, used, want[name], applied)
				}
			}
		}
	})
}
