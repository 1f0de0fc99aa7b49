// Package scheduler decides which backend server runs a request, when, and
// which requests are refused. A request waits at the host until the server
// that is expected to complete it first has a free slot; urgent requests that
// can still meet their target latency go first, and a request that is expected
// to miss its deadline is refused at once.
//
// The package does no I/O: methods take the time and return verdicts. A
// Scheduler is not safe for concurrent use.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
)

const (
	// candidateCount is the number of servers evaluated for a request. More
	// would spread an object over servers that do not hold its state.
	candidateCount = 4
	// maxWaiting bounds the requests of one service that wait on this host. At
	// 20 ms per request, they take longer than any deadline allows.
	maxWaiting = 400
	// maxLateWaitShare is the part of the time from its arrival to its deadline
	// after which a waiting job that can no longer meet its target is refused.
	// Jobs that can meet theirs go first, so its queue position says little about
	// its wait; the remaining time must suffice for a retry.
	maxLateWaitShare = 0.25
	// noServerRetryAfter is the retry delay proposed while a service has no
	// usable server: the store reports new servers within about a second.
	noServerRetryAfter = 500 * time.Millisecond
	// MinRetryAfter and maxRetryAfter bound the retry delay proposed to callers
	// that were refused because of load.
	MinRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Job is a request that needs a server.
type Job struct {
	// Class names the requests that take about the same time, such as a route.
	Class   string
	Service string
	Object  placement.Object
	// Sticky jobs run faster on a server that handled the object recently.
	Sticky bool
	// Priority is lower for more urgent jobs.
	Priority int
	// Target is the target latency; 0 if the job has none.
	Target time.Duration
	// Received is when the whole request had arrived.
	Received time.Time
	// TargetAt is when the target latency ends, Deadline when the response is
	// no longer useful.
	TargetAt time.Time
	Deadline time.Time
	// MayHaveRun is set if a server may have run the request, which then cannot be
	// refused as not run.
	MayHaveRun bool
	// Tried are the servers that the request was already sent to.
	Tried []string

	arrived time.Time
	// ranking is the order of servers for the object in rankingView.
	ranking     []string
	rankingView *placement.View
	run         jobRun
	server      *server
}

// jobRun is the run of a job on a server.
type jobRun struct {
	since       time.Time
	expected    time.Duration
	serviceTime time.Duration
}

// Reason is why a job was refused.
type Reason int

// Reasons of refusals.
const (
	// NotRefused marks a verdict that grants a server.
	NotRefused Reason = iota
	NoServer
	QueueFull
	WouldMissDeadline
	// HostStopping refuses a job that might not complete before the host stops.
	HostStopping
)

// String returns the reason as it is logged.
func (r Reason) String() string {
	return [...]string{"not-refused", "no-server", "queue-full", "would-miss-deadline", "host-stopping"}[r]
}

// Verdict is a decision on one job.
type Verdict struct {
	Job *Job
	// Server may be used until Done is called. It is empty if the job is refused.
	Server string
	// Best is the server with the lowest expected cost. A refusal is based on it.
	Best    string
	Refused Reason
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	// Expected is the time until the response that the decision is based on.
	Expected time.Duration
	// Longest is Expected for the case that the server does not hold the object.
	Longest time.Duration
	// Wait is the part of Expected until the server has a free slot.
	Wait time.Duration
	// Known is set if the server was seen to hold the object's state, and for
	// all jobs that are not sticky.
	Known bool
	// Rank is the server's position in the object's order of servers.
	Rank int
	// Busy is the server's load that the decision is based on.
	Busy float64
}

// Scheduler holds the servers and waiting jobs of all services.
type Scheduler struct {
	region   string
	services map[string]*service
	servers  map[string]*server
	classes  map[string]*classEstimate
	// rtt has the round trip time to the servers of each other region.
	rtt map[string]time.Duration
	// stopAt is when the host stops, or zero. Requests that arrive after lateFrom are
	// late.
	stopAt, lateFrom time.Time
}

type service struct {
	view *placement.View
	// members are the servers in view, by ID, and callerRegions the number of
	// regions that it is made for.
	members       map[string]placement.Member
	callerRegions int
	// rankings are kept rankings of objects, by key.
	rankings map[string]rankedObject
	waiting  []*Job
	// lastSubmitted has when a job of each target latency was last submitted.
	lastSubmitted map[time.Duration]time.Time
}

// New returns a scheduler for a host in the region.
func New(region string) *Scheduler {
	return &Scheduler{
		region:   region,
		services: make(map[string]*service),
		servers:  make(map[string]*server),
		classes:  make(map[string]*classEstimate),
		rtt:      make(map[string]time.Duration),
	}
}

// Submit adds a job. The job waits if the verdicts contain none on it.
func (s *Scheduler) Submit(now time.Time, job *Job) []Verdict {
	svc := s.service(job.Service)
	job.arrived = now
	svc.lastSubmitted[job.Target] = now
	if len(svc.waiting) >= maxWaiting {
		return []Verdict{{Job: job, Refused: QueueFull, RetryAfter: maxRetryAfter}}
	}
	svc.waiting = append(svc.waiting, job)
	return s.decideWaiting(now, svc)
}

// CanStart reports whether a server has a free slot for the job now and is
// expected to respond before the deadline.
func (s *Scheduler) CanStart(now time.Time, job *Job) bool {
	best, ok := s.best(now, s.service(job.Service), job, nil)
	return ok && best.server.hasFreeSlot(now, s.service(job.Service).reserved(now, job)) && !now.Add(best.total()).After(job.Deadline)
}

// Cancel removes a waiting job whose request was cancelled.
func (s *Scheduler) Cancel(now time.Time, job *Job) []Verdict {
	svc := s.service(job.Service)
	svc.waiting = slices.DeleteFunc(svc.waiting, func(j *Job) bool { return j == job })
	return s.decideWaiting(now, svc)
}

// Tick decides again on the waiting jobs, because estimates change with time.
func (s *Scheduler) Tick(now time.Time) []Verdict {
	var verdicts []Verdict
	for _, svc := range s.services {
		verdicts = append(verdicts, s.decideWaiting(now, svc)...)
	}
	return verdicts
}

// Waiting returns the number of jobs that wait on this host.
func (s *Scheduler) Waiting() int {
	sum := 0
	for _, svc := range s.services {
		sum += len(svc.waiting)
	}
	return sum
}

// Running returns the number of jobs of this host that are at servers.
func (s *Scheduler) Running() int {
	sum := 0
	for _, server := range s.servers {
		sum += len(server.running)
	}
	return sum
}

func (s *Scheduler) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			view:          placement.NewView(nil, 1),
			members:       make(map[string]placement.Member),
			rankings:      make(map[string]rankedObject),
			lastSubmitted: make(map[time.Duration]time.Time),
		}
		s.services[name] = svc
	}
	return svc
}

func (s *Scheduler) class(job *Job) *classEstimate {
	class := s.classes[job.Class]
	if class == nil {
		class = newClassEstimate(job.Target)
		s.classes[job.Class] = class
	}
	return class
}

// decideWaiting decides on the waiting jobs of a service in scheduling order.
func (s *Scheduler) decideWaiting(now time.Time, svc *service) []Verdict {
	if len(svc.waiting) == 0 {
		return nil
	}
	s.sortJobs(now, svc.waiting)
	ahead := make(map[*server]int)
	var verdicts []Verdict
	remaining := svc.waiting[:0]
	for _, job := range svc.waiting {
		verdict, decided := s.decide(now, svc, job, ahead)
		if decided {
			verdicts = append(verdicts, verdict)
			continue
		}
		remaining = append(remaining, job)
	}
	clear(svc.waiting[len(remaining):])
	svc.waiting = remaining
	return verdicts
}

// sortJobs sorts jobs that can still meet their target first, then by priority,
// then by arrival.
func (s *Scheduler) sortJobs(now time.Time, jobs []*Job) {
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(
			cmp.Compare(s.lateness(now, a), s.lateness(now, b)),
			cmp.Compare(a.Priority, b.Priority),
			a.arrived.Compare(b.arrived))
	})
}

// lateness is 1 for a job that can no longer meet its target latency, else 0.
func (s *Scheduler) lateness(now time.Time, job *Job) int {
	if now.Add(s.class(job).warm).After(job.TargetAt) {
		return 1
	}
	return 0
}

// decide grants a server to a job, refuses it, or leaves it waiting.
func (s *Scheduler) decide(now time.Time, svc *service, job *Job, ahead map[*server]int) (Verdict, bool) {
	best, ok := s.best(now, svc, job, ahead)
	if !ok {
		return Verdict{Job: job, Refused: NoServer, RetryAfter: s.retryAfterNoServer(now, svc, job)}, true
	}
	if !s.completesBeforeStop(now, job, best) {
		return refusal(now, job, best, HostStopping, 0), true
	}
	if now.Add(best.total()).After(job.Deadline) || s.isLateTooLong(now, job) {
		return refusal(now, job, best, WouldMissDeadline, min(max(best.wait, MinRetryAfter), maxRetryAfter)), true
	}
	if !best.server.hasFreeSlot(now, svc.reserved(now, job)) {
		ahead[best.server]++
		return Verdict{}, false
	}
	busy := best.server.busy(now)
	s.start(now, job, best)
	return Verdict{
		Job:      job,
		Server:   best.server.ID,
		Best:     best.server.ID,
		Expected: best.total(),
		Longest:  best.longest,
		Wait:     best.wait,
		Known:    best.known,
		Rank:     best.rank,
		Busy:     busy,
	}, true
}

// refusal returns the verdict that refuses a job because of its best option.
func refusal(now time.Time, job *Job, best option, reason Reason, retryAfter time.Duration) Verdict {
	return Verdict{
		Job:        job,
		Refused:    reason,
		RetryAfter: retryAfter,
		Best:       best.server.ID,
		Expected:   best.total(),
		Longest:    best.longest,
		Wait:       best.wait,
		Known:      best.known,
		Rank:       best.rank,
		Busy:       best.server.busy(now),
	}
}

// isLateTooLong reports whether a job that can no longer meet its target has
// waited so long behind those that can that it is refused: its caller may have
// more success with a retry.
func (s *Scheduler) isLateTooLong(now time.Time, job *Job) bool {
	limit := time.Duration(maxLateWaitShare * float64(job.Deadline.Sub(job.arrived)))
	return now.Sub(job.arrived) > limit && s.lateness(now, job) > 0
}

func (s *Scheduler) start(now time.Time, job *Job, o option) {
	job.server = o.server
	job.run = jobRun{since: now, expected: o.total(), serviceTime: o.serviceTime}
	o.server.start(now, job, o.moves)
}
