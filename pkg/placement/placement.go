// Package placement ranks the backend servers of a service for an object, so
// that all hosts with the same server list send an object to the same server
// and its cached state is used.
//
// Each region keeps the share of its objects that its servers can carry; the
// rest goes to regions with room. The package does no I/O; a View is
// immutable.
package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

// localHeadroom is how far above the mean load of all regions a region may
// load its own servers before objects are placed elsewhere. At the planned
// mean use of 40% of the slots it keeps a small region under 60%.
const localHeadroom = 1.5

// Member is a backend server that may take objects.
type Member struct {
	ID     string
	Region string
	Slots  int
}

// View is the members of one service.
type View struct {
	members []Member
	// slots is the sum of each region, room the slots that a region has above
	// an equal share.
	slots map[string]int
	room  map[string]float64
	// callerRegions is the number of regions that callers come from.
	callerRegions int
	total         int
}

// NewView returns a view for callers that are spread evenly over callerRegions
// regions.
func NewView(members []Member, callerRegions int) *View {
	v := &View{members: slices.Clone(members), slots: make(map[string]int), room: make(map[string]float64), callerRegions: max(callerRegions, 1)}
	for _, m := range members {
		v.slots[m.Region] += m.Slots
		v.total += m.Slots
	}
	equal := float64(v.total) / float64(v.callerRegions)
	for region, slots := range v.slots {
		v.room[region] = max(float64(slots)-equal, 0)
	}
	return v
}

// IsEmpty reports whether the service has no servers.
func (v *View) IsEmpty() bool { return len(v.members) == 0 }

// LocalShare returns the share of a region's objects that its own servers
// take.
func (v *View) LocalShare(region string) float64 {
	if v.total == 0 {
		return 0
	}
	share := float64(v.slots[region]) / float64(v.total)
	return min(1, coarse(share*float64(v.callerRegions)*localHeadroom))
}

// coarse rounds a share, so that the loss of a few servers moves only their own
// objects and not those that are placed by the shares.
func coarse(share float64) float64 {
	const steps = 12
	return math.Round(share*steps) / steps
}

// Object is what is placed.
type Object struct {
	Key string
	// Origin is the region of the object's callers.
	Origin string
	// StayLocal keeps objects with large bodies in their region if it has a
	// server at all.
	StayLocal bool
	// Regions, if not empty, are the only regions that may serve the object.
	Regions []string
}

type candidate struct {
	id    string
	group int
	score float64
}

// Rank returns up to n members in descending order of preference.
func (v *View) Rank(o Object, n int) []string {
	homeFirst := o.StayLocal || unit(rendezvous.Score(o.Key, o.Origin)) < v.LocalShare(o.Origin)
	candidates := make([]candidate, 0, len(v.members))
	for _, m := range v.members {
		if len(o.Regions) > 0 && !slices.Contains(o.Regions, m.Region) {
			continue
		}
		local := m.Region == o.Origin
		candidates = append(candidates, candidate{
			id:    m.ID,
			group: groupOf(local, homeFirst),
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
func groupOf(local, homeFirst bool) int {
	if local == homeFirst {
		return 0
	}
	return 1
}

// weight is a member's slots, for objects of other regions scaled by the room
// of its region.
func (v *View) weight(m Member, local bool) float64 {
	if local {
		return float64(m.Slots)
	}
	// A region without room still has a small weight, so that objects find a
	// server when every region is full.
	const least = 0.02
	return float64(m.Slots) * max(coarse(v.room[m.Region]/float64(v.slots[m.Region])), least)
}

// score is the weighted rendezvous score: the member with the highest one wins
// a share of the keys that is proportional to its weight.
func score(key string, m Member, weight float64) float64 {
	return -weight / math.Log(unit(rendezvous.Score(key, m.ID)))
}

// unit maps a hash to the open interval (0, 1).
func unit(hash uint64) float64 {
	const mantissa = 53
	return (float64(hash>>(64-mantissa)) + 0.5) / (1 << mantissa)
}
