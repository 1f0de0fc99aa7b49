package entry

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Guards against a preempted request that is reported as not run when it gets no
// second slot, although a backend server has begun to run it.
func TestPreemptedRequestIsNotCalledNotRun(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1, ServiceTime: time.Minute})
	s := f.hosts[0].dispatcher.scheduler("desk")
	call := standin.Call{Service: "desk", Rank: "check", Idempotent: true, Deadline: time.Second, Body: "b"}
	done := make(chan standin.CallResult)
	go func() {
		got, _ := f.caller.Send(t.Context(), f.hosts[0].callers, "preempted", "r", call)
		done <- got
	}()
	for f.runs("preempted") == 0 {
		time.Sleep(time.Millisecond)
	}
	s.mu.Lock()
	for id, r := range s.running {
		s.table.SetLeaving(r.server, true)
		s.drains.Observe(r.server, 0, true, time.Now())
		s.preempting++
		r.preempted = true
		r.cancel()
		r.cancel = nil
		t.Logf("preempted item %d", id)
	}
	s.mu.Unlock()
	if got := <-done; got.Class != result.ClassUnknown.String() || f.runs("preempted") != 1 {
		t.Errorf("%+v after %d runs, want an unknown outcome", got, f.runs("preempted"))
	}
}

// Guards against an unlimited number of waiting requests on a host: the limit
// applies to all services together, and a request that stops waiting no longer
// counts.
func TestWaitingRequestsAreLimited(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1, ServiceTime: 100 * time.Millisecond})
	h := f.hosts[0]
	h.dispatcher.waits.limit = 0
	got, err := f.send(h, "refused", true, "b")
	if err != nil || got.Result != int(result.QueueFull) || f.runs("refused") != 0 {
		t.Errorf("%+v, %v, want %v", got, err, result.QueueFull)
	}
	h.dispatcher.waits.limit = 1
	for _, id := range []string{"first", "second"} {
		if got, err := f.send(h, id, true, "b"); err != nil || got.Class != "served" {
			t.Errorf("%s: %+v, %v, want served", id, got, err)
		}
	}
	if n := h.dispatcher.waits.waiting.Load(); n != 0 {
		t.Errorf("%d requests are still counted as waiting", n)
	}
}

// Guards against a preempted request that waits until its deadline on a host that has
// handed over its servers.
func TestPreemptedRequestLeavesHostWithoutServers(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1, ServiceTime: time.Minute})
	h := f.hosts[0]
	s := h.dispatcher.scheduler("desk")
	req := Request{
		ID: "preempted", Service: "desk", Path: "run", Rank: "check", HomeRegion: "r", FromRegion: "r",
		Idempotent: true, Deadline: time.Now().Add(20 * time.Second),
	}
	done := make(chan Response, 1)
	go func() { done <- h.dispatcher.dispatch(t.Context(), req, "owner") }()
	for f.runs(req.ID) == 0 {
		time.Sleep(time.Millisecond)
	}
	s.mu.Lock()
	for _, r := range s.running {
		s.preempting++
		r.preempted = true
		r.cancel()
		r.cancel = nil
	}
	for name := range s.specs {
		s.removeServer(time.Now(), name)
	}
	s.refuseAll(result.NotDispatcher)
	s.mu.Unlock()
	select {
	case got := <-done:
		if got.Code.Class() != result.ClassUnknown {
			t.Errorf("%+v, want an unknown outcome", got)
		}
	case <-time.After(time.Until(req.Deadline) - 10*time.Second):
		t.Error("the request waits in the queue of a host without servers")
	}
}
