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

// arrival is the result of one arrival of a request in a history.
type arrival struct {
	id      string
	class   string
	ownBody bool
}

// atMostOnceModel models one request ID, which runs at most once. Once an arrival
// may have run, no later one may report that the request did not run, and a
// response must carry the body of its own request. State 0: no arrival ran; 1:
// the request may have run.
var atMostOnceModel = porcupine.Model{
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
		switch got := output.(arrival); got.class {
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
	ownBody := strings.HasSuffix(got.Body, fmt.Sprintf("ran %s /run: body of %s", id, id))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: id, Call: call, Return: end, Output: arrival{id, got.Class, ownBody}})
	return got
}

// check compares the history with the model and with the backend servers' own
// record of runs.
func (h *history) check(t *testing.T, f *fleet) map[string]int {
	t.Helper()
	if !porcupine.CheckOperations(atMostOnceModel, h.ops) {
		t.Error("the history has a mismatched or truncated response, or a not-run after a run")
	}
	classes := map[string]int{}
	last := map[string]arrival{}
	for _, op := range h.ops {
		got := op.Output.(arrival)
		classes[got.class]++
		if last[got.id].class != "served" {
			last[got.id] = got
		}
	}
	for id, got := range last {
		runs := f.runs(id)
		if runs > 1 || runs > 0 && got.class == "not-run" || runs == 0 && got.class == "served" {
			t.Errorf("%s: %d runs, result class %s", id, runs, got.class)
		}
	}
	return classes
}

// faultOf gives each fault to a tenth of the responses.
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

// Guards against a second run and against a mismatched or truncated response:
// every request is sent to all entry hosts at the same time and once more, while
// half of the responses of the backend servers are faulty.
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
		t.Errorf("%v: want at least as many served arrivals as requests", classes)
	}
}

// Guards against a second run or a wrong not-run result when the owner or the
// dispatcher dies at any step, and checks that after the death of an owner a
// resend gets the response that the dispatcher stored.
func TestKillAtEachStep(t *testing.T) {
	wantRuns := map[requestStep]int{stepRecorded: 0, stepForward: 0, stepDispatched: 1, stepStored: 1, stepResponseReceived: 1}
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
			served := false
			for _, to := range f.hosts {
				served = h.send(f, to, 0, id).Class == "served" || served
			}
			h.check(t, f)
			if got := f.runs(id); got != want {
				t.Errorf("step %d, owner %d: %d runs, want %d", at, round, got, want)
			}
			if at == stepResponseReceived && !dispatches {
				recalled++
				if !served {
					t.Errorf("owner %d died after its dispatcher stored the response, but resends did not get it", round)
				}
			}
		}
	}
	if recalled == 0 {
		t.Error("every owner was also a dispatcher: no recall was tested")
	}
}

// Guards against an owner that is paused past every timeout and dispatches after
// the deadline when it resumes.
func TestPausedOwnerDoesNotDispatchAfterTheDeadline(t *testing.T) {
	f := newFleet(t, 2, 1, standin.BackendConfig{Slots: 50})
	for _, at := range []requestStep{stepRecorded, stepForward} {
		owner := f.hosts[0]
		id := owner.id(fmt.Sprint("paused-", at))
		resume := make(chan struct{})
		owner.setOnStep(func(got requestStep, req Request) {
			if got == at && req.ID == id && !isClosed(resume) {
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
			t.Errorf("resend after not-run: %+v, %v, %d runs, want served and one run", again, err, f.runs(id))
		}
	}
}

func isClosed(resume chan struct{}) bool {
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

// Guards against a response that is lost when the caller disconnects: the request
// completes, runs once, and a resend gets the recorded response.
func TestDisconnectedCallerGetsItsResponse(t *testing.T) {
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
			time.Sleep(time.Millisecond) // until the server sees the cancellation
		}
	}
}
