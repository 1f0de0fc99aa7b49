package scheduler

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
)

const (
	// rankedServers is the number of servers that are ranked for an object. All are
	// ranked only if too few of these are usable.
	rankedServers = 4 * candidateCount
	// maxRankings bounds the rankings that are kept per service: about 1 MB.
	maxRankings = 4096
)

// SetServers replaces the list of servers. callerRegions is the number of
// regions that callers come from. Waiting jobs get no server before the next
// Tick, so that cold servers can be marked first.
func (s *Scheduler) SetServers(now time.Time, specs []Server, callerRegions int) {
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		listed[spec.ID] = true
	}
	var removed []string
	for id := range s.servers {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	s.UpdateServers(now, specs, removed, callerRegions)
}

// UpdateServers adds or changes servers and removes others; see SetServers. Its cost
// grows with the servers of a service only if servers come or go.
func (s *Scheduler) UpdateServers(now time.Time, specs []Server, removed []string, callerRegions int) {
	changes := make(map[string]memberChanges)
	for _, id := range removed {
		if known := s.servers[id]; known != nil {
			changesOf(changes, known.Service)[id] = nil
			delete(s.servers, id)
		}
	}
	for _, spec := range specs {
		known := s.servers[spec.ID]
		if known != nil && known.Service != spec.Service {
			changesOf(changes, known.Service)[spec.ID] = nil
			known = nil
		}
		changesOf(changes, spec.Service)[spec.ID] = &placement.Member{ID: spec.ID, Region: spec.Region, Slots: spec.Slots}
		if known != nil {
			known.Server = spec
			continue
		}
		added := newServer(spec)
		if svc := s.services[spec.Service]; svc != nil && !svc.view.IsEmpty() {
			added.joinedAt = now
		}
		s.servers[spec.ID] = added
	}
	for name, changed := range changes {
		s.service(name).updateMembers(changed, callerRegions)
	}
}

// memberChanges has the new members of a service by ID, nil for those that are gone.
type memberChanges map[string]*placement.Member

func changesOf(changes map[string]memberChanges, service string) memberChanges {
	of := changes[service]
	if of == nil {
		of = make(memberChanges)
		changes[service] = of
	}
	return of
}

// rankedObject is the ranking of an object that was requested before.
type rankedObject struct {
	object  placement.Object
	servers []string
}

// rank returns the first servers for the job's object. The rankings of objects that
// are requested again are kept, because ranking takes time in proportion to the
// number of servers.
func (svc *service) rank(job *Job) []string {
	if !job.Sticky {
		return svc.view.Rank(job.Object, rankedServers)
	}
	known, ok := svc.rankings[job.Object.Key]
	if ok && known.object.Equal(job.Object) {
		return known.servers
	}
	if len(svc.rankings) >= maxRankings {
		clear(svc.rankings)
	}
	servers := svc.view.Rank(job.Object, rankedServers)
	svc.rankings[job.Object.Key] = rankedObject{object: job.Object, servers: servers}
	return servers
}

// updateMembers changes the servers of the service. Objects keep their rankings if
// only the state of servers has changed.
func (svc *service) updateMembers(changes memberChanges, callerRegions int) {
	if !svc.changesMembers(changes, callerRegions) {
		return
	}
	for id, member := range changes {
		if member == nil {
			delete(svc.members, id)
		} else {
			svc.members[id] = *member
		}
	}
	members := make([]placement.Member, 0, len(svc.members))
	for _, member := range svc.members {
		members = append(members, member)
	}
	svc.view, svc.callerRegions = placement.NewView(members, callerRegions), callerRegions
	clear(svc.rankings)
}

func (svc *service) changesMembers(changes memberChanges, callerRegions int) bool {
	if svc.callerRegions != callerRegions {
		return true
	}
	for id, member := range changes {
		known, ok := svc.members[id]
		if ok != (member != nil) || ok && known != *member {
			return true
		}
	}
	return false
}
