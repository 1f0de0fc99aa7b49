// Package configreplica keeps a host's replica of the configuration, whose
// generation never decreases. It selects the hosts that watch the store, feeds
// the hosts of a failure domain through a tree, repairs missed changes by
// pulls, and decides when a starting host may use a configuration that it
// received from its peers.
//
// The package does no I/O. Methods take the current time and return the
// messages to send as actions. A Replica is not safe for concurrent use.
package configreplica

import (
	"math/rand"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Config holds the intervals and limits of a replica.
type Config struct {
	// Watchers is the number of hosts per failure domain that watch the store.
	Watchers int
	// Fanout is the number of children in the feed tree.
	Fanout int
	// StandbyDelay is the time that the second watcher waits for a push of the
	// first one before it feeds the failure domain itself. Each further
	// watcher waits one StandbyDelay longer.
	StandbyDelay time.Duration
	// PullTimeout is the time for which an unanswered pull suppresses further
	// repair pulls of the same or an older generation.
	PullTimeout time.Duration
	// StartInterval is the time between rounds of pulls of a starting host.
	StartInterval time.Duration
	// StartDomains is the number of failure domains from which a starting host
	// needs a configuration if it cannot read the store.
	StartDomains int
	// History is the number of generations kept as bases for deltas.
	History int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Watchers:      2,
		Fanout:        8,
		StandbyDelay:  time.Second,
		PullTimeout:   time.Second,
		StartInterval: 500 * time.Millisecond,
		StartDomains:  2,
		History:       16,
	}
}

// Meta is the metadata of a generation.
type Meta struct {
	AcceptedUnixMillis int64
	WeightsBefore      map[string]float64
	WriteID            string
}

// Snapshot is one whole generation.
type Snapshot struct {
	Generation model.Generation
	Text       string
	Meta       Meta
}

// Delta is a generation as the difference from an earlier one. A base of 0 is
// the empty document.
type Delta struct {
	Base       model.Generation
	Generation model.Generation
	Changed    []Section
	Removed    []string
	// Digest is the digest of the resulting text.
	Digest uint64
	Meta   Meta
}

// Action is a message to send: Push or Pull.
type Action interface{ isAction() }

// Push sends a delta to a host, which forwards it to the subtree. The sender
// reports a failure to PushFailed.
type Push struct {
	To      model.HostID
	Delta   Delta
	Subtree []model.HostID
}

// Pull requests the configuration of a host. The sender passes the reply to
// Pulled and reports a failure to PullFailed.
type Pull struct {
	From model.HostID
	Have model.Generation
}

func (Push) isAction() {}
func (Pull) isAction() {}

type version struct {
	generation model.Generation
	sections   []Section
}

// Replica is the replica of one host.
type Replica struct {
	cfg  Config
	rng  *rand.Rand
	self model.HostRecord

	current Snapshot
	history []version // oldest first; the last one is current
	// forwarded is the newest generation that this host has pushed to others.
	forwarded model.Generation
	// newestPush is the newest generation that arrived by push.
	newestPush model.Generation

	live    liveHosts
	standby standby
	pull    outstandingPull
	start   start
}

// outstandingPull is the pull that waits for its reply.
type outstandingPull struct {
	wanted model.Generation
	until  time.Time
}

// New returns a replica without a configuration.
func New(self model.HostRecord, cfg Config, rng *rand.Rand) *Replica {
	return &Replica{cfg: cfg, rng: rng, self: self, start: start{replies: make(map[model.HostID]model.Generation)}}
}

// Current returns the newest configuration of this host. Its generation is 0
// until the first one arrives.
func (r *Replica) Current() Snapshot { return r.current }

// Advertised returns the generation that probes carry: 0 until the host is
// ready.
func (r *Replica) Advertised() model.Generation {
	if !r.start.ready {
		return 0
	}
	return r.current.Generation
}

// Tick returns the pulls of a starting host and the pushes of a standby whose
// delay has passed.
func (r *Replica) Tick(now time.Time) []Action {
	return append(r.startPulls(now), r.feedOverdue(now)...)
}

// FromStore handles a configuration read from the store.
func (r *Replica) FromStore(now time.Time, s Snapshot) []Action {
	r.start.storeSeen = true
	if !r.applySnapshot(s) {
		r.checkReady()
		return nil
	}
	return r.feedNew(now)
}

// StoreEmpty records that the store holds no configuration, so that any
// configuration that arrives later is newer.
func (r *Replica) StoreEmpty() { r.start.storeSeen = true }

// ReceivePush handles a delta of the feed tree. applied is false if the host
// has the generation already or has to pull it.
func (r *Replica) ReceivePush(now time.Time, from model.HostID, d Delta, subtree []model.HostID) (applied bool, actions []Action) {
	r.newestPush = max(r.newestPush, d.Generation)
	if d.Generation > r.forwarded {
		r.forwarded = d.Generation
		actions = r.pushes(d, subtree)
	}
	if d.Generation <= r.current.Generation {
		return false, actions
	}
	if r.applyDelta(d) {
		return true, actions
	}
	return false, append(actions, r.pullFrom(now, from, d.Generation)...)
}

// PeerGeneration handles the generation carried by a probe or its reply and
// pulls it if it is higher.
func (r *Replica) PeerGeneration(now time.Time, peer model.HostID, g model.Generation) []Action {
	if g <= r.current.Generation {
		return nil
	}
	return r.pullFrom(now, peer, g)
}

func (r *Replica) pullFrom(now time.Time, peer model.HostID, g model.Generation) []Action {
	if now.Before(r.pull.until) && g <= r.pull.wanted {
		return nil
	}
	r.pull = outstandingPull{wanted: g, until: now.Add(r.cfg.PullTimeout)}
	return []Action{Pull{From: peer, Have: r.current.Generation}}
}

// PullReply returns the reply to the pull of a host that has the given
// generation: the difference from it if it is in the history, and otherwise
// from the empty document. The reply has generation 0 until this host is
// ready, because a starting host must not confirm a configuration that it
// received from a single peer.
func (r *Replica) PullReply(have model.Generation) Delta {
	if !r.start.ready {
		return Delta{}
	}
	return r.deltaFrom(have)
}

// Pulled handles the reply to a pull.
func (r *Replica) Pulled(now time.Time, from model.HostID, d Delta) []Action {
	r.pull = outstandingPull{}
	r.recordReply(from, d.Generation)
	if d.Generation <= r.current.Generation || !r.applyDelta(d) {
		r.checkReady()
		return nil
	}
	return r.feedNew(now)
}

// PullFailed handles the failure of a pull.
func (r *Replica) PullFailed() { r.pull = outstandingPull{} }

// applySnapshot replaces the current generation by a higher one.
func (r *Replica) applySnapshot(s Snapshot) bool {
	return r.apply(s, split(s.Text))
}

func (r *Replica) apply(s Snapshot, sections []Section) bool {
	if s.Generation <= r.current.Generation {
		return false
	}
	r.current = s
	r.history = append(r.history, version{s.Generation, sections})
	if len(r.history) > r.cfg.History {
		r.history = append([]version(nil), r.history[1:]...)
	}
	r.checkReady()
	return true
}

// applyDelta applies a delta. It returns false if the base is not in the
// history, the digest of the result does not match, or the generation is not
// higher than the current one.
func (r *Replica) applyDelta(d Delta) bool {
	base, ok := r.base(d.Base)
	if !ok {
		return false
	}
	sections := patch(base, d.Changed, d.Removed)
	text := join(sections)
	if digest(text) != d.Digest {
		return false
	}
	return r.apply(Snapshot{Generation: d.Generation, Text: text, Meta: d.Meta}, sections)
}

func (r *Replica) base(g model.Generation) ([]Section, bool) {
	if g == 0 {
		return nil, true
	}
	for _, v := range r.history {
		if v.generation == g {
			return v.sections, true
		}
	}
	return nil, false
}

// deltaFrom returns the current generation as the difference from generation
// g, or from the empty document if g is not in the history or the sections
// changed their order.
func (r *Replica) deltaFrom(g model.Generation) Delta {
	if r.current.Generation == 0 {
		return Delta{}
	}
	d := Delta{Generation: r.current.Generation, Digest: digest(r.current.Text), Meta: r.current.Meta}
	target := r.history[len(r.history)-1].sections
	if base, ok := r.base(g); ok {
		if changed, removed, ok := diff(base, target); ok {
			d.Base, d.Changed, d.Removed = g, changed, removed
			return d
		}
	}
	d.Changed, _, _ = diff(nil, target)
	return d
}
