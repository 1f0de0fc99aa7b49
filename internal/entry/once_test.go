package entry

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// sent is one arrival of a request in a history.
type sent struct {
	id      string
	class   string
	ownBody bool
}

// onceModel is the register of one request ID: it runs at most once, an
// answer or a not run is final knowledge, and not run after a run is a lie.
// State 0: no arrival ran; 1: it may have run.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(string)
			byID[id] = append(byID[id], op)
		}
		return slices.Collect(maps.Values(byID))
	},
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		switch got := output.(sent); got.class {
		case result.ClassServed.String():
			return got.ownBody, 1
		case result.ClassNotRun.String():
			return state == 0, 0
		default:
			return true, 1
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// history collects the arrivals of concurrent callers.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) send(f *fleet, to *testHost, client int, id string) standin.CallResult {
	call := time.Now().UnixNano()
	got, err := f.send(to, id, false, "body of "+id)
	if err != nil {
		got.Class = result.ClassUnknown.String()
	}
	end := time.Now().UnixNano()
	own := strings.HasSuffix(got.Body, fmt.Sprintf("ran %s /run: body of %s", id, id))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: id, Call: call, Return: end, Output: sent{id, got.Class, own}})
	return got
}

// check compares the history with the model and with the backend servers' own
// record of runs.
func (h *history) check(t *testing.T, f *fleet) map[string]int {
	t.Helper()
	if !porcupine.CheckOperations(onceModel, h.ops) {
		t.Error("the history has a broken answer, or a not run after a run")
	}
	classes := map[string]int{}
	last := map[string]sent{}
	for _, op := range h.ops {
		got := op.Output.(sent)
		classes[got.class]++
		if last[got.id].class != "served" {
			last[got.id] = got
		}
	}
	for id, got := range last {
		runs := f.runs(id)
		if runs > 1 || runs > 0 && got.class == "not-run" || runs == 0 && got.class == "served" {
			t.Errorf("%s: %d runs, answered %s", id, runs, got.class)
		}
	}
	return classes
}

// faultOf gives a tenth of the answers each fault.
func faultOf(id string) standin.ResponseFault {
	faults := []standin.ResponseFault{standin.ResponseTruncated, standin.ResponseMismatched, standin.ResponseDuplicated, standin.ResponseLost, standin.RequestDropped}
	sum := 0
	for _, b := range []byte(id) {
		sum = sum*31 + int(b)
	}
	if n := (sum & 0x7fffffff) % 50; n < 25 {
		return faults[n%len(faults)]
	}
	return ""
}

// Guards against a second run and against another request's or a broken
// answer: every request is sent to all entry hosts at once and once more,
// while half of the answers are faulty.
func TestConcurrentResendsRunAtMostOnce(t *testing.T) {
	f := newFleet(t, 3, 4, standin.BackendConfig{Slots: 50})
	for _, b := range f.backend {
		b.SetResponseFaults(faultOf)
	}
	h := &history{}
	var group sync.WaitGroup
	const clients, requests = 8, 150
	for client := range clients {
		group.Go(func() {
			random := rand.New(rand.NewSource(int64(client)))
			for i := range requests {
				id := f.hosts[random.Intn(3)].id(fmt.Sprintf("%d-%d", client, i))
				var arrivals sync.WaitGroup
				for _, to := range f.hosts {
					arrivals.Go(func() { h.send(f, to, client, id) })
				}
				arrivals.Wait()
				h.send(f, f.hosts[random.Intn(3)], client, id)
			}
		})
	}
	group.Wait()
	classes := h.check(t, f)
	t.Log(classes)
	if classes["served"] < clients*requests {
		t.Errorf("%v: too few served to prove anything", classes)
	}
}

// Guards against a second run or a false not run when the owner or the
// dispatcher dies at any step, and checks that the answer of a dead owner is
// found at the dispatcher.
func TestKillAtEachStep(t *testing.T) {
	wantRuns := map[requestStep]int{stepRecorded: 0, stepHandOver: 0, stepDispatched: 1, stepKept: 1, stepAnswered: 1}
	f := newFleet(t, 3, 2, standin.BackendConfig{Slots: 50})
	recalled := 0
	for at, want := range wantRuns {
		for round := range 3 {
			h := &history{}
			owner := f.hosts[round]
			unique := fmt.Sprintf("%d-%d", at, round)
			id := owner.id(unique)
			for _, host := range f.hosts {
				host.killAt(at, unique)
			}
			dispatches := f.dispatches(owner)
			for _, to := range f.hosts {
				h.send(f, to, 0, id)
			}
			f.restartKilled()
			answered := false
			for _, to := range f.hosts {
				answered = h.send(f, to, 0, id).Class == "served" || answered
			}
			h.check(t, f)
			if got := f.runs(id); got != want {
				t.Errorf("step %d, owner %d: %d runs, want %d", at, round, got, want)
			}
			if at == stepAnswered && !dispatches {
				recalled++
				if !answered {
					t.Errorf("owner %d died after its dispatcher kept the answer, but resends did not get it", round)
				}
			}
		}
	}
	if recalled == 0 {
		t.Error("each owner was a dispatcher too: no recall was tested")
	}
}

// Guards against an owner that was paused past every time-out and dispatches
// after the deadline when it resumes.
func TestPausedOwnerDoesNotDispatchAfterTheDeadline(t *testing.T) {
	f := newFleet(t, 2, 1, standin.BackendConfig{Slots: 50})
	for _, at := range []requestStep{stepRecorded, stepHandOver} {
		owner := f.hosts[0]
		id := owner.id(fmt.Sprint("paused-", at))
		resume := make(chan struct{})
		owner.onStepDo(func(got requestStep, req Request) {
			if got == at && req.ID == id && !resumed(resume) {
				<-resume
				time.Sleep(time.Until(req.Deadline))
			}
		})
		call := standin.Call{Service: "desk", Rank: "check", Deadline: 300 * time.Millisecond, Body: "b"}
		got, err := f.caller.Send(t.Context(), f.hosts[1].callers, id, "r", call)
		if err != nil || got.Class != "unknown" {
			t.Errorf("while paused: %+v, %v, want unknown", got, err)
		}
		close(resume)
		for owner.isRunning(id) {
			time.Sleep(time.Millisecond)
		}
		if runs := f.runs(id); runs != 0 {
			t.Errorf("paused at step %d: %d runs after the deadline", at, runs)
		}
		again, err := f.send(f.hosts[1], id, false, "b")
		if err != nil || again.Result != int(result.Served) || f.runs(id) != 1 {
			t.Errorf("resend after not run: %+v, %v, %d runs, want served and one", again, err, f.runs(id))
		}
	}
}

func resumed(resume chan struct{}) bool {
	select {
	case <-resume:
		return true
	default:
		return false
	}
}

func (h *testHost) isRunning(id string) bool {
	h.requests.owned.mu.Lock()
	defer h.requests.owned.mu.Unlock()
	return h.requests.owned.runs[id] != nil
}

// Guards against a caller that loses the answer by disconnecting: the request
// completes, runs once, and a resend gets the recorded answer.
func TestDisconnectedCallerFindsItsAnswer(t *testing.T) {
	f := newFleet(t, 2, 1, standin.BackendConfig{Slots: 50, ServiceTime: 100 * time.Millisecond})
	for _, to := range f.hosts {
		id := f.hosts[0].id("gone-" + string(to.settings.Host.ID))
		f.disconnectWhileRunning(to, id, false)
		got, err := f.send(to, id, false, "b")
		if err != nil || got.Result != int(result.ServedReplay) || f.runs(id) != 1 {
			t.Errorf("resend: %+v, %v, %d runs, want a replay and one run", got, err, f.runs(id))
		}
		cancelled := f.backend[0].Cancelled()
		f.disconnectWhileRunning(to, "idempotent-"+string(to.settings.Host.ID), true)
		for f.backend[0].Cancelled() == cancelled {
			time.Sleep(time.Millisecond) // the server sees the cancellation
		}
	}
}
