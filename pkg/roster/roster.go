// Package roster keeps a host's view of the other hosts from heartbeats, and
// chooses the entry hosts that callers are told to use.
//
// Hosts that carry requests or read the store beat to every host of the region
// and, through delegates, to one host of each other region. In a large region
// the others, which stand by, beat to these only.
// The package does no I/O; a Roster is not safe for concurrent use.
package roster

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 400 * time.Millisecond
	// LocalTimeout is the silence after which a host of the region is taken for
	// dead: four heartbeats, since single datagrams are lost.
	LocalTimeout = 1700 * time.Millisecond
	// readerTimeout is the silence after which nobody counts on a host that carries
	// requests or reads the store to tell of changes: two heartbeats, of which one
	// may be lost. Changes have to be in force within 2 s, and a host that reads
	// the store for nothing costs a few calls.
	readerTimeout = time.Second
	// RemoteTimeout is LocalTimeout for other regions, whose news comes through
	// one of their hosts at a time.
	RemoteTimeout = 5 * time.Second
	// standbyEvery is the number of intervals between the heartbeats of a host
	// that carries no requests, in a region of more than smallRegion hosts: the
	// traffic of hosts that all beat to each other grows with the square of the
	// region. Bytes and wake-ups of 36 hosts took 0.05 of a day's worth.
	standbyEvery = 3
	smallRegion  = 12
	// StandbyTimeout is the silence after which such a host is taken for dead:
	// four of its heartbeats.
	StandbyTimeout = 5 * time.Second
	// forgetAfter is how long the address of a silent host is tried.
	forgetAfter = 30 * time.Second
	// maxIntroduced bounds the hosts named in one heartbeat, so that it fits a
	// datagram.
	maxIntroduced = 12
	// remoteEvery and introduceEvery are the numbers of heartbeats of which one
	// goes to other regions, and one introduces hosts to the own region: bytes
	// between failure domains and regions are priced.
	remoteEvery    = 3
	introduceEvery = 8
	// newcomerBeats is the number of heartbeats for which a host that has just
	// started is taken not to know the others.
	newcomerBeats = 6
	// maxNewcomers bounds those that are answered in one interval.
	maxNewcomers = 16
	// delegates is the number of hosts of a region that speak to other regions.
	delegates = 2
	// toldRegions is the number of other regions that are told at once of what is
	// read from the store: bytes must not grow with the number of regions, and a
	// region needs a few that tell it.
	toldRegions = 3
	// readers is the number of hosts of a region that read the store for it.
	// While it answers none of them, that number and as many more as have lost it
	// read: a round of replacements takes a second to find that they are turned
	// away, too. maxReaders bounds the hosts of a region that are tried.
	readers    = 2
	maxReaders = 8
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

// Heartbeat is what a host says of itself.
type Heartbeat struct {
	ID string
	// Incarnation tells the starts of a host apart; later ones are higher.
	Incarnation   uint64
	Region        string
	Domain        string
	PeerAddress   string
	CallerAddress string
	// Capacity is the number of server slots whose requests the host can carry.
	Capacity int
	State    State
	// StoreLost says that the store does not answer the host.
	StoreLost bool
	// Standby hosts beat less often.
	Standby bool
}

// isWhole reports whether the beat has what does not change, too.
func (b Heartbeat) isWhole() bool { return b.PeerAddress != "" }

// ForwardedHeartbeat is a beat that another host passes on, with its age.
type ForwardedHeartbeat struct {
	Heartbeat
	Age time.Duration
}

type member struct {
	beat  Heartbeat
	heard time.Time
}

// Roster is one host's view.
type Roster struct {
	self    Heartbeat
	seeds   []string
	members map[string]*member
	rng     *rand.Rand
	// newcomers have spoken to this host for the first time; they may know
	// nobody else of their region.
	newcomers []Heartbeat
	// beats is the number of heartbeats so far.
	beats int
}

// New returns a roster that knows only this host and addresses to ask.
func New(self Heartbeat, seeds []string, rng *rand.Rand) *Roster {
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == self.PeerAddress })
	return &Roster{self: self, seeds: seeds, members: make(map[string]*member), rng: rng}
}

// Self returns this host's own beat.
func (r *Roster) Self() Heartbeat { return r.self }

// SetState changes what this host says of itself.
func (r *Roster) SetState(state State, storeLost bool) {
	r.self.State, r.self.StoreLost = state, storeLost
}

// AddSeeds adds addresses to ask.
func (r *Roster) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if a != r.self.PeerAddress && !slices.Contains(r.seeds, a) {
			r.seeds = append(r.seeds, a)
		}
	}
}

// Receive takes a beat that is age old.
func (r *Roster) Receive(now time.Time, beat Heartbeat, age time.Duration) {
	if beat.ID == "" || beat.ID == r.self.ID {
		return
	}
	at := now.Add(-age)
	known := r.members[beat.ID]
	if known == nil {
		if !beat.isWhole() {
			return
		}
		r.members[beat.ID] = &member{beat: beat, heard: at}
		if age == 0 && len(r.newcomers) < maxNewcomers {
			r.newcomers = append(r.newcomers, beat)
		}
		return
	}
	if !beat.isWhole() {
		if beat.Incarnation != known.beat.Incarnation {
			return
		}
		said := beat
		beat = known.beat
		beat.State, beat.StoreLost, beat.Standby = said.State, said.StoreLost, said.Standby
	}
	newer := beat.Incarnation > known.beat.Incarnation
	if newer || beat.Incarnation == known.beat.Incarnation && at.After(known.heard) {
		known.beat, known.heard = beat, at
	}
}

// Message is a heartbeat to send.
type Message struct {
	To []string
	// Forwarded are hosts that the receivers may not know.
	Forwarded []ForwardedHeartbeat
	// Full messages go to hosts that may not know this one.
	Full bool
}

// Heartbeats returns the heartbeats of one interval. slots is the number of server
// slots for which the region carries requests.
func (r *Roster) Heartbeats(now time.Time, slots int) []Message {
	local, remote := r.forgetSilent(now)
	defer func() { r.beats++ }()
	if len(local)+len(remote) == 0 {
		return []Message{{To: slices.Clone(r.seeds), Full: true}}
	}
	active := r.active(now, slots)
	newcomer := r.beats < newcomerBeats
	r.self.Standby = len(local) >= smallRegion && !newcomer && r.self.State == Ready && !containsHost(active, r.self.ID)
	var messages []Message
	if r.self.Standby {
		messages = r.standbyBeat(active)
	} else {
		messages = []Message{r.fullBeat(now, local, newcomer)}
	}
	messages = append(messages, r.welcomes(now)...)
	if r.beats%remoteEvery == 0 && r.isDelegate(now) {
		messages = append(messages, r.remoteBeat(now, remote))
	}
	return messages
}

// active returns the hosts of the region that carry requests, read the store or
// speak to other regions.
func (r *Roster) active(now time.Time, slots int) []Heartbeat {
	// The delegates are the first of the entry hosts.
	return append(r.EntriesFor(now, r.self.Region, slots), r.storeReaders(now)...)
}

// IsActive reports whether this host carries requests, reads the store or speaks
// to other regions.
func (r *Roster) IsActive(now time.Time, slots int) bool {
	return containsHost(r.active(now, slots), r.self.ID)
}

// IsAlone reports whether this host has heard of no other lately.
func (r *Roster) IsAlone() bool { return len(r.members) == 0 }

// fullBeat goes to the whole region.
func (r *Roster) fullBeat(now time.Time, local []string, newcomer bool) Message {
	near := Message{To: local}
	if newcomer || r.beats%introduceEvery == 0 {
		near.Forwarded, near.Full = r.introductions(now, ""), true
		near.To = append(near.To, r.randomSeed()...)
	}
	slices.Sort(near.To)
	near.To = slices.Compact(near.To)
	return near
}

// standbyBeat goes to the active hosts only, which tell the others now and then
// of each other.
func (r *Roster) standbyBeat(active []Heartbeat) []Message {
	if r.beats%standbyEvery != 0 {
		return nil
	}
	message := Message{Full: true}
	if r.beats%(standbyEvery*introduceEvery) == 0 {
		message.To = r.randomSeed()
	}
	for _, b := range active {
		message.To = append(message.To, b.PeerAddress)
	}
	slices.Sort(message.To)
	message.To = slices.Compact(message.To)
	return []Message{message}
}

// randomSeed returns a seed: a heartbeat to one now and then joins parts of the
// fleet that started apart.
func (r *Roster) randomSeed() []string {
	if len(r.seeds) == 0 {
		return nil
	}
	return []string{r.seeds[r.rng.IntN(len(r.seeds))]}
}

// welcomes tells hosts that are new to this one of the hosts of their region.
func (r *Roster) welcomes(now time.Time) []Message {
	var messages []Message
	for _, newcomer := range r.newcomers {
		messages = append(messages, Message{
			To:        []string{newcomer.PeerAddress},
			Forwarded: r.introductions(now, newcomer.Region),
			Full:      true,
		})
	}
	r.newcomers = nil
	return messages
}

// forgetSilent drops hosts that were silent for long, and returns the peer
// addresses of the region and the other regions.
func (r *Roster) forgetSilent(now time.Time) (local []string, remote map[string]bool) {
	remote = make(map[string]bool)
	for id, m := range r.members {
		switch {
		case now.Sub(m.heard) > forgetAfter:
			delete(r.members, id)
		case m.beat.Region == r.self.Region:
			local = append(local, m.beat.PeerAddress)
		default:
			remote[m.beat.Region] = true
		}
	}
	return local, remote
}

func (r *Roster) isDelegate(now time.Time) bool {
	return containsHost(r.Entries(now, r.self.Region, delegates), r.self.ID) || r.self.State != Ready
}

// remoteBeat goes to one delegate of each other region, or to all of them if it
// is large: there the delegates' introductions are all that the others hear.
func (r *Roster) remoteBeat(now time.Time, regions map[string]bool) Message {
	message := Message{Full: true, Forwarded: r.introductions(now, r.self.Region)}
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		known := r.contacts(now, region)
		if len(r.anyOf(region)) < smallRegion {
			known = known[r.rng.IntN(len(known)):][:1]
		}
		message.To = append(message.To, peerAddresses(known)...)
	}
	return message
}

// contacts returns the hosts of another region to speak to: its delegates, or
// any that were heard of.
func (r *Roster) contacts(now time.Time, region string) []Heartbeat {
	known := r.Entries(now, region, delegates)
	if len(known) == 0 {
		known = r.anyOf(region)
	}
	return known[:min(len(known), delegates)]
}

// LocalPeers returns the peer addresses of the live hosts of the region.
func (r *Roster) LocalPeers(now time.Time) []string {
	live := slices.DeleteFunc(r.Live(now), func(b Heartbeat) bool { return b.Region != r.self.Region || b.ID == r.self.ID })
	return peerAddresses(live)
}

// Delegates returns the peer addresses of the delegates of other regions that
// this region tells of news: the next ones in the order of their names, so that
// each region is told by as many.
func (r *Roster) Delegates(now time.Time) []string {
	known := make(map[string]bool)
	for _, m := range r.members {
		if m.beat.Region != r.self.Region {
			known[m.beat.Region] = true
		}
	}
	regions := slices.Sorted(maps.Keys(known))
	next, _ := slices.BinarySearch(regions, r.self.Region)
	var addresses []string
	for i := range min(toldRegions, len(regions)) {
		region := regions[(next+i)%len(regions)]
		addresses = append(addresses, peerAddresses(r.contacts(now, region))...)
	}
	return addresses
}

func peerAddresses(beats []Heartbeat) []string {
	addresses := make([]string, 0, len(beats))
	for _, b := range beats {
		addresses = append(addresses, b.PeerAddress)
	}
	return addresses
}

func (r *Roster) anyOf(region string) []Heartbeat {
	var beats []Heartbeat
	for _, m := range r.members {
		if m.beat.Region == region {
			beats = append(beats, m.beat)
		}
	}
	slices.SortFunc(beats, func(a, b Heartbeat) int { return strings.Compare(a.ID, b.ID) })
	return beats
}

func containsHost(beats []Heartbeat, id string) bool {
	return slices.ContainsFunc(beats, func(b Heartbeat) bool { return b.ID == id })
}

// introductions returns live hosts of a region, or of all regions: first entry
// hosts of the other regions, of which a host hears in no other way.
func (r *Roster) introductions(now time.Time, region string) []ForwardedHeartbeat {
	var found []ForwardedHeartbeat
	regions := make(map[string]bool)
	for _, m := range r.members {
		if r.isLive(now, m) && (region == "" || m.beat.Region == region) {
			found = append(found, ForwardedHeartbeat{Heartbeat: m.beat, Age: now.Sub(m.heard)})
			regions[m.beat.Region] = true
		}
	}
	entries := make(map[string]bool)
	for of := range regions {
		if of != r.self.Region || region != "" {
			for _, b := range r.Entries(now, of, delegates) {
				entries[b.ID] = true
			}
		}
	}
	order := func(i ForwardedHeartbeat) int {
		switch {
		case entries[i.ID]:
			return 0
		case i.Region == r.self.Region:
			return 1
		}
		return 2
	}
	slices.SortFunc(found, func(a, b ForwardedHeartbeat) int { return strings.Compare(a.ID, b.ID) })
	r.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b ForwardedHeartbeat) int { return cmp.Compare(order(a), order(b)) })
	return found[:min(len(found), maxIntroduced)]
}

// Peer returns what is known of another host.
func (r *Roster) Peer(id string) (Heartbeat, bool) {
	m := r.members[id]
	if m == nil {
		return Heartbeat{}, false
	}
	return m.beat, true
}

func (r *Roster) isLive(now time.Time, m *member) bool {
	limit := RemoteTimeout
	switch {
	case m.beat.Region == r.self.Region && m.beat.Standby:
		limit = StandbyTimeout
	case m.beat.Region == r.self.Region:
		limit = LocalTimeout
	}
	return now.Sub(m.heard) < limit
}

// Live returns the hosts that are heard of, this one included, by ID.
func (r *Roster) Live(now time.Time) []Heartbeat {
	live := []Heartbeat{r.self}
	for _, m := range r.members {
		if r.isLive(now, m) {
			live = append(live, m.beat)
		}
	}
	slices.SortFunc(live, func(a, b Heartbeat) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// Entries returns up to count ready hosts of a region, spread over its failure
// domains. Hosts with the same view choose the same ones, and few change when
// a host comes or goes.
func (r *Roster) Entries(now time.Time, region string, count int) []Heartbeat {
	var ready []Heartbeat
	for _, beat := range r.Live(now) {
		if beat.Region == region && beat.State == Ready {
			ready = append(ready, beat)
		}
	}
	return spread(region, ready, count)
}

// EntriesFor returns the hosts that carry the requests for so many server slots
// of a region. Callers choose among them at random, so the one with the least
// capacity decides how many there have to be; if no number is enough, those are
// chosen that carry most. Callers on few hosts let each of these see enough
// answers to know the load of the servers.
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

// spread chooses up to count hosts: those of the highest capacity first, and
// among equals by rendezvous hashing, one failure domain after the other.
func spread(key string, hosts []Heartbeat, count int) []Heartbeat {
	byCapacity := make(map[int][]Heartbeat)
	for _, beat := range hosts {
		byCapacity[beat.Capacity] = append(byCapacity[beat.Capacity], beat)
	}
	capacities := slices.Sorted(maps.Keys(byCapacity))
	slices.Reverse(capacities)
	var chosen []Heartbeat
	for _, capacity := range capacities {
		chosen = append(chosen, spreadEqual(key, byCapacity[capacity], count-len(chosen))...)
	}
	return chosen
}

func spreadEqual(key string, hosts []Heartbeat, count int) []Heartbeat {
	byDomain := make(map[string][]Heartbeat)
	for _, beat := range hosts {
		byDomain[beat.Domain] = append(byDomain[beat.Domain], beat)
	}
	for _, beats := range byDomain {
		slices.SortFunc(beats, func(a, b Heartbeat) int {
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
