package configreplica

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// start is what a starting host has heard. It is not used once ready.
type start struct {
	ready     bool
	storeSeen bool
	next      time.Time
	// heard are the answers of peers; 0 is a peer without a configuration.
	heard map[model.HostID]model.Generation
}

// pullsPerRound bounds the pulls of one round of a starting host.
const pullsPerRound = 3

// Ready reports whether the host may use the configuration that it holds. It
// stays true.
func (r *Replica) Ready() bool { return r.start.ready }

// RepliedPeers is the number of peers that answered while this host was starting.
func (r *Replica) RepliedPeers() int { return len(r.start.heard) }

// hear notes a peer's answer to a pull.
func (r *Replica) hear(peer model.HostID, g model.Generation) {
	if !r.start.ready {
		r.start.heard[peer] = g
	}
}

// startPulls asks live peers of failure domains that have not answered.
func (r *Replica) startPulls(now time.Time) []Action {
	if r.start.ready || now.Before(r.start.next) {
		return nil
	}
	r.start.next = now.Add(r.cfg.StartInterval)
	holding, _ := r.domains()
	asked := make(map[model.FailureDomain]bool)
	var actions []Action
	for _, i := range r.rng.Perm(len(r.feed.peers)) {
		peer := r.feed.peers[i]
		if len(actions) == pullsPerRound {
			break
		}
		if holding[peer.FailureDomain] || asked[peer.FailureDomain] {
			continue
		}
		asked[peer.FailureDomain] = true
		actions = append(actions, Pull{From: peer.Host, Have: r.current.Generation})
	}
	return actions
}

// domains returns the failure domains in which a live peer holds a
// configuration and those of which no peer has answered yet.
func (r *Replica) domains() (holding, unheard map[model.FailureDomain]bool) {
	holding = make(map[model.FailureDomain]bool)
	unheard = make(map[model.FailureDomain]bool)
	answered := make(map[model.FailureDomain]bool)
	for _, peer := range r.feed.peers {
		g, ok := r.start.heard[peer.Host]
		if ok {
			answered[peer.FailureDomain] = true
		}
		if g > 0 {
			holding[peer.FailureDomain] = true
		}
	}
	for _, peer := range r.feed.peers {
		if !answered[peer.FailureDomain] {
			unheard[peer.FailureDomain] = true
		}
	}
	return holding, unheard
}

// checkReady decides whether the held configuration may be used: the store
// confirmed it, or enough failure domains were heard. A failure domain whose
// peers hold nothing is not waited for, because all of them may be starting.
func (r *Replica) checkReady() {
	if r.start.ready || r.current.Generation == 0 {
		return
	}
	if r.start.storeSeen {
		r.start.ready = true
		return
	}
	for _, g := range r.start.heard {
		if g > r.current.Generation {
			return
		}
	}
	holding, unheard := r.domains()
	needed := min(r.cfg.StartDomains, len(holding)+len(unheard))
	r.start.ready = len(holding) > 0 && len(holding) >= needed
}
