package roster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// rememberFor is how long a host of the region is remembered. It exceeds the time
	// for which hosts may be isolated from each other: an isolated host must not take
	// the others for gone, since they work on.
	rememberFor = time.Hour
	// minDomainHosts is the number of hosts of a failure domain that is assumed if
	// fewer are known, because a host may not know all others.
	minDomainHosts = 3
	// A host that has started is told startReplies times of the silent hosts of its
	// region, every startReplyIntervals-th interval. Those that fell silent as it started
	// are in the last reply.
	startReplies        = 5
	startReplyIntervals = 5
	// silentAfter is the time without word of a host after which it is silent. It exceeds
	// StandbyTimeout since standby hosts hear of each other by chance.
	silentAfter = 7 * time.Second
	// startRepliers is the number of hosts of a region that reply to those that start.
	startRepliers = 3
)

// remember adds a host of the region to those that this host has heard of.
func (r *Roster) remember(now time.Time, heartbeat Heartbeat, seenAt time.Time) {
	if r.joinedAt.IsZero() {
		r.joinedAt = now
	}
	if heartbeat.Region == r.self.heartbeat.Region && !r.regionHosts[heartbeat.ID].lastSeen.After(seenAt) {
		r.regionHosts[heartbeat.ID] = member{heartbeat: heartbeat, lastSeen: seenAt}
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

// isOnlyHost reports whether this host has heard of no other host since its start, and
// has no seed from which it could.
func (r *Roster) isOnlyHost() bool { return r.joinedAt.IsZero() && len(r.seeds) == 0 }

// HasKnownOthersFor reports whether this host has heard of others for d, or is the only
// host.
func (r *Roster) HasKnownOthersFor(now time.Time, d time.Duration) bool {
	return r.isOnlyHost() || !r.joinedAt.IsZero() && now.Sub(r.joinedAt) >= d
}

// DomainShare returns this host's share of what the hosts of its failure domain may
// use together, by the capacity of each. It does not grow when others fall silent, so
// the shares of hosts that do not reach each other still add up to 1. A host that has
// heard of no other since its start has none, unless it is the only one.
func (r *Roster) DomainShare(now time.Time) float64 {
	if !r.HasKnownOthersFor(now, 0) {
		return 0
	}
	r.forgetOld(now)
	own := max(r.self.heartbeat.Capacity, 1)
	total := own
	for _, host := range r.regionHosts {
		if host.heartbeat.Domain == r.self.heartbeat.Domain {
			total += max(host.heartbeat.Capacity, 1)
		}
	}
	return float64(own) / float64(max(total, minDomainHosts*own))
}

// ReachesHalfOfRegion reports whether at least half of the hosts of the region, this
// one included, are live in its view. Hosts that left as planned do not count. Of hosts
// that do not reach each other, two groups at most reach half.
func (r *Roster) ReachesHalfOfRegion(now time.Time) bool {
	if !r.HasKnownOthersFor(now, 0) {
		return false
	}
	r.forgetOld(now)
	live, all := 1, 1
	for id, host := range r.regionHosts {
		if host.heartbeat.State == Leaving {
			continue
		}
		all++
		if r.isLiveHost(now, id) {
			live++
		}
	}
	return 2*live >= all
}

func (r *Roster) isLiveHost(now time.Time, id string) bool {
	m := r.members[id]
	return m != nil && r.isLive(now, m)
}

// noteStart notes that a host has started, or is heard of again after it was removed
// from the view.
func (r *Roster) noteStart(now time.Time, id string) {
	if started := r.members[id].heartbeat; started.Region == r.self.heartbeat.Region && r.isLiveHost(now, id) {
		r.repliesLeft[started.PeerAddress] = startReplies
	}
}

// silentHosts returns the last heartbeats of the hosts of the region that are silent.
func (r *Roster) silentHosts(now time.Time) []ForwardedHeartbeat {
	r.forgetOld(now)
	var silent []ForwardedHeartbeat
	for _, host := range r.regionHosts {
		if age := now.Sub(host.lastSeen); age > silentAfter {
			silent = append(silent, ForwardedHeartbeat{Heartbeat: host.heartbeat, Age: age})
		}
	}
	slices.SortFunc(silent, func(a, b ForwardedHeartbeat) int { return strings.Compare(a.ID, b.ID) })
	return silent
}

// isStartReplier reports whether this host is one of those that reply to hosts that
// start: those of the region that have run longest, since they remember most hosts.
func (r *Roster) isStartReplier(now time.Time) bool {
	self := r.self.heartbeat
	longer := 0
	for id, m := range r.members {
		startedBefore := cmp.Or(cmp.Compare(m.heartbeat.Incarnation, self.Incarnation), strings.Compare(id, self.ID)) < 0
		if startedBefore && m.heartbeat.Region == self.Region && r.isLive(now, m) {
			longer++
		}
	}
	return longer < startRepliers
}

// startedHostReplies returns messages that forward to the hosts of the region that have
// started the heartbeats of those that are silent.
func (r *Roster) startedHostReplies(now time.Time) []Message {
	if len(r.repliesLeft) == 0 || r.intervals%startReplyIntervals != 0 {
		return nil
	}
	to := slices.Sorted(maps.Keys(r.repliesLeft))
	for _, address := range to {
		if r.repliesLeft[address]--; r.repliesLeft[address] == 0 {
			delete(r.repliesLeft, address)
		}
	}
	if !r.isStartReplier(now) {
		return nil
	}
	var messages []Message
	for part := range slices.Chunk(r.silentHosts(now), maxForwarded) {
		messages = append(messages, Message{To: to, Forwarded: part, Full: true})
	}
	return messages
}
