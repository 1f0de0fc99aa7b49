// Package configreplica keeps a host's replica of the configuration. The
// generation only rises. It decides who watches the store, feeds the hosts of
// a failure domain in a tree, repairs missed changes by pulls, and decides
// when a starting host may use what its peers gave it.
//
// The package does no I/O. Methods take the current time and return the
// messages to send as actions. A Replica is not safe for concurrent use.
package configreplica

import (
	"math/rand"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Config holds the replica's times and limits.
type Config struct {
	// Watchers is the number of hosts per failure domain that watch the store.
	Watchers int
	// Fanout is the number of children in the feed tree.
	Fanout int
	// StandbyDelay is how long a watcher other than the first waits for the
	// first one's push before it feeds the failure domain itself.
	StandbyDelay time.Duration
	// PullTimeout is how long an unanswered pull holds back another one.
	PullTimeout time.Duration
	// StartInterval is the time between rounds of pulls of a starting host.
	StartInterval time.Duration
	// StartDomains is the number of failure domains that a starting host has
	// to hear without the store.
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

// Meta is the part of a generation that is not the document.
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

// Delta is a generation as the difference to an earlier one. A base of 0 is
// the empty document.
type Delta struct {
	Base       model.Generation
	Generation model.Generation
	Changed    []Section
	Removed    []string
	// Digest is that of the resulting text.
	Digest uint64
	Meta   Meta
}

// Action is a message to send: Push or Pull.
type Action interface{ isAction() }

// Push sends a delta to a host, which passes it on to the subtree. A failure
// is given to PushFailed.
type Push struct {
	To      model.HostID
	Delta   Delta
	Subtree []model.HostID
}

// Pull asks a host for what it holds. The answer is given to Pulled, a
// failure to PullFailed.
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

// Replica is one host's replica.
type Replica struct {
	cfg  Config
	rng  *rand.Rand
	self model.HostRecord

	current Snapshot
	history []version // oldest first, the last one is current
	// fed is the newest generation that this host has passed on.
	fed model.Generation
	// pushed is the newest generation that arrived by push.
	pushed model.Generation

	feed    feed
	standby standby
	pull    outstandingPull
	start   start
}

// outstandingPull is the pull that waits for its answer.
type outstandingPull struct {
	wanted model.Generation
	until  time.Time
}

// New returns a replica without a configuration.
func New(self model.HostRecord, cfg Config, rng *rand.Rand) *Replica {
	return &Replica{cfg: cfg, rng: rng, self: self, start: start{heard: make(map[model.HostID]model.Generation)}}
}

// Current returns the newest generation that this host holds. Its generation
// is 0 before the first one.
func (r *Replica) Current() Snapshot { return r.current }

// Advertised is the generation for probes: 0 until the host is ready.
func (r *Replica) Advertised() model.Generation {
	if !r.start.ready {
		return 0
	}
	return r.current.Generation
}

// Tick starts pulls of a starting host and overdue feeds of a standby.
func (r *Replica) Tick(now time.Time) []Action {
	return append(r.startPulls(now), r.feedOverdue(now)...)
}

// FromStore takes what the store holds.
func (r *Replica) FromStore(now time.Time, s Snapshot) []Action {
	r.start.storeSeen = true
	if !r.raise(s) {
		r.checkReady()
		return nil
	}
	return r.gained(now)
}

// StoreEmpty notes that the store holds no configuration, so that whatever
// arrives later is newer.
func (r *Replica) StoreEmpty() { r.start.storeSeen = true }

// ReceivePush takes a delta of the feed tree. applied is false if the host
// has the generation already or has to pull it.
func (r *Replica) ReceivePush(now time.Time, from model.HostID, d Delta, subtree []model.HostID) (applied bool, actions []Action) {
	r.pushed = max(r.pushed, d.Generation)
	if d.Generation > r.fed {
		r.fed = d.Generation
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

// PeerGeneration takes the generation that a probe or its reply carried and
// pulls a higher one.
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

// PullReply returns what a host with that generation lacks: a delta if the
// base is known here, and else a delta to the empty document. The generation
// is 0 if this host has none that it may use: a starting host must not vouch
// for what a single peer told it.
func (r *Replica) PullReply(have model.Generation) Delta {
	if !r.start.ready {
		return Delta{}
	}
	return r.deltaFrom(have)
}

// Pulled takes the answer to a pull.
func (r *Replica) Pulled(now time.Time, from model.HostID, d Delta) []Action {
	r.pull = outstandingPull{}
	r.hear(from, d.Generation)
	if d.Generation <= r.current.Generation || !r.applyDelta(d) {
		r.checkReady()
		return nil
	}
	return r.gained(now)
}

// PullFailed takes the failure of a pull.
func (r *Replica) PullFailed() { r.pull = outstandingPull{} }

// raise puts a higher generation in place of the current one.
func (r *Replica) raise(s Snapshot) bool {
	return r.adopt(s, split(s.Text))
}

func (r *Replica) adopt(s Snapshot, sections []Section) bool {
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

// applyDelta reports whether the base is held and the result is the one that
// the sender has.
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
	return r.adopt(Snapshot{Generation: d.Generation, Text: text, Meta: d.Meta}, sections)
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

// deltaFrom returns the current generation as a difference to the base, or to
// the empty document if the base is not known or the order changed.
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
