// Package roster keeps a host's view of the other hosts from heartbeats, and
// chooses the entry hosts that callers are told to use.
//
// Heartbeats go to every host of the region and to one host of each other
// region, so a host's traffic grows with its region and not with the fleet.
// The package does no I/O; a Roster is not safe for concurrent use.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

const (
	// BeatInterval is the time between two heartbeats.
	BeatInterval = 400 * time.Millisecond
	// LocalTimeout is the silence after which a host of the region is taken for
	// dead: four heartbeats, since single datagrams are lost.
	LocalTimeout = 1700 * time.Millisecond
	// RemoteTimeout is the same for other regions, whose news comes through
	// one of their hosts at a time.
	RemoteTimeout = 5 * time.Second
	// forgetAfter is how long the address of a silent host is tried.
	forgetAfter = 30 * time.Second
	// maxIntroduced bounds the hosts named in one heartbeat, so that it fits a
	// datagram.
	maxIntroduced = 12
)

// State is the state of a host.
type State int

// States of a host.
const (
	Starting State = iota
	Ready
	Leaving
)

// Beat is what a host says of itself.
type Beat struct {
	ID string
	// Incarnation tells the starts of a host apart; later ones are higher.
	Incarnation   uint64
	Region        string
	Domain        string
	PeerAddress   string
	CallerAddress string
	State         State
	ConfigVersion uint64
}

// Introduction is a beat that another host passes on, with its age.
type Introduction struct {
	Beat
	Age time.Duration
}

type member struct {
	beat  Beat
	heard time.Time
}

// Roster is one host's view.
type Roster struct {
	self    Beat
	seeds   []string
	members map[string]*member
	rng     *rand.Rand
}

// New returns a roster that knows only this host and addresses to ask.
func New(self Beat, seeds []string, rng *rand.Rand) *Roster {
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == self.PeerAddress })
	return &Roster{self: self, seeds: seeds, members: make(map[string]*member), rng: rng}
}

// Self returns this host's own beat.
func (r *Roster) Self() Beat { return r.self }

// SetState changes what this host says of itself.
func (r *Roster) SetState(state State, configVersion uint64) {
	r.self.State, r.self.ConfigVersion = state, configVersion
}

// AddSeeds adds addresses to ask.
func (r *Roster) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if a != r.self.PeerAddress && !slices.Contains(r.seeds, a) {
			r.seeds = append(r.seeds, a)
		}
	}
}

// Heard takes a beat that is age old.
func (r *Roster) Heard(now time.Time, beat Beat, age time.Duration) {
	if beat.ID == "" || beat.ID == r.self.ID {
		return
	}
	at := now.Add(-age)
	known := r.members[beat.ID]
	if known == nil {
		r.members[beat.ID] = &member{beat: beat, heard: at}
		return
	}
	newer := beat.Incarnation > known.beat.Incarnation
	if newer || beat.Incarnation == known.beat.Incarnation && at.After(known.heard) {
		known.beat, known.heard = beat, at
	}
}

// Targets returns the addresses that get a heartbeat now.
func (r *Roster) Targets(now time.Time) []string {
	var targets []string
	remote := make(map[string][]string)
	for id, m := range r.members {
		if now.Sub(m.heard) > forgetAfter {
			delete(r.members, id)
			continue
		}
		if m.beat.Region == r.self.Region {
			targets = append(targets, m.beat.PeerAddress)
			continue
		}
		remote[m.beat.Region] = append(remote[m.beat.Region], m.beat.PeerAddress)
	}
	for _, addresses := range remote {
		targets = append(targets, addresses[r.rng.IntN(len(addresses))])
	}
	if len(targets) == 0 {
		return slices.Clone(r.seeds)
	}
	// A seed now and then joins halves of the fleet that started apart.
	if len(r.seeds) > 0 {
		targets = append(targets, r.seeds[r.rng.IntN(len(r.seeds))])
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// Introductions returns live hosts for a receiver that may not know them: all
// those of the region, then others, up to a bound.
func (r *Roster) Introductions(now time.Time) []Introduction {
	var found []Introduction
	for _, m := range r.members {
		if r.isLive(now, m) {
			found = append(found, Introduction{Beat: m.beat, Age: now.Sub(m.heard)})
		}
	}
	r.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b Introduction) int {
		return cmp.Compare(r.remoteness(a.Region), r.remoteness(b.Region))
	})
	return found[:min(len(found), maxIntroduced)]
}

func (r *Roster) remoteness(region string) int {
	if region == r.self.Region {
		return 0
	}
	return 1
}

func (r *Roster) isLive(now time.Time, m *member) bool {
	limit := RemoteTimeout
	if m.beat.Region == r.self.Region {
		limit = LocalTimeout
	}
	return now.Sub(m.heard) < limit
}

// Live returns the hosts that are heard of, this one included, by ID.
func (r *Roster) Live(now time.Time) []Beat {
	live := []Beat{r.self}
	for _, m := range r.members {
		if r.isLive(now, m) {
			live = append(live, m.beat)
		}
	}
	slices.SortFunc(live, func(a, b Beat) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// Entries returns up to count ready hosts of a region, spread over its failure
// domains. Hosts with the same view choose the same ones, and few change when
// a host comes or goes. Callers on few hosts let each of these see enough
// answers to know the load of the servers.
func (r *Roster) Entries(now time.Time, region string, count int) []Beat {
	byDomain := make(map[string][]Beat)
	var domains []string
	for _, beat := range r.Live(now) {
		if beat.Region != region || beat.State != Ready {
			continue
		}
		if byDomain[beat.Domain] == nil {
			domains = append(domains, beat.Domain)
		}
		byDomain[beat.Domain] = append(byDomain[beat.Domain], beat)
	}
	slices.Sort(domains)
	for _, beats := range byDomain {
		slices.SortFunc(beats, func(a, b Beat) int {
			return cmp.Compare(rendezvous.Score(region, b.ID), rendezvous.Score(region, a.ID))
		})
	}
	var chosen []Beat
	for round := 0; len(chosen) < count; round++ {
		before := len(chosen)
		for _, domain := range domains {
			if round < len(byDomain[domain]) && len(chosen) < count {
				chosen = append(chosen, byDomain[domain][round])
			}
		}
		if len(chosen) == before {
			break
		}
	}
	return chosen
}
