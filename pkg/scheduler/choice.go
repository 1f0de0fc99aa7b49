package scheduler

import (
	"slices"
	"time"
)

const (
	// occupancyWeight is the part of the service time that is added to the cost
	// of a server for the slot time taken from other requests: a server without
	// the object's state needs about three times as long.
	occupancyWeight = 0.5
	// rankPenalty is added for each position in the object's order, so that hosts
	// without data on two servers choose the same one.
	rankPenalty = 10 * time.Millisecond
	// errorPenalty is the cost of a failed request in target latencies.
	errorPenalty = 2
	// sameRegionRTT is assumed for all servers of this region, defaultRegionRTT
	// for those of another region until a connection to it has been timed.
	sameRegionRTT    = 3 * time.Millisecond
	defaultRegionRTT = 50 * time.Millisecond
)

// option is a server with its expected cost for a job.
type option struct {
	server      *server
	wait        time.Duration
	rtt         time.Duration
	serviceTime time.Duration
	// warm is set if the server is assumed to hold the object, as the first
	// server of the object's order is; known is set if it was seen to hold it.
	// Both are set if the job is not sticky.
	warm, known bool
	// moves is set if the object moves to a joining server. Without it, the cost
	// of a joining server is that of one that does not hold the object.
	moves bool
	// rank is the server's position in the object's order.
	rank int
	// longest is the time until the response if the server does not hold the
	// object although that is assumed.
	longest time.Duration
	cost    time.Duration
}

func (o option) total() time.Duration { return o.wait + o.rtt + o.serviceTime }

// best returns the option with the lowest cost.
func (s *Scheduler) best(now time.Time, svc *service, job *Job, ahead map[*server]int) (option, bool) {
	var best option
	found := false
	candidates := s.candidates(now, svc, job)
	held := job.Sticky && slices.ContainsFunc(candidates, func(server *server) bool { return server.holds(now, job.Object.Key) })
	for rank, server := range candidates {
		o := s.evaluate(now, job, server, rank, ahead[server]+svc.reserved(now, job), held)
		if !found || o.cost < best.cost {
			best, found = o, true
		}
	}
	return best, found
}

// candidates returns the usable servers that rank highest for the job.
func (s *Scheduler) candidates(now time.Time, svc *service, job *Job) []*server {
	if job.rankingView != svc.view {
		job.ranking, job.rankingView = svc.rank(job), svc.view
	}
	usable := s.usable(now, job)
	if len(usable) < candidateCount && len(job.ranking) == rankedServers {
		const all = 1 << 30
		job.ranking = svc.view.Rank(job.Object, all)
		usable = s.usable(now, job)
	}
	return usable
}

// usable returns the first servers of the job's ranking that may get it.
func (s *Scheduler) usable(now time.Time, job *Job) []*server {
	usable := make([]*server, 0, candidateCount)
	for _, id := range job.ranking {
		server := s.servers[id]
		if server == nil || !server.usable(now) || slices.Contains(job.Tried, id) {
			continue
		}
		usable = append(usable, server)
		if len(usable) == candidateCount {
			break
		}
	}
	return usable
}

// evaluate returns the expected cost of a server. held says that one of the
// candidates is known to hold the object.
func (s *Scheduler) evaluate(now time.Time, job *Job, server *server, rank, ahead int, held bool) option {
	known := !job.Sticky || server.holds(now, job.Object.Key)
	o := option{server: server, rank: rank, known: known, rtt: s.rttTo(server.Region)}
	o.warm = known || rank == 0
	joins := held && !known && rank == 0 && server.isJoining(now)
	o.moves = joins && server.allowsMove(now)
	class := s.class(job)
	slowness := server.slowness(now)
	o.serviceTime = time.Duration(float64(class.serviceTime(o.warm)) * slowness)
	o.wait = server.wait(now, ahead)
	o.longest = o.wait + o.rtt + time.Duration(float64(class.serviceTime(known))*slowness)
	charged := time.Duration(float64(class.serviceTime(o.warm && (!joins || o.moves))) * slowness)
	failure := time.Duration(server.errorRate.get(now) * errorPenalty * float64(job.Target))
	o.cost = o.wait + o.rtt + charged + time.Duration(occupancyWeight*float64(charged)) + failure + time.Duration(rank)*rankPenalty
	return o
}

func (s *Scheduler) rttTo(region string) time.Duration {
	if region == s.region {
		return sameRegionRTT
	}
	if rtt, ok := s.rtt[region]; ok {
		return rtt
	}
	return defaultRegionRTT
}

// ObserveRTT records a measured round trip time to a server's region. A shorter
// one replaces the estimate, a longer one is averaged in.
func (s *Scheduler) ObserveRTT(region string, rtt time.Duration) {
	old, ok := s.rtt[region]
	if !ok || rtt < old {
		s.rtt[region] = rtt
		return
	}
	s.rtt[region] = average(old, rtt)
}
