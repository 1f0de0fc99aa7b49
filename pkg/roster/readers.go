package roster

import (
	"slices"
	"time"
)

// ReadersLostStore reports whether the store answers none of the hosts that read it
// for the region while all is well.
func (r *Roster) ReadersLostStore(now time.Time) bool {
	return allLost(firstReaders(r.readerRanking(now)))
}

func (b Heartbeat) reachesStore() bool { return !b.StoreLost }

func allLost(beats []Heartbeat) bool {
	return len(beats) > 0 && !slices.ContainsFunc(beats, Heartbeat.reachesStore)
}

// readerRanking returns the hosts of the region that may read the store, those
// that are to read it first. A host that hears of no active host is on its own.
func (r *Roster) readerRanking(now time.Time) []Heartbeat {
	near := []Heartbeat{r.self}
	alone := true
	for _, m := range r.members {
		if m.beat.Region != r.self.Region || m.beat.State == Leaving {
			continue
		}
		active := !m.beat.Standby
		if active && now.Sub(m.heard) < readerTimeout || !active && r.isLive(now, m) {
			near = append(near, m.beat)
			alone = alone && !active
		}
	}
	if alone {
		return []Heartbeat{r.self}
	}
	if r.self.State == Leaving {
		near = near[1:]
	}
	return spread(r.self.Region+"/store", near, maxReaders)
}

func firstReaders(ranking []Heartbeat) []Heartbeat { return ranking[:min(len(ranking), readers)] }

// storeReaders returns the hosts that read the store for the region. Those that
// it does not answer are replaced, but the first go on trying.
func (r *Roster) storeReaders(now time.Time) []Heartbeat {
	ranking := r.readerRanking(now)
	first := firstReaders(ranking)
	reaching := slices.DeleteFunc(slices.Clone(ranking), func(b Heartbeat) bool { return b.StoreLost })
	count := readers
	if allLost(first) {
		count += len(ranking) - len(reaching)
	}
	return append(slices.Clone(first), reaching[:min(len(reaching), count)]...)
}

// IsReader reports whether this host reads the store for its region.
func (r *Roster) IsReader(now time.Time) bool {
	return containsHost(r.storeReaders(now), r.self.ID)
}
