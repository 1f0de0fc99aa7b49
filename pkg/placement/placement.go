// Package placement ranks the backend servers of a service for an object. All
// hosts with the same server list rank them alike, so they send an object to the
// same server, which can use the state that it cached for the object.
//
// Each region keeps the share of its objects that its servers can handle; the
// remainder goes to regions with spare capacity. The package does no I/O; a View
// is immutable.
package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

// localHeadroom is the load of a region's own servers, as a multiple of the mean
// load of all regions, above which its objects are placed elsewhere. At the
// planned mean use of 40% of the slots it keeps a small region under 60%.
const localHeadroom = 1.5

// Member is a backend server that objects may be placed on.
type Member struct {
	ID     string
	Region string
	Slots  int
}

// View is an immutable set of the members of one service.
type View struct {
	members []Member
	// slots is the sum of slots per region, spare the slots per region above an
	// equal share of all slots.
	slots map[string]int
	spare map[string]float64
	// callerRegions is the number of regions that callers come from.
	callerRegions int
	// total is the sum of slots of all regions.
	total int
}

// NewView returns a view for callers that are spread evenly over callerRegions
// regions.
func NewView(members []Member, callerRegions int) *View {
	v := &View{members: slices.Clone(members), slots: make(map[string]int), spare: make(map[string]float64), callerRegions: max(callerRegions, 1)}
	for _, m := range members {
		v.slots[m.Region] += m.Slots
		v.total += m.Slots
	}
	equal := float64(v.total) / float64(v.callerRegions)
	for region, slots := range v.slots {
		v.spare[region] = max(float64(slots)-equal, 0)
	}
	return v
}

// IsEmpty reports whether the service has no servers.
func (v *View) IsEmpty() bool { return len(v.members) == 0 }

// LocalShare returns the share of a region's objects, from 0 to 1, that are placed
// on its own servers.
func (v *View) LocalShare(region string) float64 {
	if v.total == 0 {
		return 0
	}
	share := float64(v.slots[region]) / float64(v.total)
	return min(1, quantize(share*float64(v.callerRegions)*localHeadroom))
}

// quantize rounds a share to twelfths, so that the loss of a few servers moves only
// their own objects: exact shares would change and move objects of other servers.
func quantize(share float64) float64 {
	const steps = 12
	return math.Round(share*steps) / steps
}

// Object identifies an object to place.
type Object struct {
	Key string
	// Origin is the region of the object's callers.
	Origin string
	// StayLocal keeps an object in its origin region if that has any server, for
	// objects with large bodies.
	StayLocal bool
	// Regions, if not empty, lists the only regions that may serve the object.
	Regions []string
}

// candidate is a member with its rank for one object: by group, then by score.
type candidate struct {
	id    string
	group int
	score float64
}

// Rank returns the IDs of up to n members in descending order of preference.
func (v *View) Rank(o Object, n int) []string {
	localFirst := o.StayLocal || unit(rendezvous.Score(o.Key, o.Origin)) < v.LocalShare(o.Origin)
	candidates := make([]candidate, 0, len(v.members))
	for _, m := range v.members {
		if len(o.Regions) > 0 && !slices.Contains(o.Regions, m.Region) {
			continue
		}
		local := m.Region == o.Origin
		candidates = append(candidates, candidate{
			id:    m.ID,
			group: groupOf(local, localFirst),
			score: score(o.Key, m, v.weight(m, local)),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.score, a.score), strings.Compare(a.id, b.id))
	})
	if len(candidates) > n {
		candidates = candidates[:n]
	}
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.id
	}
	return ids
}

// groupOf returns 0 for members of the preferred group and 1 for the others.
func groupOf(local, localFirst bool) int {
	if local == localFirst {
		return 0
	}
	return 1
}

// weight returns a member's slots, scaled by the spare share of its region for
// objects of other regions.
func (v *View) weight(m Member, local bool) float64 {
	if local {
		return float64(m.Slots)
	}
	// A region without spare capacity keeps a small weight, so that objects are
	// placed even if every region is full.
	const minShare = 0.02
	return float64(m.Slots) * max(quantize(v.spare[m.Region]/float64(v.slots[m.Region])), minShare)
}

// score returns the weighted rendezvous score. Choosing the member with the highest
// score gives each member a share of the keys in proportion to its weight.
func score(key string, m Member, weight float64) float64 {
	return -weight / math.Log(unit(rendezvous.Score(key, m.ID)))
}

// unit maps a hash to the open interval (0, 1).
func unit(hash uint64) float64 {
	const mantissaBits = 53
	return (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
