package roster

import "time"

const (
	// rememberFor is how long a host of the region is remembered. It exceeds the time
	// for which hosts may be isolated from each other: an isolated host must not take
	// the others for gone, since they work on.
	rememberFor = time.Hour
	// minDomainHosts is the number of hosts of a failure domain that is assumed if
	// fewer are known, because a host may not know all others.
	minDomainHosts = 3
)

// regionHost is a host of this host's region, live or not.
type regionHost struct {
	domain   string
	capacity int
	// left is set if the host was leaving when it was last heard of.
	left     bool
	lastSeen time.Time
}

// remember adds a host of the region to those that this host has heard of.
func (r *Roster) remember(heartbeat Heartbeat, seenAt time.Time) {
	r.joined = true
	if heartbeat.Region == r.self.heartbeat.Region {
		r.regionHosts[heartbeat.ID] = regionHost{domain: heartbeat.Domain, capacity: heartbeat.Capacity, left: heartbeat.State == Leaving, lastSeen: seenAt}
	}
}

// forgetOld forgets hosts that were last heard of too long ago.
func (r *Roster) forgetOld(now time.Time) {
	for id, host := range r.regionHosts {
		if now.Sub(host.lastSeen) > rememberFor {
			delete(r.regionHosts, id)
		}
	}
}

// IsOnlyHost reports whether this host has heard of no other host since its start, and
// has no seed from which it could.
func (r *Roster) IsOnlyHost() bool { return !r.joined && len(r.seeds) == 0 }

// isUnconnected reports whether this host has heard of no other host since its start
// though there are others.
func (r *Roster) isUnconnected() bool { return !r.joined && !r.IsOnlyHost() }

// DomainShare returns this host's share of what the hosts of its failure domain may
// use together, by the capacity of each. It does not grow when others fall silent, so
// the shares of hosts that do not reach each other still add up to 1. A host that has
// heard of no other since its start has none, unless it is the only one.
func (r *Roster) DomainShare(now time.Time) float64 {
	if r.isUnconnected() {
		return 0
	}
	r.forgetOld(now)
	own := max(r.self.heartbeat.Capacity, 1)
	total := own
	for _, host := range r.regionHosts {
		if host.domain == r.self.heartbeat.Domain {
			total += max(host.capacity, 1)
		}
	}
	return float64(own) / float64(max(total, minDomainHosts*own))
}

// ReachesHalfOfRegion reports whether at least half of the hosts of the region, this
// one included, are live in its view. Hosts that left as planned do not count. Of hosts
// that do not reach each other, two groups at most reach half.
func (r *Roster) ReachesHalfOfRegion(now time.Time) bool {
	if r.isUnconnected() {
		return false
	}
	r.forgetOld(now)
	live, all := 1, 1
	for id, host := range r.regionHosts {
		if host.left {
			continue
		}
		all++
		if m := r.members[id]; m != nil && r.isLive(now, m) {
			live++
		}
	}
	return 2*live >= all
}
