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
// load of all regions, above which its objects are placed elsewhere. Traffic
// swings by about half around the planned mean use of 40% of the slots; a region
// with this headroom then stays under 80%, above which requests wait long. With
// 1.5, requests waited at the servers of a small region while others had room, and
// when its traffic ended only these still ran: a shift of its traffic.
const localHeadroom = 1.25

// shareSteps is the number of steps in which shares change, so that the loss of a
// few servers moves only their own objects: exact shares would change and move
// objects of other servers.
const shareSteps = 12

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
	// weights has the weight of a slot of each region for objects of other regions
	// (false) and of its own (true).
	weights map[string]map[bool]float64
}

// NewView returns a view for callers that are spread evenly over callerRegions
// regions.
func NewView(members []Member, callerRegions int) *View {
	v := &View{members: slices.Clone(members), slots: make(map[string]int), spare: make(map[string]float64), callerRegions: max(callerRegions, 1), weights: make(map[string]map[bool]float64)}
	for _, m := range members {
		v.slots[m.Region] += m.Slots
		v.total += m.Slots
	}
	equal := float64(v.total) / float64(v.callerRegions)
	for region, slots := range v.slots {
		v.spare[region] = max(float64(slots)-equal, 0)
		v.weights[region] = map[bool]float64{true: 1, false: v.remoteWeight(region)}
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
	// Rounded down, so that the headroom is kept.
	return min(1, math.Floor(share*float64(v.callerRegions)*localHeadroom*shareSteps)/shareSteps)
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

// AllowsRegion reports whether servers of the region may serve the object.
func (o Object) AllowsRegion(region string) bool {
	return len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Equal reports whether both are the same object with the same constraints.
func (o Object) Equal(other Object) bool {
	return o.Key == other.Key && o.Origin == other.Origin && o.StayLocal == other.StayLocal && slices.Equal(o.Regions, other.Regions)
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
	best := make([]candidate, 0, min(n, len(v.members))+1)
	for _, m := range v.members {
		if !o.AllowsRegion(m.Region) {
			continue
		}
		local := m.Region == o.Origin
		c := candidate{id: m.ID, group: groupOf(local, localFirst)}
		if len(best) == n && c.group > best[n-1].group {
			// The score of a member of the other group does not matter.
			continue
		}
		c.score = score(o.Key, m, v.weights[m.Region][local])
		best = insertBest(best, c, n)
	}
	ids := make([]string, len(best))
	for i, c := range best {
		ids[i] = c.id
	}
	return ids
}

// insertBest inserts a candidate into the best n, which are in order. It is faster
// than sorting all candidates if few of them are wanted.
func insertBest(best []candidate, c candidate, n int) []candidate {
	if len(best) == n && (n == 0 || compareCandidates(c, best[n-1]) >= 0) {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, c, compareCandidates)
	best = slices.Insert(best, at, c)
	return best[:min(len(best), n)]
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.score, a.score), strings.Compare(a.id, b.id))
}

// groupOf returns 0 for members of the preferred group and 1 for the others.
func groupOf(local, localFirst bool) int {
	if local == localFirst {
		return 0
	}
	return 1
}

// remoteWeight returns the weight of a slot of a region for objects of other
// regions: the spare share of the region.
func (v *View) remoteWeight(region string) float64 {
	// A region without spare capacity keeps a small weight, so that objects are
	// placed even if every region is full.
	const minShare = 0.02
	return max(math.Round(v.spare[region]/float64(v.slots[region])*shareSteps)/shareSteps, minShare)
}

// score returns the weighted rendezvous score. Choosing the member with the highest
// score gives each member a share of the keys in proportion to its weight.
func score(key string, m Member, slotWeight float64) float64 {
	return -float64(m.Slots) * slotWeight / math.Log(unit(rendezvous.Score(key, m.ID)))
}

// unit maps a hash to the open interval (0, 1).
func unit(hash uint64) float64 {
	const mantissaBits = 53
	return (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
