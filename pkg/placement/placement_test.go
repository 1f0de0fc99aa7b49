package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// unequalRegions returns servers of three regions; east has a tenth of the slots.
func unequalRegions() []Member {
	var members []Member
	for region, count := range map[string]int{"west": 10, "east": 2, "south": 8} {
		for i := range count {
			members = append(members, Member{ID: fmt.Sprintf("%s-%d", region, i), Region: region, Slots: 3})
		}
	}
	return members
}

// firstServers returns the most preferred server of each of n objects.
func firstServers(v *View, origin string, n int) map[string]string {
	servers := make(map[string]string, n)
	for i := range n {
		key := fmt.Sprintf("object-%d", i)
		servers[key] = v.Rank(Object{Key: key, Origin: origin}, 1)[0]
	}
	return servers
}

// Guards against a small region that keeps all objects of its callers.
func TestRegionKeepsWhatItsServersCanHandle(t *testing.T) {
	v := NewView(unequalRegions(), 3)
	const objects = 2000
	local := 0
	for _, server := range firstServers(v, "east", objects) {
		if server == "east-0" || server == "east-1" {
			local++
		}
	}
	// With a tenth of the slots for a third of the callers, this many of the
	// objects give its servers the mean load; 0.03 allows for the variance of the
	// hashes.
	const mean = 0.3
	if share := float64(local) / objects; share < mean-0.03 || share > localHeadroom*mean+0.03 {
		t.Errorf("%.2f of the objects stay in a region with a tenth of the slots", share)
	}
	if got := v.LocalShare("west"); got != 1 {
		t.Errorf("a region with half of the slots keeps %.2f of its objects, want 1", got)
	}
}

// Guards against a region whose own servers get so much more than the mean load
// that requests wait there in the peaks of the traffic while others have room. Of
// the slots, 40% are in use on average, and traffic swings by half around that.
func TestLoadOfARegionLeavesRoomForPeaks(t *testing.T) {
	const meanUse, swing, longWaits = 0.4, 0.55, 0.8
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		regions := []string{"west", "east", "south"}
		slots, total := make(map[string]int), 0
		for _, region := range regions {
			for i := range rapid.IntRange(1, 60).Draw(t, region) {
				m := Member{ID: fmt.Sprint(region, i), Region: region, Slots: rapid.IntRange(1, 6).Draw(t, "slots")}
				members = append(members, m)
				slots[region] += m.Slots
				total += m.Slots
			}
		}
		v := NewView(members, len(regions))
		for _, region := range regions {
			equal := float64(total) / float64(len(regions))
			peak := v.LocalShare(region) * equal / float64(slots[region]) * meanUse * (1 + swing)
			if peak > longWaits {
				t.Errorf("%d of %d slots in %s: %.2f of them are in use in a peak", slots[region], total, region, peak)
			}
		}
	})
}

// Guards against the loss of one server that moves objects of other servers: each
// moved object starts without a cache on its new server.
func TestLossOfAServerMovesOnlyItsObjects(t *testing.T) {
	members := unequalRegions()
	const objects = 2000
	for _, origin := range []string{"west", "east", "south"} {
		before := firstServers(NewView(members, 3), origin, objects)
		after := firstServers(NewView(members[1:], 3), origin, objects)
		moved := 0
		for key, server := range before {
			if server != members[0].ID && after[key] != server {
				moved++
			}
		}
		// The local share and the spare share of another region may each change
		// by one step of a twelfth; 0.02 allows for the variance of the hashes.
		if share := float64(moved) / objects; share > 2.0/12+0.02 {
			t.Errorf("callers of %s: %.3f of the objects of other servers moved", origin, share)
		}
	}
}

// Guards against uploads that leave their region while it has servers, and against
// objects placed outside of the regions that may serve them.
func TestObjectsStayInRequiredRegions(t *testing.T) {
	v := NewView(unequalRegions(), 3)
	for i := range 500 {
		key := fmt.Sprint(i)
		upload := v.Rank(Object{Key: key, Origin: "east", StayLocal: true}, 2)
		for _, server := range upload {
			if server != "east-0" && server != "east-1" {
				t.Fatalf("upload %s prefers %s to the servers of its region", key, server)
			}
		}
		for _, server := range v.Rank(Object{Key: key, Origin: "east", Regions: []string{"south"}}, 100) {
			if server[:5] != "south" {
				t.Fatalf("object %s, allowed only in south, may be placed on %s", key, server)
			}
		}
	}
	if got := NewView(nil, 3).Rank(Object{Key: "a", Origin: "east"}, 4); len(got) != 0 {
		t.Errorf("a view without servers ranks %v", got)
	}
}
