package steering

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// variantsPerHost is the number of host lists that start with one host of
// weight 1. When the host stops, its lists start with as many other hosts, so
// none of them takes over its whole load.
const variantsPerHost = 8

// maxHostWeight bounds the lists of one host.
const maxHostWeight = 8

// noHost marks an unused place in a host list.
const noHost = ^uint16(0)

// variant is a list of hosts of one region, most preferred first. The first
// two are in different failure domains if the region has two with usable
// hosts.
type variant [homeHosts]uint16

// member is one host of a region, usable or not.
type member struct {
	id       model.HostID
	fragment *fragment
	weight   float64
	usable   bool
}

// regionHosts are the host lists of one region. Blocks choose a list by their
// hash. It is immutable.
type regionHosts struct {
	members  []member
	variants []variant
	usable   int
}

// newRegionHosts builds the lists from members in the order of their IDs.
// Hosts that are not usable keep their lists, which then start with another
// host: a host that stops or returns moves no other host's blocks.
func newRegionHosts(members []member) *regionHosts {
	r := &regionHosts{members: members}
	candidates := make([]candidate, 0, len(members))
	for i, m := range members {
		if m.usable {
			candidates = append(candidates, newCandidate(uint16(i), m))
		}
	}
	r.usable = len(candidates)
	if r.usable == 0 {
		return r
	}
	for i, m := range members {
		own := newCandidate(uint16(i), m)
		lists := max(1, int(math.Round(min(m.weight, maxHostWeight)*variantsPerHost)))
		for k := range lists {
			r.variants = append(r.variants, newVariant(own, m.usable, mix(own.hash, uint64(k)), candidates))
		}
	}
	return r
}

// candidate is a usable host while lists are built.
type candidate struct {
	hash, domain uint64
	place        uint16
}

func newCandidate(place uint16, m member) candidate {
	return candidate{
		hash:   xxhash.Sum64String(string(m.id)),
		domain: xxhash.Sum64String(string(m.fragment.host.FailureDomain)),
		place:  place,
	}
}

// newVariant lists the own host first and the others in the order of their
// rendezvous scores for the key, but one of another failure domain second.
func newVariant(own candidate, ownUsable bool, key uint64, candidates []candidate) variant {
	first := own
	if !ownUsable {
		first = highest(key, candidates)
	}
	var rest [homeHosts - 1]scored
	var other scored
	for _, c := range candidates {
		if c.place == first.place {
			continue
		}
		s := scored{score: mix(key, c.hash), place: c.place, set: true}
		insert(rest[:], s)
		if c.domain != first.domain && s.before(other) {
			other = s
		}
	}
	return first.list(other, rest[:])
}

func highest(key uint64, candidates []candidate) candidate {
	return slices.MaxFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(mix(key, a.hash), mix(key, b.hash))
	})
}

// scored is a candidate with its score for one list.
type scored struct {
	score uint64
	place uint16
	set   bool
}

func (s scored) before(other scored) bool {
	return !other.set || s.score > other.score
}

// insert puts s in its place among the highest scores.
func insert(list []scored, s scored) {
	last := len(list) - 1
	if !s.before(list[last]) {
		return
	}
	list[last] = s
	for i := last; i > 0 && list[i].before(list[i-1]); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
}

// list returns the host itself, the one of another failure domain and the
// rest, each once.
func (c candidate) list(other scored, rest []scored) variant {
	v := variant{c.place, noHost, noHost, noHost}
	count := 1
	if other.set {
		v[count] = other.place
		count++
	}
	for _, s := range rest {
		if s.set && count < len(v) && (!other.set || s.place != other.place) {
			v[count] = s.place
			count++
		}
	}
	return v
}

// hosts returns the list for a block.
func (r *regionHosts) hosts(blockHash uint32) variant {
	return r.variants[uint64(blockHash)*uint64(len(r.variants))>>32]
}

// Levels of use: hosts of a lower level are named only while no host of a
// higher one exists anywhere.
const (
	neverNamed = iota
	// A stopping host still accepts requests for the cache time.
	lastResort
	// A suspect host often runs; the suspicion may be wrong.
	secondChoice
	firstChoice
)

func levelOf(h model.HostRecord) int {
	if h.CallerAddress == "" {
		return neverNamed
	}
	switch h.State {
	case model.HostReady:
		return firstChoice
	case model.HostSuspect:
		return secondChoice
	case model.HostStopping:
		return lastResort
	}
	return neverNamed
}
