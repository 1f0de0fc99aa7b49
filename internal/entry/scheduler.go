package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/backend"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/pkg/admission"
	"github.com/wisteriacrank/wisteriacrank/pkg/balance"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/grant"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/movecap"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/slots"
)

// scheduler runs the requests of one service on the servers of this host. It
// serializes the access to the packages that make the decisions, and is safe for
// concurrent use.
type scheduler struct {
	region  model.Region
	guard   *crashGuard
	waits   *waitLimit
	log     *events.Log
	metrics *metrics.Registry

	mu      sync.Mutex
	service document.Service
	ranks   []document.Rank
	drains  *drain.Servers
	// leavingSince has the time at which each leaving server stopped getting new
	// work.
	leavingSince map[model.ServerID]time.Time
	refusals     refusalMeter
	queue        *admission.Queue
	table        *slots.Table
	ledger       *grant.Ledger
	moves        *movecap.Limiter
	conns        connections
	watches      map[model.ServerID]context.CancelFunc
	// failing has the servers whose latest health check failed.
	failing       map[model.ServerID]bool
	specs         map[model.ServerID]document.Server
	lastID        admission.ItemID
	waiting       map[admission.ItemID]*pending
	running       map[admission.ItemID]*run
	wakeScheduled bool
	preempting    int // preempted runs that have not ended yet
}

// pending is a request that waits for a slot. The goroutine of the request
// receives from started and refused; the scheduler sends to one of them.
type pending struct {
	item admission.Item
	// moved reports whether the home region is another one.
	moved   bool
	started chan *run
	refused chan result.Code
}

// run is a request that holds a slot.
type run struct {
	item    admission.Item
	server  model.ServerID
	conn    *backend.Server
	since   time.Time
	local   bool
	grantID grant.ID
	moved   bool
	// cancel is set while the run may be preempted.
	cancel    context.CancelFunc
	preempted bool
}

func newScheduler(d *dispatcher, service document.Service, doc *document.Document) *scheduler {
	now := time.Now()
	return &scheduler{
		region:       d.region,
		guard:        d.guard,
		waits:        d.waits,
		log:          d.log,
		metrics:      d.metrics,
		service:      service,
		drains:       drain.NewServers(),
		leavingSince: make(map[model.ServerID]time.Time),
		queue:        admission.New(now, doc.Ranks, 0),
		table:        slots.New(),
		ledger:       grant.NewLedger(d.incarnation),
		moves:        movecap.New(now, doc.Environment.MoveCap, doc.Environment.MoveInterval),
		conns:        make(connections),
		watches:      make(map[model.ServerID]context.CancelFunc),
		failing:      make(map[model.ServerID]bool),
		specs:        make(map[model.ServerID]document.Server),
		waiting:      make(map[admission.ItemID]*pending),
		running:      make(map[admission.ItemID]*run),
	}
}

// update applies the servers and ranks of a new view.
func (s *scheduler) update(now time.Time, servers map[model.ServerID]assignedServer, service document.Service, doc *document.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service, s.ranks = service, doc.Ranks
	for name := range s.specs {
		if _, ok := servers[name]; !ok {
			s.removeServer(now, name)
		}
	}
	for name, assigned := range servers {
		s.putServer(now, name, assigned)
	}
	for _, removed := range s.queue.SetRanks(now, doc.Ranks) {
		s.refuse(removed.ID, result.UnknownRank)
	}
	if len(s.specs) == 0 {
		s.refuseAll(result.NotDispatcher)
	}
	s.moves.Configure(now, doc.Environment.MoveCap, doc.Environment.MoveInterval)
	s.startWaiting(now)
}

// tick makes the changes that depend only on time.
func (s *scheduler) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for name := range s.specs {
		s.applyDrain(now, name)
	}
	s.startWaiting(now)
}

// expire refuses the queued requests whose deadline has passed. The caller holds
// the mutex.
func (s *scheduler) expire(now time.Time) {
	for _, item := range s.queue.Expire(now) {
		s.refuse(item.ID, result.DeadlineBeforeRun)
	}
}

// load returns the load to report with a response: it counts the queued requests
// of the request's rank only, because those of other ranks say little about how
// long this rank waits.
func (s *scheduler) load(rank model.Rank) balance.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return balance.Load{Slots: s.table.Capacity(time.Now()), Waiting: s.queue.Waiting(rank)}
}

// startWaiting starts queued requests while there are free slots. The caller
// holds the mutex.
func (s *scheduler) startWaiting(now time.Time) {
	capacity := s.table.Capacity(now)
	s.queue.SetSlots(now, capacity)
	s.moves.SetSlots(now, capacity, s.table.HasColdServer(now))
	for s.startNext(now) {
	}
	if s.queue.ExclusiveWaiting() {
		s.table.HoldForExclusive(now)
	}
	if s.queue.Len() > 0 {
		s.preempt(now)
		s.scheduleWake()
	}
}

// queueCheckInterval is the interval at which startWaiting is called while
// requests wait: the queue may hold a slot free for up to 30 ms, and preemption
// depends on waiting time.
const queueCheckInterval = 5 * time.Millisecond

// scheduleWake schedules the next call of startWaiting. The caller holds the
// mutex.
func (s *scheduler) scheduleWake() {
	if s.wakeScheduled {
		return
	}
	s.wakeScheduled = true
	time.AfterFunc(queueCheckInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wakeScheduled = false
		now := time.Now()
		s.expire(now)
		s.startWaiting(now)
	})
}

func (s *scheduler) startNext(now time.Time) bool {
	if s.ledger.FreeLocalSlots(now) == 0 {
		return false
	}
	free := admission.FreeSlots{Shared: s.table.Free(now) > 0, Exclusive: s.table.HasIdleServer(now)}
	item, ok := s.queue.Next(now, free)
	if !ok {
		return false
	}
	waiter := s.waiting[item.ID]
	if waiter == nil {
		return true
	}
	if waiter.moved && s.moves.Start(now) != result.Served {
		// The queue has counted the item as started.
		s.queue.Preempted(now, item.Rank, 0)
		s.refuse(item.ID, result.MoveCapReached)
		return true
	}
	r, ok := s.acquire(now, item, waiter.moved)
	if !ok {
		s.finishMove(now, waiter.moved)
		s.queue.Preempted(now, item.Rank, 0)
		s.queue.Requeue(now, item)
		return false
	}
	r.local = s.ledger.StartLocal(now)
	delete(s.waiting, item.ID)
	waiter.started <- r
	return true
}

// acquire occupies a slot for the item. The caller holds the mutex.
func (s *scheduler) acquire(now time.Time, item admission.Item, moved bool) (*run, bool) {
	server, ok := s.table.Acquire(now, item.Exclusive)
	if !ok {
		return nil, false
	}
	r := &run{item: item, server: server, conn: s.conns[server], since: now, moved: moved}
	s.running[item.ID] = r
	return r, true
}

// refuseAll refuses all queued requests when this host has no server of the
// service left. Their owners send them to another dispatcher.
func (s *scheduler) refuseAll(code result.Code) {
	for id := range s.waiting {
		s.queue.Remove(id)
		s.refuse(id, code)
	}
}

func (s *scheduler) refuse(id admission.ItemID, code result.Code) {
	if waiter := s.waiting[id]; waiter != nil {
		delete(s.waiting, id)
		waiter.refused <- code
	}
}

// preempt cancels a run of a less urgent rank if the queue picks one.
func (s *scheduler) preempt(now time.Time) {
	runs := make([]admission.Run, 0, len(s.running))
	for id, r := range s.running {
		if r.cancel != nil {
			runs = append(runs, admission.Run{ID: id, Rank: r.item.Rank, Started: r.since})
		}
	}
	id, ok := s.queue.Preempt(now, runs, s.preempting)
	if !ok {
		return
	}
	s.preempting++
	r := s.running[id]
	r.preempted = true
	r.cancel()
	r.cancel = nil
}

// finish ends a run. A preempted run that did not complete is queued again; the
// returned pending is then not nil.
func (s *scheduler) finish(now time.Time, r *run, code result.Code) *pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r.item.ID)
	s.finishMove(now, r.moved)
	s.table.Release(now, r.server, outcomeOf(code))
	if code == result.ServerShed {
		s.log.Emit(events.ServerShedding, events.Server(r.server), events.Count(1))
	}
	if r.local {
		s.ledger.FinishLocal()
	} else if r.grantID != (grant.ID{}) {
		s.ledger.Finish(now, r.grantID)
	}
	if _, ok := s.specs[r.server]; ok && code == result.ConnectFailed {
		s.applyDrain(now, r.server)
	}
	slotTime := now.Sub(r.since)
	var requeued *pending
	if r.preempted {
		s.preempting--
		s.queue.Preempted(now, r.item.Rank, slotTime)
		if code.Class() != result.ClassServed && s.queue.Requeue(now, r.item) {
			requeued = newPending(r.item, r.moved)
			s.waiting[r.item.ID] = requeued
		}
		if len(s.specs) == 0 {
			// The servers were handed over while the run was cancelled.
			s.refuseAll(result.NotDispatcher)
		}
	} else {
		s.queue.Done(now, r.item.Rank, slotTime)
	}
	s.startWaiting(now)
	return requeued
}

func outcomeOf(code result.Code) slots.Outcome {
	if code == result.ServerShed {
		return slots.Shed
	}
	return slots.Completed
}

func newPending(item admission.Item, moved bool) *pending {
	return &pending{item: item, moved: moved, started: make(chan *run, 1), refused: make(chan result.Code, 1)}
}

// enqueue offers a local request to the queue.
func (s *scheduler) enqueue(now time.Time, item admission.Item, moved bool) (*pending, result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.specs) == 0 {
		return nil, result.NotDispatcher
	}
	s.lastID++
	item.ID = s.lastID
	if code := s.queue.Offer(now, item); code != result.Served {
		if isFlood(code) {
			s.refusals.add(now, item.Rank)
		}
		return nil, code
	}
	waiter := newPending(item, moved)
	s.waiting[item.ID] = waiter
	s.startWaiting(now)
	return waiter, result.Served
}

// cancelWaiting removes a request from the queue. It returns the run if the
// request got its slot in the meantime.
func (s *scheduler) cancelWaiting(now time.Time, waiter *pending) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(waiter.item.ID)
	delete(s.waiting, waiter.item.ID)
	s.startWaiting(now)
	select {
	case r := <-waiter.started:
		return r
	default:
		return nil
	}
}

// allowPreemption allows preempt to cancel the run.
func (s *scheduler) allowPreemption(r *run, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.cancel = cancel
}
