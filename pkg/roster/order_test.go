package roster

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

// Guards against a kept order that differs from one made anew: hosts with the same
// view choose the same hosts, whatever they knew before.
func TestKeptOrderIsThatOfAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := Heartbeat{ID: "self", Region: "west", Domain: "west-a", PeerAddress: "self", Capacity: 5, State: Ready}
		r := New(self, nil, rand.New(rand.NewPCG(1, 1)))
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("h-", rapid.IntRange(0, 7).Draw(t, "host"))
			r.Receive(now, Heartbeat{
				ID: id, Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")), PeerAddress: id, Region: "west",
				Domain:   rapid.SampledFrom([]string{"west-a", "west-b"}).Draw(t, "domain"),
				Capacity: rapid.IntRange(4, 6).Draw(t, "capacity"),
				State:    rapid.SampledFrom([]State{Starting, Ready, Leaving}).Draw(t, "state"),
			}, 0)
			if rapid.Bool().Draw(t, "expire") {
				r.removeExpired(now)
			}
			count := rapid.IntRange(1, 9).Draw(t, "count")
			ready := slices.DeleteFunc(r.Live(now), func(b Heartbeat) bool { return b.State != Ready })
			want := selectSpread("west", ready, count)
			if got := r.Entries(now, "west", count); !slices.Equal(idsOf(got), idsOf(want)) {
				t.Fatalf("chose %v, want %v", idsOf(got), idsOf(want))
			}
		}
	})
}

func idsOf(hosts []Heartbeat) []string {
	var ids []string
	for _, b := range hosts {
		ids = append(ids, b.ID)
	}
	return ids
}

// selectSpread chooses hosts by sorting all of them: the definition of the order.
func selectSpread(key string, hosts []Heartbeat, count int) []Heartbeat {
	byCapacity := make(map[int][]Heartbeat)
	for _, host := range hosts {
		byCapacity[host.Capacity] = append(byCapacity[host.Capacity], host)
	}
	capacities := slices.Sorted(maps.Keys(byCapacity))
	slices.Reverse(capacities)
	var chosen []Heartbeat
	for _, capacity := range capacities {
		chosen = append(chosen, spreadOverDomains(key, byCapacity[capacity], count-len(chosen))...)
	}
	return chosen
}

func spreadOverDomains(key string, hosts []Heartbeat, count int) []Heartbeat {
	byDomain := make(map[string][]Heartbeat)
	for _, host := range hosts {
		byDomain[host.Domain] = append(byDomain[host.Domain], host)
	}
	for _, domainHosts := range byDomain {
		slices.SortFunc(domainHosts, func(a, b Heartbeat) int {
			return cmp.Compare(rendezvous.Score(key, b.ID), rendezvous.Score(key, a.ID))
		})
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	var chosen []Heartbeat
	for round := 0; len(chosen) < min(count, len(hosts)); round++ {
		for _, domain := range domains {
			if round < len(byDomain[domain]) && len(chosen) < count {
				chosen = append(chosen, byDomain[domain][round])
			}
		}
	}
	return chosen
}
