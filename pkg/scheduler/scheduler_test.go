package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
)

var start = time.Unix(1000, 0)

func servers(n, slots int) []Server {
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("s%d", i), Service: "desk", Region: "west", Slots: slots})
	}
	return list
}

func newScheduler(list []Server) *Scheduler {
	s := New("west")
	s.SetServers(start, list, 1)
	return s
}

func newJob(now time.Time, key string, priority int, limit time.Duration) *Job {
	const target = 500 * time.Millisecond
	return &Job{
		Class: "status", Service: "desk", Sticky: true, Priority: priority, Target: target,
		Object: placement.Object{Key: key, Origin: "west"}, TargetAt: now.Add(target), Deadline: now.Add(limit),
	}
}

func granted(verdicts []Verdict, job *Job) string {
	for _, v := range verdicts {
		if v.Job == job {
			return v.Server
		}
	}
	return ""
}

// Guards against requests that queue at a server, where urgent ones can't
// overtake them, and against a queue in the order of arrival.
func TestUrgentJobGetsTheNextSlot(t *testing.T) {
	s := newScheduler(servers(1, 1))
	running, later, urgent := newJob(start, "a", 1, time.Minute), newJob(start, "a", 1, time.Minute), newJob(start, "a", 0, time.Minute)
	if granted(s.Submit(start, running), running) == "" {
		t.Fatal("an idle server was not granted")
	}
	for _, job := range []*Job{later, urgent} {
		if v := s.Submit(start, job); len(v) != 0 {
			t.Fatalf("verdict %+v while the only slot is in use", v)
		}
	}
	now := start.Add(100 * time.Millisecond)
	verdicts := s.Done(now, running, Succeeded, nil)
	if granted(verdicts, urgent) == "" || granted(verdicts, later) != "" {
		t.Errorf("verdicts %+v, want the urgent job only", verdicts)
	}
}

// Guards against requests that can no longer meet their target and take the
// slots of those that can.
func TestJobInTimeGoesBeforeALateOne(t *testing.T) {
	s := newScheduler(servers(1, 1))
	running := newJob(start, "a", 0, time.Minute)
	s.Submit(start, running)
	late := newJob(start.Add(-time.Second), "a", 0, time.Minute)
	s.Submit(start, late)
	inTime := newJob(start, "a", 1, time.Minute)
	s.Submit(start, inTime)
	if verdicts := s.Done(start.Add(100*time.Millisecond), running, Succeeded, nil); granted(verdicts, inTime) == "" {
		t.Errorf("verdicts %+v, want the job that can meet its target", verdicts)
	}
}

// Guards against requests that wait although they are expected to miss their
// deadline.
func TestJobThatWouldMissItsDeadlineIsRefusedAtOnce(t *testing.T) {
	s := newScheduler(servers(1, 1))
	for range 20 {
		s.Submit(start, newJob(start, "a", 0, time.Minute))
	}
	job := newJob(start, "a", 0, 300*time.Millisecond)
	verdicts := s.Submit(start, job)
	for _, v := range verdicts {
		if v.Job == job && v.Refused == WouldMissDeadline && v.RetryAfter >= MinRetryAfter {
			return
		}
	}
	t.Errorf("verdicts %+v, want a refusal with a retry delay", verdicts)
}

// Guards against requests that wait without a verdict for a service that has
// no servers.
func TestNoServerIsARefusal(t *testing.T) {
	s := New("west")
	verdicts := s.Submit(start, newJob(start, "a", 0, time.Minute))
	if len(verdicts) != 1 || verdicts[0].Refused != NoServer {
		t.Errorf("verdicts %+v", verdicts)
	}
}

// Guards against an object that moves with each request: its state would have
// to be loaded again.
func TestObjectStaysOnItsServer(t *testing.T) {
	s := newScheduler(servers(8, 3))
	now := start
	first := ""
	for range 20 {
		job := newJob(now, "object", 0, time.Minute)
		server := granted(s.Submit(now, job), job)
		if first == "" {
			first = server
		}
		if server != first {
			t.Fatalf("the object moved from %s to %s", first, server)
		}
		now = now.Add(150 * time.Millisecond)
		s.Done(now, job, Succeeded, &Load{Running: 1})
	}
}

// Guards against a host that overloads a cold server: all hosts together may
// send it only a few requests per second.
func TestColdServerIsSparedInEveryWindow(t *testing.T) {
	s := newScheduler(servers(1, 10))
	s.SetCold("s0", start.Add(10*time.Second))
	s.LimitCold(start, func(string) int { return 2 })
	var sent []time.Time
	for step := range 100 {
		now := start.Add(time.Duration(step) * 50 * time.Millisecond)
		job := newJob(now, "a", 0, time.Minute)
		if granted(s.Submit(now, job), job) != "" {
			sent = append(sent, now)
			s.Done(now.Add(time.Millisecond), job, Succeeded, nil)
		}
	}
	for i := 2; i < len(sent); i++ {
		if sent[i].Sub(sent[i-2]) < time.Second {
			t.Fatalf("three requests within a second: %v", sent[i-2:i+1])
		}
	}
	if len(sent) < 6 {
		t.Errorf("only %d requests in 5 s", len(sent))
	}
}

// Guards against new work for servers that drain, are evacuated or down, or
// were already tried for the request.
func TestUnusableServersGetNothing(t *testing.T) {
	list := servers(4, 3)
	list[0].Closed = true
	s := newScheduler(list)
	s.SetDown("s1")
	for i := range 50 {
		job := newJob(start, fmt.Sprint(i), 0, time.Minute)
		job.Tried = []string{"s2"}
		server := granted(s.Submit(start, job), job)
		if server != "s3" && server != "" {
			t.Fatalf("object %d was sent to %s", i, server)
		}
	}
	s.SetUp("s1")
	for _, v := range s.Tick(start) {
		if v.Server == "s1" {
			return
		}
	}
	t.Error("a server that is up again gets no waiting job")
}

// Guards against hosts that fill a server which their peers keep busy.
func TestUseOfPeersCounts(t *testing.T) {
	a, b := newScheduler(servers(1, 2)), newScheduler(servers(1, 2))
	for range 2 {
		a.Submit(start, newJob(start, "a", 0, time.Minute))
	}
	b.PeerReported(start, "host-a", a.Report(false))
	job := newJob(start, "a", 0, time.Minute)
	if server := granted(b.Submit(start, job), job); server != "" {
		t.Fatal("a server was granted although a peer uses all its slots")
	}
	if len(a.Report(false)) != 0 {
		t.Error("an unchanged use is reported again")
	}
	// The report of a peer that stops reporting expires.
	if verdicts := b.Tick(start.Add(time.Second)); granted(verdicts, job) == "" {
		t.Errorf("verdicts %+v after the peer stopped reporting, want a grant", verdicts)
	}
}

// Guards against hosts that load an object on several servers.
func TestPeersAgreeWhichServerHoldsAnObject(t *testing.T) {
	a, b := newScheduler(servers(3, 1)), newScheduler(servers(3, 1))
	first := newJob(start, "object", 0, time.Minute)
	primary := granted(a.Submit(start, first), first)
	// The first server stays busy, so the object is loaded on another one.
	second := newJob(start, "object", 0, time.Minute)
	second.Tried = []string{primary}
	other := granted(a.Submit(start, second), second)
	a.Done(start.Add(600*time.Millisecond), second, Succeeded, nil)
	now := start.Add(650 * time.Millisecond)
	b.PeerReported(now, "host-a", a.Report(true))
	job := newJob(now, "object", 0, time.Minute)
	if server := granted(b.Submit(now, job), job); server != other {
		t.Errorf("the peer sends the object to %q, but %q holds it", server, other)
	}
}

// Guards against a server that fails and still gets the requests of its objects.
func TestFailingServerIsAvoided(t *testing.T) {
	s := newScheduler(servers(2, 3))
	now := start
	job := newJob(now, "object", 0, time.Minute)
	primary := granted(s.Submit(now, job), job)
	for range 6 {
		s.Done(now, job, Failed, nil)
		job = newJob(now, "object", 0, time.Minute)
		if server := granted(s.Submit(now, job), job); server != primary {
			return
		}
	}
	t.Error("a server that fails every request keeps the object")
}

// Guards against a request that can no longer meet its target and waits behind
// those that can until its deadline (scenario flood-beside-crashes).
func TestLateJobIsRefusedBeforeItsDeadline(t *testing.T) {
	s := newScheduler(servers(1, 1))
	running := newJob(start, "a", 0, time.Minute)
	s.Submit(start, running)
	late := newJob(start, "a", 0, 4*time.Second)
	late.TargetAt = start
	s.Submit(start, late)
	for step := 1; step <= 30; step++ {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		inTime := newJob(now, "a", 0, time.Minute)
		verdicts := append(s.Submit(now, inTime), s.Done(now, running, Succeeded, nil)...)
		running = inTime
		for _, v := range verdicts {
			if v.Job != late {
				continue
			}
			// A quarter of its 4 s, and a step.
			if waited := now.Sub(start); v.Refused != WouldMissDeadline || waited > 1200*time.Millisecond {
				t.Errorf("verdict %+v after %v", v, waited)
			}
			return
		}
	}
	t.Error("the late job still waits after 3 s")
}

// Guards against waiting requests that are all sent to a server that has just
// been added, before it is marked cold (FAILBACK in scenario Céu Ligado
// flood-beside-crashes --vary --seed 967638262602).
func TestJoiningServerIsMarkedColdBeforeItIsUsed(t *testing.T) {
	list := servers(2, 3)
	s := newScheduler(list[:1])
	for range 20 {
		s.Submit(start, newJob(start, "a", 0, time.Minute))
	}
	s.SetServers(start, list, 1)
	s.SetCold("s1", start.Add(3*time.Second))
	s.LimitCold(start, func(string) int { return 2 })
	used := 0
	for _, v := range s.Tick(start) {
		if v.Server == "s1" {
			used++
		}
	}
	if used != 2 {
		t.Errorf("an added cold server got %d requests at once, want its limit of 2", used)
	}
}

// fleetLoad simulates requests for objects on a fake clock. Servers take longer
// for the first run of an object.
type fleetLoad struct {
	s    *Scheduler
	now  time.Time
	held map[string]bool
	// running are the requests at the servers.
	running []runEnd
}

type runEnd struct {
	at  time.Time
	job *Job
	id  string
}

const (
	warmRun, firstRun = 200 * time.Millisecond, 700 * time.Millisecond
	loadStep          = 20 * time.Millisecond
)

// simulate sends one request per loadStep for the given time, for each object in
// turn. It returns the number of first runs and the requests of each server.
func (l *fleetLoad) simulate(d time.Duration, objects int) (firstRuns int, used map[string]int) {
	used = make(map[string]int)
	startRuns := func(verdicts []Verdict) {
		for _, v := range verdicts {
			used[v.Server]++
			took := warmRun
			if !l.held[v.Server+v.Job.Object.Key] {
				took = firstRun
				firstRuns++
			}
			l.running = append(l.running, runEnd{at: l.now.Add(took), job: v.Job, id: v.Server})
		}
	}
	for end, n := l.now.Add(d), 0; l.now.Before(end); n++ {
		l.now = l.now.Add(loadStep)
		ended := l.running
		l.running = nil
		for _, r := range ended {
			if r.at.After(l.now) {
				l.running = append(l.running, r)
				continue
			}
			l.held[r.id+r.job.Object.Key] = true
			startRuns(l.s.Done(l.now, r.job, Succeeded, nil))
		}
		startRuns(l.s.Submit(l.now, newJob(l.now, fmt.Sprint("object-", n%objects), 0, 10*time.Second)))
	}
	return firstRuns, used
}

// Guards against added servers that get all the objects that belong to them at
// once, so that a third of all requests are slow first runs (scenario grown
// Dhuwaa quiet-1: 77 servers added, 40% of requests within target for 2 s), and
// against added servers that get no requests.
func TestObjectsMoveSlowlyToAddedServers(t *testing.T) {
	const before, added, objects = 10, 5, 50
	l := &fleetLoad{s: newScheduler(servers(before, 4)), now: start, held: make(map[string]bool)}
	l.simulate(10*time.Second, objects)
	if n, _ := l.simulate(4*time.Second, objects); n > 0 {
		t.Fatalf("%d first runs in the steady state", n)
	}
	l.s.SetServers(l.now, servers(before+added, 4), 1)
	const span = 2 * time.Second
	if n, _ := l.simulate(span, objects); n > added*2 {
		t.Errorf("%d of %d requests were first runs right after %d servers were added, want one for each of them every %v",
			n, span/loadStep, added, moveInterval)
	}
	_, used := l.simulate(20*time.Second, objects)
	for i := before; i < before+added; i++ {
		if id := fmt.Sprint("s", i); used[id] == 0 {
			t.Errorf("%s was added and got no request", id)
		}
	}
}

// Guards against a flood of requests that run for seconds, have loose targets
// and take every slot before those with tight ones (host-flood of make bench:
// 0.665 of the checks within target), and against reserved slots that no job
// uses.
func TestJobsWithLooseTargetsLeaveASlot(t *testing.T) {
	const slots = 3
	loose := func(now time.Time) *Job {
		job := newJob(now, "history", 2, time.Minute)
		job.Class, job.Target = "history", 3*time.Second
		return job
	}
	s := newScheduler(servers(1, slots))
	for i := range slots {
		job := loose(start)
		if granted(s.Submit(start, job), job) == "" {
			t.Fatalf("slot %d stays free although no other job was submitted", i+1)
		}
	}
	s = newScheduler(servers(1, slots))
	first := newJob(start, "a", 0, time.Minute)
	s.Submit(start, first)
	s.Done(start.Add(200*time.Millisecond), first, Succeeded, nil)
	now := start.Add(time.Second)
	for i := range slots {
		job := loose(now)
		if got := granted(s.Submit(now, job), job); (got != "") != (i < slots-reservedSlots) {
			t.Errorf("job %d of a flood: server %q", i+1, got)
		}
	}
	tight := newJob(now, "a", 0, time.Minute)
	if granted(s.Submit(now, tight), tight) == "" {
		t.Error("a job with a tight target got no slot during the flood")
	}
	s.Done(now.Add(200*time.Millisecond), tight, Succeeded, nil)
	if verdicts := s.Tick(now.Add(reserveDuration + time.Second)); len(verdicts) != 1 || verdicts[0].Server == "" {
		t.Errorf("verdicts %+v after the last job with a tight target, want the reserved slot for the waiting job", verdicts)
	}
}
