package configreplica

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

// liveHosts are the live hosts in the membership view.
type liveHosts struct {
	// ranking lists the live hosts of the own failure domain; the first
	// Config.Watchers of them watch the store.
	ranking []model.HostID
	// peers lists the live hosts of all failure domains except this host.
	peers []model.HostRecord
}

// standby is a generation that this host feeds unless the push of the first
// watcher arrives before feedAt.
type standby struct {
	generation model.Generation
	feedAt     time.Time
}

// SetMembers sets the live members, including this host.
func (r *Replica) SetMembers(live []model.HostRecord) {
	var names []string
	peers := make([]model.HostRecord, 0, len(live))
	for _, h := range live {
		if h.FailureDomain == r.self.FailureDomain && h.Region == r.self.Region {
			names = append(names, string(h.Host))
		}
		if h.Host != r.self.Host {
			peers = append(peers, h)
		}
	}
	ranked := rendezvous.Rank("watch/"+string(r.self.Region)+"/"+string(r.self.FailureDomain), names)
	ranking := make([]model.HostID, len(ranked))
	for i, name := range ranked {
		ranking[i] = model.HostID(name)
	}
	r.live = liveHosts{ranking: ranking, peers: peers}
	r.checkReady()
}

// position returns the index of this host in the ranking, or -1.
func (r *Replica) position() int { return slices.Index(r.live.ranking, r.self.Host) }

// Watches reports whether this host watches the store.
func (r *Replica) Watches() bool {
	p := r.position()
	return p >= 0 && p < r.cfg.Watchers
}

// IsFirstWatcher reports whether this host is the first watcher of its failure
// domain.
func (r *Replica) IsFirstWatcher() bool { return r.position() == 0 }

// feedNew feeds a generation that did not arrive through the tree. Watchers
// also feed a generation that they pulled: watchers that are partitioned from
// the store receive changes only from other failure domains, and the other
// hosts of their own failure domain must not wait for the store.
func (r *Replica) feedNew(now time.Time) []Action {
	switch p := r.position(); {
	case p == 0:
		return r.feedAll()
	case p > 0 && p < r.cfg.Watchers:
		feedAt := now.Add(time.Duration(p) * r.cfg.StandbyDelay)
		r.standby = standby{generation: r.current.Generation, feedAt: feedAt}
	}
	return nil
}

// feedOverdue feeds as standby if no push arrived within the standby delay.
func (r *Replica) feedOverdue(now time.Time) []Action {
	if r.standby.generation == 0 || now.Before(r.standby.feedAt) {
		return nil
	}
	missing := r.standby.generation > r.newestPush
	r.standby = standby{}
	if !missing {
		return nil
	}
	return r.feedAll()
}

// feedAll pushes the current generation to the whole failure domain.
func (r *Replica) feedAll() []Action {
	base := model.Generation(0)
	if n := len(r.history); n > 1 {
		base = r.history[n-2].generation
	}
	r.forwarded = r.current.Generation
	return r.pushes(r.deltaFrom(base), r.feedOrder())
}

// feedOrder lists the other hosts with the watchers last, where they have no
// subtree: a standby feeds because a watcher does not forward what it
// receives.
func (r *Replica) feedOrder() []model.HostID {
	watchers := min(r.cfg.Watchers, len(r.live.ranking))
	order := slices.Concat(r.live.ranking[watchers:], r.live.ranking[:watchers])
	return slices.DeleteFunc(order, func(h model.HostID) bool { return h == r.self.Host })
}

// pushes splits the hosts into subtrees and pushes to the first host of each.
func (r *Replica) pushes(d Delta, hosts []model.HostID) []Action {
	var actions []Action
	children := min(r.cfg.Fanout, len(hosts))
	for i := range children {
		subtree := hosts[i*len(hosts)/children : (i+1)*len(hosts)/children]
		actions = append(actions, Push{To: subtree[0], Delta: d, Subtree: subtree[1:]})
	}
	return actions
}

// PushFailed pushes to the subtree of an unreachable child directly, so that
// the subtree need not wait for its repair by pulls.
func (r *Replica) PushFailed(p Push) []Action { return r.pushes(p.Delta, p.Subtree) }
