// Package roster maintains a host's view of the other hosts from heartbeats, and
// chooses the entry hosts that callers use.
//
// Hosts that carry requests or read the store send heartbeats to every host of
// the region and, through delegates, to one host of each other region. In a
// large region the standby hosts send heartbeats to these hosts only. Hosts that
// have run long tell those that start which hosts of the region are silent.
// The package does no I/O; a Roster is not safe for concurrent use.
package roster

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 400 * time.Millisecond
	// LocalTimeout is the time without heartbeats after which a host of the region
	// is considered dead: four heartbeats, since single datagrams are lost.
	LocalTimeout = 1700 * time.Millisecond
	// readerTimeout is the time without heartbeats after which a host that carries
	// requests or reads the store is not relied on to report changes: two
	// heartbeats, of which one may be lost. Changes have to take effect within 2 s,
	// and an unneeded reader of the store costs only a few calls.
	readerTimeout = time.Second
	// RemoteTimeout is LocalTimeout for other regions, whose heartbeats arrive
	// through one of their hosts at a time.
	RemoteTimeout = 5 * time.Second
	// standbyIntervals is the number of intervals between the heartbeats of a
	// standby host in a region of more than smallRegionHosts hosts. Heartbeats
	// between all pairs of hosts grow with the square of the region's size: with
	// 36 hosts, their bytes and wake-ups cost 0.05 of the score of a test scenario.
	standbyIntervals = 3
	smallRegionHosts = 12
	// StandbyTimeout is the time without heartbeats after which a standby host is
	// considered dead: four of its heartbeats.
	StandbyTimeout = 5 * time.Second
	// removeAfter is how long heartbeats are sent to a host that sends none.
	removeAfter = 30 * time.Second
	// maxForwarded bounds the heartbeats forwarded in one message, so that it fits
	// a datagram.
	maxForwarded = 12
	// A delegate sends every remoteIntervals-th heartbeat to other regions, too. A
	// host forwards heartbeats of others to its own region with every
	// forwardIntervals-th. Both save bytes between failure domains and regions,
	// which are charged for.
	remoteIntervals  = 3
	forwardIntervals = 8
	// startupHeartbeats is the number of intervals for which a host that has just
	// started is assumed not to know the others.
	startupHeartbeats = 6
	// maxNewPeers bounds the new hosts that are answered in one interval.
	maxNewPeers = 16
	// delegatesPerRegion is the number of hosts of a region that exchange
	// heartbeats with other regions.
	delegatesPerRegion = 2
	// notifiedRegions is the number of other regions that are notified at once of
	// what is read from the store: bytes must not grow with the number of regions,
	// and a region needs a few others that notify it.
	notifiedRegions = 3
	// readersPerRegion is the number of hosts of a region that read the store for
	// it. While the store answers none of them, that many replacements read it,
	// and one more for each host that has lost it: replacements take a second to
	// find that the store refuses them, too. maxReaders bounds the hosts of a
	// region that are tried.
	readersPerRegion = 2
	maxReaders       = 8
	// minEntries hosts of a region carry its requests, so that the loss of one
	// leaves callers another address.
	minEntries = 2
)

// State is the state of a host.
type State int

// States of a host.
const (
	Starting State = iota
	Ready
	Leaving
)

// Heartbeat is a host's report about itself.
type Heartbeat struct {
	ID string
	// Incarnation distinguishes the starts of a host; later ones are higher.
	Incarnation   uint64
	Region        string
	Domain        string
	PeerAddress   string
	CallerAddress string
	// Capacity is the number of server slots whose requests the host can carry.
	Capacity int
	State    State
	// StoreLost is set if the store does not answer the host.
	StoreLost bool
	// Standby hosts send heartbeats less often.
	Standby bool
}

// ordersLike reports whether both heartbeats give the host the same place in the
// order of hosts.
func (b Heartbeat) ordersLike(other Heartbeat) bool {
	return b.Region == other.Region && b.Domain == other.Domain && b.Capacity == other.Capacity
}

// isFull reports whether the heartbeat includes the fields that do not change.
func (b Heartbeat) isFull() bool { return b.PeerAddress != "" }

// ForwardedHeartbeat is a heartbeat that another host forwards, with its age.
type ForwardedHeartbeat struct {
	Heartbeat
	Age time.Duration
}

type member struct {
	heartbeat Heartbeat
	lastSeen  time.Time
}

// Roster is one host's view.
type Roster struct {
	self    *member
	seeds   []string
	members map[string]*member
	// orders has the order of hosts for each key, until hosts come, go or change.
	orders map[string]*order
	rng    *rand.Rand
	// newPeers are hosts whose first heartbeat has arrived; they may know no
	// other host of their region.
	newPeers []Heartbeat
	// regionHosts has the other hosts of the region that this host has heard of in
	// the last hour, live or not; members has those of the last 30 s.
	regionHosts map[string]member
	// repliesLeft has, by peer address, how often hosts of the region that have started
	// are still told of the silent ones.
	repliesLeft map[string]int
	// joinedAt is when this host first heard of another one, zero until then.
	joinedAt time.Time
	// intervals is the number of calls of Heartbeats so far.
	intervals int
}

// New returns a roster that knows only this host and the addresses of seeds.
func New(self Heartbeat, seeds []string, rng *rand.Rand) *Roster {
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == self.PeerAddress })
	return &Roster{
		self:        &member{heartbeat: self},
		seeds:       seeds,
		members:     make(map[string]*member),
		orders:      make(map[string]*order),
		rng:         rng,
		regionHosts: make(map[string]member),
		repliesLeft: make(map[string]int),
	}
}

// Self returns this host's own heartbeat.
func (r *Roster) Self() Heartbeat { return r.self.heartbeat }

// SetState sets the state and the store status that this host reports.
func (r *Roster) SetState(state State, storeLost bool) {
	r.self.heartbeat.State, r.self.heartbeat.StoreLost = state, storeLost
}

// AddSeeds adds the peer addresses of seeds.
func (r *Roster) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if a != r.self.heartbeat.PeerAddress && !slices.Contains(r.seeds, a) {
			r.seeds = append(r.seeds, a)
		}
	}
}

// Receive merges a heartbeat of the given age into the view.
func (r *Roster) Receive(now time.Time, heartbeat Heartbeat, age time.Duration) {
	if heartbeat.ID == "" || heartbeat.ID == r.self.heartbeat.ID {
		return
	}
	seenAt := now.Add(-age)
	known := r.members[heartbeat.ID]
	if known == nil {
		if !heartbeat.isFull() {
			return
		}
		r.remember(now, heartbeat, seenAt)
		if age > removeAfter {
			// The view has only hosts that were heard of more recently.
			return
		}
		r.members[heartbeat.ID] = &member{heartbeat: heartbeat, lastSeen: seenAt}
		r.noteStart(now, heartbeat.ID)
		clear(r.orders)
		if age == 0 && len(r.newPeers) < maxNewPeers {
			r.newPeers = append(r.newPeers, heartbeat)
		}
		return
	}
	if !heartbeat.isFull() {
		if heartbeat.Incarnation != known.heartbeat.Incarnation {
			return
		}
		update := heartbeat
		heartbeat = known.heartbeat
		heartbeat.State, heartbeat.StoreLost, heartbeat.Standby = update.State, update.StoreLost, update.Standby
	}
	newer := heartbeat.Incarnation > known.heartbeat.Incarnation
	if newer || heartbeat.Incarnation == known.heartbeat.Incarnation && seenAt.After(known.lastSeen) {
		if !heartbeat.ordersLike(known.heartbeat) {
			clear(r.orders)
		}
		known.heartbeat, known.lastSeen = heartbeat, seenAt
		r.remember(now, heartbeat, seenAt)
		if newer {
			r.noteStart(now, heartbeat.ID)
		}
	}
}

// Message is a heartbeat to send.
type Message struct {
	To []string
	// Forwarded are heartbeats of hosts that the receivers may not know.
	Forwarded []ForwardedHeartbeat
	// Full messages include the fields of this host that do not change; they go to
	// hosts that may not know it.
	Full bool
}

// Heartbeats returns the heartbeats of one interval. slots is the number of server
// slots for which the region carries requests.
func (r *Roster) Heartbeats(now time.Time, slots int) []Message {
	local, remote := r.removeExpired(now)
	defer func() { r.intervals++ }()
	if len(local)+len(remote) == 0 {
		return []Message{{To: slices.Clone(r.seeds), Full: true}}
	}
	active := r.active(now, slots)
	justStarted := r.intervals < startupHeartbeats
	r.self.heartbeat.Standby = len(local) >= smallRegionHosts && !justStarted && r.self.heartbeat.State == Ready && !containsHost(active, r.self.heartbeat.ID)
	var messages []Message
	if r.self.heartbeat.Standby {
		messages = r.standbyHeartbeats(active)
	} else {
		messages = []Message{r.localHeartbeat(now, local, justStarted)}
	}
	messages = append(messages, r.newPeerReplies(now)...)
	messages = append(messages, r.startedHostReplies(now)...)
	if r.intervals%remoteIntervals == 0 && r.isDelegate(now) {
		messages = append(messages, r.remoteHeartbeat(now, remote))
	}
	return messages
}

// active returns the hosts of the region that carry requests, read the store or
// exchange heartbeats with other regions.
func (r *Roster) active(now time.Time, slots int) []Heartbeat {
	// The delegates are the first of the entry hosts.
	return append(r.EntriesFor(now, r.self.heartbeat.Region, slots), r.storeReaders(now)...)
}

// IsActive reports whether this host carries requests, reads the store or
// exchanges heartbeats with other regions.
func (r *Roster) IsActive(now time.Time, slots int) bool {
	return containsHost(r.active(now, slots), r.self.heartbeat.ID)
}

// IsAlone reports whether this host has no other host in its view.
func (r *Roster) IsAlone() bool { return len(r.members) == 0 }

// localHeartbeat returns the heartbeat to the whole region.
func (r *Roster) localHeartbeat(now time.Time, local []string, justStarted bool) Message {
	message := Message{To: local}
	if justStarted || r.intervals%forwardIntervals == 0 {
		message.Forwarded, message.Full = r.forwardable(now, ""), true
		message.To = append(message.To, r.randomSeed()...)
	}
	slices.Sort(message.To)
	message.To = slices.Compact(message.To)
	return message
}

// standbyHeartbeats returns the heartbeat of a standby host, if one is scheduled.
// It goes to the active hosts only, which occasionally forward heartbeats of some
// standby hosts to the others.
func (r *Roster) standbyHeartbeats(active []Heartbeat) []Message {
	if r.intervals%standbyIntervals != 0 {
		return nil
	}
	message := Message{Full: true}
	if r.intervals%(standbyIntervals*forwardIntervals) == 0 {
		message.To = r.randomSeed()
	}
	for _, b := range active {
		message.To = append(message.To, b.PeerAddress)
	}
	slices.Sort(message.To)
	message.To = slices.Compact(message.To)
	return []Message{message}
}

// randomSeed returns a seed, if there is one. Occasional heartbeats to seeds join
// parts of the fleet that started without contact.
func (r *Roster) randomSeed() []string {
	if len(r.seeds) == 0 {
		return nil
	}
	return []string{r.seeds[r.rng.IntN(len(r.seeds))]}
}

// newPeerReplies returns messages that forward to each new peer the heartbeats of
// hosts of its region.
func (r *Roster) newPeerReplies(now time.Time) []Message {
	var messages []Message
	for _, peer := range r.newPeers {
		messages = append(messages, Message{
			To:        []string{peer.PeerAddress},
			Forwarded: r.forwardable(now, peer.Region),
			Full:      true,
		})
	}
	r.newPeers = nil
	return messages
}

// removeExpired removes hosts that have sent nothing for removeAfter, and returns
// the peer addresses of the region and the names of the other regions.
func (r *Roster) removeExpired(now time.Time) (local []string, remote map[string]bool) {
	remote = make(map[string]bool)
	for id, m := range r.members {
		switch {
		case now.Sub(m.lastSeen) > removeAfter:
			delete(r.members, id)
			clear(r.orders)
		case m.heartbeat.Region == r.self.heartbeat.Region:
			local = append(local, m.heartbeat.PeerAddress)
		default:
			remote[m.heartbeat.Region] = true
		}
	}
	return local, remote
}

func (r *Roster) isDelegate(now time.Time) bool {
	return containsHost(r.Entries(now, r.self.heartbeat.Region, delegatesPerRegion), r.self.heartbeat.ID) || r.self.heartbeat.State != Ready
}

// remoteHeartbeat returns the heartbeat to one delegate of each other region, or
// to all its delegates if it is large: there, hosts learn of other regions only
// from what the delegates forward.
func (r *Roster) remoteHeartbeat(now time.Time, regions map[string]bool) Message {
	message := Message{Full: true, Forwarded: r.forwardable(now, r.self.heartbeat.Region)}
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		contacts := r.contacts(now, region)
		if len(r.hostsOf(region)) < smallRegionHosts {
			contacts = contacts[r.rng.IntN(len(contacts)):][:1]
		}
		message.To = append(message.To, peerAddresses(contacts)...)
	}
	return message
}

// contacts returns the hosts of another region to which heartbeats go: its
// delegates or, if none is live, any hosts in the view.
func (r *Roster) contacts(now time.Time, region string) []Heartbeat {
	hosts := r.Entries(now, region, delegatesPerRegion)
	if len(hosts) == 0 {
		hosts = r.hostsOf(region)
	}
	return hosts[:min(len(hosts), delegatesPerRegion)]
}

// LocalPeers returns the peer addresses of the other live hosts of the region.
func (r *Roster) LocalPeers(now time.Time) []string {
	live := slices.DeleteFunc(r.Live(now), func(b Heartbeat) bool { return b.Region != r.self.heartbeat.Region || b.ID == r.self.heartbeat.ID })
	return peerAddresses(live)
}

// Delegates returns the peer addresses of the delegates of other regions that
// this region notifies of changes: the next ones in the order of their names, so
// that each region is notified by the same number of regions.
func (r *Roster) Delegates(now time.Time) []string {
	regionSet := make(map[string]bool)
	for _, m := range r.members {
		if m.heartbeat.Region != r.self.heartbeat.Region {
			regionSet[m.heartbeat.Region] = true
		}
	}
	regions := slices.Sorted(maps.Keys(regionSet))
	next, _ := slices.BinarySearch(regions, r.self.heartbeat.Region)
	var addresses []string
	for i := range min(notifiedRegions, len(regions)) {
		region := regions[(next+i)%len(regions)]
		addresses = append(addresses, peerAddresses(r.contacts(now, region))...)
	}
	return addresses
}

func peerAddresses(heartbeats []Heartbeat) []string {
	addresses := make([]string, 0, len(heartbeats))
	for _, b := range heartbeats {
		addresses = append(addresses, b.PeerAddress)
	}
	return addresses
}

func (r *Roster) hostsOf(region string) []Heartbeat {
	var hosts []Heartbeat
	for _, m := range r.members {
		if m.heartbeat.Region == region {
			hosts = append(hosts, m.heartbeat)
		}
	}
	slices.SortFunc(hosts, func(a, b Heartbeat) int { return strings.Compare(a.ID, b.ID) })
	return hosts
}

func containsHost(heartbeats []Heartbeat, id string) bool {
	return slices.ContainsFunc(heartbeats, func(b Heartbeat) bool { return b.ID == id })
}

// forwardable returns heartbeats of live hosts of a region, or of all regions
// if region is empty: first of entry hosts of the other regions, of which a host
// learns in no other way.
func (r *Roster) forwardable(now time.Time, region string) []ForwardedHeartbeat {
	var found []ForwardedHeartbeat
	regions := make(map[string]bool)
	for _, m := range r.members {
		if r.isLive(now, m) && (region == "" || m.heartbeat.Region == region) {
			found = append(found, ForwardedHeartbeat{Heartbeat: m.heartbeat, Age: now.Sub(m.lastSeen)})
			regions[m.heartbeat.Region] = true
		}
	}
	entries := make(map[string]bool)
	for liveRegion := range regions {
		if liveRegion != r.self.heartbeat.Region || region != "" {
			for _, b := range r.Entries(now, liveRegion, delegatesPerRegion) {
				entries[b.ID] = true
			}
		}
	}
	order := func(i ForwardedHeartbeat) int {
		switch {
		case entries[i.ID]:
			return 0
		case i.Region == r.self.heartbeat.Region:
			return 1
		}
		return 2
	}
	slices.SortFunc(found, func(a, b ForwardedHeartbeat) int { return strings.Compare(a.ID, b.ID) })
	r.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b ForwardedHeartbeat) int { return cmp.Compare(order(a), order(b)) })
	return found[:min(len(found), maxForwarded)]
}

// Peer returns the latest heartbeat of another host.
func (r *Roster) Peer(id string) (Heartbeat, bool) {
	m := r.members[id]
	if m == nil {
		return Heartbeat{}, false
	}
	return m.heartbeat, true
}

func (r *Roster) isLive(now time.Time, m *member) bool {
	if m == r.self {
		return true
	}
	limit := RemoteTimeout
	switch {
	case m.heartbeat.Region == r.self.heartbeat.Region && m.heartbeat.Standby:
		limit = StandbyTimeout
	case m.heartbeat.Region == r.self.heartbeat.Region:
		limit = LocalTimeout
	}
	return now.Sub(m.lastSeen) < limit
}

// Live returns the hosts whose heartbeats are recent, this one included, sorted
// by ID.
func (r *Roster) Live(now time.Time) []Heartbeat {
	live := []Heartbeat{r.self.heartbeat}
	for _, m := range r.members {
		if r.isLive(now, m) {
			live = append(live, m.heartbeat)
		}
	}
	slices.SortFunc(live, func(a, b Heartbeat) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// LeavingShare returns the share of the other live hosts of the region that are
// leaving.
func (r *Roster) LeavingShare(now time.Time) float64 {
	live, leaving := 0, 0
	for _, m := range r.members {
		if m.heartbeat.Region != r.self.heartbeat.Region || !r.isLive(now, m) {
			continue
		}
		live++
		if m.heartbeat.State == Leaving {
			leaving++
		}
	}
	return float64(leaving) / float64(max(live, 1))
}

// Entries returns up to count ready hosts of a region, spread over its failure
// domains. Hosts with the same view choose the same ones, and few change when
// a host comes or goes.
func (r *Roster) Entries(now time.Time, region string, count int) []Heartbeat {
	return r.orderOf(region, region).choose(count, func(m *member) bool {
		return m.heartbeat.State == Ready && r.isLive(now, m)
	})
}

// EntriesFor returns the hosts that carry the requests for the given number of
// server slots of a region. Callers choose among them at random, so the host with
// the least capacity determines how many are needed; if no number is enough, the
// number that carries the most slots is chosen. With few entry hosts, each sees
// enough responses to know the load of the servers.
func (r *Roster) EntriesFor(now time.Time, region string, slots int) []Heartbeat {
	ready := r.Entries(now, region, len(r.members)+1)
	best, most := min(minEntries, len(ready)), 0
	for n := max(best, 1); n <= len(ready) && most < slots; n++ {
		if carried := n * ready[n-1].Capacity; carried > most {
			best, most = n, carried
		}
	}
	return ready[:best]
}
