// Package rendezvous assigns keys to members by rendezvous hashing, so that hosts
// with the same membership view agree without communication.
package rendezvous

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous score of a member for a key, which is a hash of
// both.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// scored is a member with its score for one key.
type scored struct {
	member string
	score  uint64
}

// compareScored orders members by descending score, then by name.
func compareScored(a, b scored) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.member, b.member)
}

// Rank returns the members in descending order of their score for the key.
func Rank(key string, members []string) []string {
	// Each score is computed once, because the sort compares each member several
	// times.
	ranking := make([]scored, len(members))
	for i, member := range members {
		ranking[i] = scored{member, Score(key, member)}
	}
	slices.SortFunc(ranking, compareScored)
	ranked := make([]string, len(members))
	for i, entry := range ranking {
		ranked[i] = entry.member
	}
	return ranked
}

// Assign assigns each key to one member, with at most ceil(keys/members) keys per
// member: a key whose most preferred member is full goes to the next one. Keys
// are assigned in sorted order, so the result depends only on the two sets.
func Assign(keys, members []string) map[string]string {
	assigned := make(map[string]string, len(keys))
	if len(members) == 0 {
		return assigned
	}
	maxKeys := (len(keys) + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	sorted := append([]string(nil), keys...)
	sort.Strings(sorted)
	for _, key := range sorted {
		for _, member := range Rank(key, members) {
			if load[member] < maxKeys {
				load[member]++
				assigned[key] = member
				break
			}
		}
	}
	return assigned
}
