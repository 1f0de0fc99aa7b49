package entry

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Guards against a preempted request that is refused as not run when it gets
// no second slot: the backend server had begun to run it.
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
		s.stopping++
		r.preempted = true
		r.cancel(errPreempted)
		r.cancel = nil
		t.Logf("preempted item %d", id)
	}
	s.mu.Unlock()
	if got := <-done; got.Class != result.ClassUnknown.String() || f.runs("preempted") != 1 {
		t.Errorf("%+v after %d runs, want an unknown outcome", got, f.runs("preempted"))
	}
}
