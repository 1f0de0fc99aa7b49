package steering

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// listsPerHost is the number of host lists that start with the same host, for a
// host of weight 1. When the host stops, each of its lists starts with another
// host by rendezvous score, so no single host receives its whole load.
const listsPerHost = 8

// maxHostWeight limits the weight of a host, and so the number of its lists.
const maxHostWeight = 8

// noHost marks an unused element in a host list.
const noHost = ^uint16(0)

// hostList lists hosts of one region as indexes of its members, most preferred
// first. The first two are in different failure domains if the region has usable
// hosts in two.
type hostList [homeHosts]uint16

// member is one host of a region, usable or not.
type member struct {
	id       model.HostID
	fragment *fragment
	weight   float64
	usable   bool
}

// regionHosts has the host lists of one region. The hash of a block selects its
// list. It is immutable.
type regionHosts struct {
	members []member
	lists   []hostList
	// usable is the number of usable members.
	usable int
}

// newRegionHosts builds the lists from members sorted by ID. A host that is not
// usable keeps its lists, which then start with other hosts, so a host that
// stops or returns does not move the blocks of other hosts.
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
		count := max(1, int(math.Round(min(m.weight, maxHostWeight)*listsPerHost)))
		for k := range count {
			r.lists = append(r.lists, newHostList(own, m.usable, mix(own.hash, uint64(k)), candidates))
		}
	}
	return r
}

// candidate is a usable host while lists are built.
type candidate struct {
	hash, domain uint64
	index        uint16
}

func newCandidate(index uint16, m member) candidate {
	return candidate{
		hash:   xxhash.Sum64String(string(m.id)),
		domain: xxhash.Sum64String(string(m.fragment.host.FailureDomain)),
		index:  index,
	}
}

// newHostList returns a list that starts with the host own, or with the usable
// host of the highest rendezvous score for the key if own is not usable. The
// second host is the highest one in another failure domain, the others follow in
// the order of their scores.
func newHostList(own candidate, ownUsable bool, key uint64, candidates []candidate) hostList {
	first := own
	if !ownUsable {
		first = highest(key, candidates)
	}
	var others [homeHosts - 1]scored
	var otherDomain scored
	for _, c := range candidates {
		if c.index == first.index {
			continue
		}
		s := scored{score: mix(key, c.hash), index: c.index, set: true}
		insert(others[:], s)
		if c.domain != first.domain && s.outranks(otherDomain) {
			otherDomain = s
		}
	}
	return first.list(otherDomain, others[:])
}

// highest returns the candidate with the highest rendezvous score for the key.
func highest(key uint64, candidates []candidate) candidate {
	return slices.MaxFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(mix(key, a.hash), mix(key, b.hash))
	})
}

// scored is a candidate with its score for one list.
type scored struct {
	score uint64
	index uint16
	set   bool
}

func (s scored) outranks(other scored) bool {
	return !other.set || s.score > other.score
}

// insert inserts s into a list of the highest scores, in descending order, and
// drops the lowest.
func insert(list []scored, s scored) {
	last := len(list) - 1
	if !s.outranks(list[last]) {
		return
	}
	list[last] = s
	for i := last; i > 0 && list[i].outranks(list[i-1]); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
}

// list returns a list of the candidate itself, the host in another failure domain
// if there is one, and the others, without duplicates.
func (c candidate) list(otherDomain scored, others []scored) hostList {
	list := hostList{c.index, noHost, noHost, noHost}
	count := 1
	if otherDomain.set {
		list[count] = otherDomain.index
		count++
	}
	for _, s := range others {
		if s.set && count < len(list) && (!otherDomain.set || s.index != otherDomain.index) {
			list[count] = s.index
			count++
		}
	}
	return list
}

// hosts returns the list for a block.
func (r *regionHosts) hosts(blockHash uint32) hostList {
	return r.lists[uint64(blockHash)*uint64(len(r.lists))>>32]
}

// Levels of preference: hosts of a lower level are used only while no region has
// a host of a higher one.
const (
	levelNone = iota
	// A stopping host still accepts requests for the cache time of lookup responses.
	levelStopping
	// A suspect host may be running: the suspicion can be wrong.
	levelSuspect
	levelReady
)

func levelOf(h model.HostRecord) int {
	if h.CallerAddress == "" {
		return levelNone
	}
	switch h.State {
	case model.HostReady:
		return levelReady
	case model.HostSuspect:
		return levelSuspect
	case model.HostStopping:
		return levelStopping
	}
	return levelNone
}
