package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

// order is the order in which the hosts of a region are chosen: those of the
// highest capacity first, and among equals by rendezvous hashing, in turn from
// each failure domain. It depends only on what does not change while hosts run,
// so that a choice costs no sorting: choices are made for each lookup and each
// message.
type order struct {
	// groups have the hosts by descending capacity, each by failure domain.
	groups [][]domainHosts
}

// domainHosts are the hosts of a failure domain in descending order of preference.
type domainHosts []*member

// orderOf returns the order of a region's hosts for a key. Orders for different
// keys are independent of each other.
func (r *Roster) orderOf(region, key string) *order {
	if known := r.orders[key]; known != nil {
		return known
	}
	byCapacity := make(map[int]map[string]domainHosts)
	add := func(m *member) {
		if m.heartbeat.Region != region {
			return
		}
		byDomain := byCapacity[m.heartbeat.Capacity]
		if byDomain == nil {
			byDomain = make(map[string]domainHosts)
			byCapacity[m.heartbeat.Capacity] = byDomain
		}
		byDomain[m.heartbeat.Domain] = append(byDomain[m.heartbeat.Domain], m)
	}
	add(r.self)
	for _, m := range r.members {
		add(m)
	}
	o := &order{}
	capacities := slices.Sorted(maps.Keys(byCapacity))
	for _, capacity := range slices.Backward(capacities) {
		var group []domainHosts
		for _, domain := range slices.Sorted(maps.Keys(byCapacity[capacity])) {
			group = append(group, sortByScore(key, byCapacity[capacity][domain]))
		}
		o.groups = append(o.groups, group)
	}
	r.orders[key] = o
	return o
}

func sortByScore(key string, hosts domainHosts) domainHosts {
	scores := make(map[*member]uint64, len(hosts))
	for _, m := range hosts {
		scores[m] = rendezvous.Score(key, m.heartbeat.ID)
	}
	slices.SortFunc(hosts, func(a, b *member) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a.heartbeat.ID, b.heartbeat.ID))
	})
	return hosts
}

// choose returns up to count eligible hosts in order.
func (o *order) choose(count int, eligible func(*member) bool) []Heartbeat {
	var chosen []Heartbeat
	for _, group := range o.groups {
		next := make([]int, len(group))
		for more := true; more && len(chosen) < count; {
			more = false
			for i, hosts := range group {
				for next[i] < len(hosts) && !eligible(hosts[next[i]]) {
					next[i]++
				}
				if next[i] == len(hosts) || len(chosen) == count {
					continue
				}
				chosen = append(chosen, hosts[next[i]].heartbeat)
				next[i]++
				more = true
			}
		}
	}
	return chosen
}
