package roster

import (
	"slices"
	"time"
)

// ReadersLostStore reports whether the store answers none of the hosts that read it
// for the region in normal operation.
func (r *Roster) ReadersLostStore(now time.Time) bool {
	return noneReachesStore(firstReaders(r.readerRanking(now)))
}

func (b Heartbeat) reachesStore() bool { return !b.StoreLost }

func noneReachesStore(hosts []Heartbeat) bool {
	return len(hosts) > 0 && !slices.ContainsFunc(hosts, Heartbeat.reachesStore)
}

// readerRanking returns the hosts of the region that may read the store, in the
// order in which they are chosen. A host that receives heartbeats of no active
// host reads the store itself.
func (r *Roster) readerRanking(now time.Time) []Heartbeat {
	region := r.self.heartbeat.Region
	isolated := true
	for _, m := range r.members {
		if m.heartbeat.Region == region && !m.heartbeat.Standby && r.mayRead(now, m) {
			isolated = false
			break
		}
	}
	if isolated {
		return []Heartbeat{r.self.heartbeat}
	}
	return r.orderOf(region, region+"/store").choose(maxReaders, func(m *member) bool { return r.mayRead(now, m) })
}

// mayRead reports whether a host of the region can be relied on to read the store.
func (r *Roster) mayRead(now time.Time, m *member) bool {
	switch {
	case m.heartbeat.State == Leaving:
		return false
	case m == r.self || m.heartbeat.Standby:
		return r.isLive(now, m)
	default:
		return now.Sub(m.lastSeen) < readerTimeout
	}
}

func firstReaders(hosts []Heartbeat) []Heartbeat { return hosts[:min(len(hosts), readersPerRegion)] }

// storeReaders returns the hosts that read the store for the region. Readers
// that the store does not answer get replacements, but the first ones continue
// to try.
func (r *Roster) storeReaders(now time.Time) []Heartbeat {
	ranking := r.readerRanking(now)
	first := firstReaders(ranking)
	reaching := slices.DeleteFunc(slices.Clone(ranking), func(b Heartbeat) bool { return b.StoreLost })
	count := readersPerRegion
	if noneReachesStore(first) {
		count += len(ranking) - len(reaching)
	}
	return append(slices.Clone(first), reaching[:min(len(reaching), count)]...)
}

// IsReader reports whether this host reads the store for its region.
func (r *Roster) IsReader(now time.Time) bool {
	return containsHost(r.storeReaders(now), r.self.heartbeat.ID)
}
