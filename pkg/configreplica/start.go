package configreplica

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// start is the state of a starting host. It is not used once ready is set.
type start struct {
	ready     bool
	storeSeen bool
	next      time.Time
	// replies maps peers to the generation in their reply to a pull; 0 means
	// that the peer has no configuration.
	replies map[model.HostID]model.Generation
}

// pullsPerRound bounds the pulls of one round of a starting host.
const pullsPerRound = 3

// Ready reports whether the host may use its configuration. Once true, it
// stays true.
func (r *Replica) Ready() bool { return r.start.ready }

// RepliedPeers returns the number of peers that replied to a pull while this
// host was starting.
func (r *Replica) RepliedPeers() int { return len(r.start.replies) }

// recordReply records a peer's reply to a pull.
func (r *Replica) recordReply(peer model.HostID, g model.Generation) {
	if !r.start.ready {
		r.start.replies[peer] = g
	}
}

// startPulls pulls from live peers, one per failure domain without a reply
// that carried a configuration.
func (r *Replica) startPulls(now time.Time) []Action {
	if r.start.ready || now.Before(r.start.next) {
		return nil
	}
	r.start.next = now.Add(r.cfg.StartInterval)
	holding, _ := r.domains()
	requested := make(map[model.FailureDomain]bool)
	var actions []Action
	for _, i := range r.rng.Perm(len(r.live.peers)) {
		peer := r.live.peers[i]
		if len(actions) == pullsPerRound {
			break
		}
		if holding[peer.FailureDomain] || requested[peer.FailureDomain] {
			continue
		}
		requested[peer.FailureDomain] = true
		actions = append(actions, Pull{From: peer.Host, Have: r.current.Generation})
	}
	return actions
}

// domains returns the failure domains in which a live peer has a
// configuration and those from which no peer has replied yet.
func (r *Replica) domains() (holding, pending map[model.FailureDomain]bool) {
	holding = make(map[model.FailureDomain]bool)
	pending = make(map[model.FailureDomain]bool)
	replied := make(map[model.FailureDomain]bool)
	for _, peer := range r.live.peers {
		g, ok := r.start.replies[peer.Host]
		if ok {
			replied[peer.FailureDomain] = true
		}
		if g > 0 {
			holding[peer.FailureDomain] = true
		}
	}
	for _, peer := range r.live.peers {
		if !replied[peer.FailureDomain] {
			pending[peer.FailureDomain] = true
		}
	}
	return holding, pending
}

// checkReady sets ready if the store was read or enough failure domains
// replied with a configuration, none of them a higher one. It does not wait
// for a failure domain whose peers have no configuration, because all of them
// may be starting.
func (r *Replica) checkReady() {
	if r.start.ready || r.current.Generation == 0 {
		return
	}
	if r.start.storeSeen {
		r.start.ready = true
		return
	}
	for _, g := range r.start.replies {
		if g > r.current.Generation {
			return
		}
	}
	holding, pending := r.domains()
	needed := min(r.cfg.StartDomains, len(holding)+len(pending))
	r.start.ready = len(holding) > 0 && len(holding) >= needed
}
