package scheduler

import (
	"slices"
	"time"
)

const (
	// occupancyWeight charges a choice for the slot time that it takes from
	// other requests: a server without the object's state needs about three
	// times as long.
	occupancyWeight = 0.5
	// rankPenalty makes hosts that know equally little of two servers choose
	// the same one.
	rankPenalty = 10 * time.Millisecond
	// errorPenalty is the price of a failed request in target latencies.
	errorPenalty = 2
	// sameRegionDelay and defaultRegionDelay are the round trips assumed until
	// connections have been timed.
	sameRegionDelay    = 3 * time.Millisecond
	defaultRegionDelay = 50 * time.Millisecond
)

// option is a server with what it is expected to cost a job.
type option struct {
	server  *server
	wait    time.Duration
	net     time.Duration
	service time.Duration
	// warm is assumed of the object's first server, known was seen here.
	warm, known bool
	// moves is set if the object moves to a joining server. Otherwise such a
	// server is weighed as one that does not hold the object.
	moves bool
	// rank is the server's place in the object's order.
	rank int
	// longest is the time to the answer if the server does not hold the object
	// although that is assumed.
	longest time.Duration
	cost    time.Duration
}

func (o option) total() time.Duration { return o.wait + o.net + o.service }

// best returns the option with the lowest cost.
func (s *Scheduler) best(now time.Time, svc *service, job *Job, ahead map[*server]int) (option, bool) {
	var best option
	found := false
	candidates := s.candidates(now, svc, job)
	held := job.Sticky && slices.ContainsFunc(candidates, func(server *server) bool { return server.holds(now, job.Object.Key) })
	for rank, server := range candidates {
		o := s.weigh(now, job, server, rank, ahead[server]+svc.reserved(now, job), held)
		if !found || o.cost < best.cost {
			best, found = o, true
		}
	}
	return best, found
}

// candidates returns the usable servers that rank highest for the job.
func (s *Scheduler) candidates(now time.Time, svc *service, job *Job) []*server {
	if job.rankedBy != svc.view {
		const all = 1 << 30
		job.ranked, job.rankedBy = svc.view.Rank(job.Object, all), svc.view
	}
	usable := make([]*server, 0, candidateCount)
	for _, id := range job.ranked {
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

// weigh returns what a server is expected to cost. held says that one of the
// candidates is known to hold the object.
func (s *Scheduler) weigh(now time.Time, job *Job, server *server, rank, ahead int, held bool) option {
	known := !job.Sticky || server.holds(now, job.Object.Key)
	o := option{server: server, rank: rank, known: known, net: s.delay(server.Region)}
	o.warm = known || rank == 0
	joins := held && !known && rank == 0 && server.isJoining(now)
	o.moves = joins && server.takesMove(now)
	class := s.class(job)
	slowness := server.slowness(now)
	o.service = time.Duration(float64(class.of(o.warm)) * slowness)
	o.wait = server.wait(now, ahead)
	o.longest = o.wait + o.net + time.Duration(float64(class.of(known))*slowness)
	weighed := time.Duration(float64(class.of(o.warm && (!joins || o.moves))) * slowness)
	failure := time.Duration(server.errors.get(now) * errorPenalty * float64(job.Target))
	o.cost = o.wait + o.net + weighed + time.Duration(occupancyWeight*float64(weighed)) + failure + time.Duration(rank)*rankPenalty
	return o
}

func (s *Scheduler) delay(region string) time.Duration {
	if region == s.region {
		return sameRegionDelay
	}
	if measured, ok := s.netDelay[region]; ok {
		return measured
	}
	return defaultRegionDelay
}

// ObserveRTT takes the round trip time to a server's region.
func (s *Scheduler) ObserveRTT(region string, rtt time.Duration) {
	old, ok := s.netDelay[region]
	if !ok || rtt < old {
		s.netDelay[region] = rtt
		return
	}
	s.netDelay[region] = average(old, rtt)
}
