package configreplica

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

// feed is this host's place among the live hosts of its failure domain.
type feed struct {
	// ranking are the live hosts of the failure domain in the order in which
	// they watch the store.
	ranking []model.HostID
	// peers are the live hosts of all failure domains without this one.
	peers []model.HostRecord
}

// standby is a feed that waits for the first watcher to do it.
type standby struct {
	generation model.Generation
	due        time.Time
}

// SetMembers takes the live members, this host included.
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
	r.feed = feed{ranking: ranking, peers: peers}
	r.checkReady()
}

// position is the host's place in the ranking, or -1.
func (r *Replica) position() int { return slices.Index(r.feed.ranking, r.self.Host) }

// Watches reports whether this host watches the store.
func (r *Replica) Watches() bool {
	p := r.position()
	return p >= 0 && p < r.cfg.Watchers
}

// IsFirstWatcher reports whether this host is the first watcher of its failure domain.
func (r *Replica) IsFirstWatcher() bool { return r.position() == 0 }

// gained feeds a generation that did not come through the tree. Watchers feed
// also what they pulled: a watcher that is cut off from the store learns of
// changes from other failure domains and must not hold back its own.
func (r *Replica) gained(now time.Time) []Action {
	switch p := r.position(); {
	case p == 0:
		return r.feedAll()
	case p > 0 && p < r.cfg.Watchers:
		due := now.Add(time.Duration(p) * r.cfg.StandbyDelay)
		r.standby = standby{generation: r.current.Generation, due: due}
	}
	return nil
}

// feedOverdue feeds as standby if the first watcher has been silent.
func (r *Replica) feedOverdue(now time.Time) []Action {
	if r.standby.generation == 0 || now.Before(r.standby.due) {
		return nil
	}
	missing := r.standby.generation > r.pushed
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
	r.fed = r.current.Generation
	return r.pushes(r.deltaFrom(base), r.feedOrder())
}

// feedOrder lists the other hosts with the watchers last, where they have no
// subtree: a standby feeds because a watcher does not pass on what it gets.
func (r *Replica) feedOrder() []model.HostID {
	watchers := min(r.cfg.Watchers, len(r.feed.ranking))
	order := slices.Concat(r.feed.ranking[watchers:], r.feed.ranking[:watchers])
	return slices.DeleteFunc(order, func(h model.HostID) bool { return h == r.self.Host })
}

// pushes splits the hosts into subtrees and pushes to the head of each.
func (r *Replica) pushes(d Delta, hosts []model.HostID) []Action {
	var actions []Action
	children := min(r.cfg.Fanout, len(hosts))
	for i := range children {
		subtree := hosts[i*len(hosts)/children : (i+1)*len(hosts)/children]
		actions = append(actions, Push{To: subtree[0], Delta: d, Subtree: subtree[1:]})
	}
	return actions
}

// PushFailed goes around a child that cannot be reached, so that its subtree
// does not wait for a repair.
func (r *Replica) PushFailed(p Push) []Action { return r.pushes(p.Delta, p.Subtree) }
