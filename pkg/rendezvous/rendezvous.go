// Package rendezvous chooses members for keys by rendezvous hashing, so that
// hosts with the same membership view agree without communication.
package rendezvous

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a member for a key.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

type scored struct {
	member string
	score  uint64
}

func before(a, b scored) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.member, b.member)
}

// Rank returns the members in descending order of their score for the key.
func Rank(key string, members []string) []string {
	// Each score is computed once: the comparisons of a sort would need it
	// again and again.
	ranking := make([]scored, len(members))
	for i, member := range members {
		ranking[i] = scored{member, Score(key, member)}
	}
	slices.SortFunc(ranking, before)
	ranked := make([]string, len(members))
	for i, entry := range ranking {
		ranked[i] = entry.member
	}
	return ranked
}

// Assign gives each key to one member, at most ceil(keys/members) keys each:
// a key whose first choice is full goes to the next one. Keys are handled in
// sorted order, so the result depends only on the two sets.
func Assign(keys, members []string) map[string]string {
	assigned := make(map[string]string, len(keys))
	if len(members) == 0 {
		return assigned
	}
	bound := (len(keys) + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	sorted := append([]string(nil), keys...)
	sort.Strings(sorted)
	for _, key := range sorted {
		for _, member := range Rank(key, members) {
			if load[member] < bound {
				load[member]++
				assigned[key] = member
				break
			}
		}
	}
	return assigned
}
