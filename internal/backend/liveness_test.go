package backend

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// ageIdle sets the last response of the idle connections to before
// LivenessWindow.
func ageIdle(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.idle {
		conn.lastResponse = time.Now().Add(-2 * LivenessWindow)
	}
}

// Guards against non-idempotent work on an unresponsive connection: the probe
// detects it, and the work starts on a new one.
func TestNonIdempotentWorkStartsOnAProvenConnection(t *testing.T) {
	process, server := startBackend(t, standin.BackendConfig{})
	prime(t, server)
	process.SetFaults(standin.BackendFaults{Unresponsive: true})
	ageIdle(server)
	got := server.Do(t.Context(), request("r", false), long)
	if got.Code != result.Served || runsOf(process.Backend, "r") != 1 {
		t.Errorf("%+v, %d runs, want served and one run", got, runsOf(process.Backend, "r"))
	}
	if server.open != 1 {
		t.Errorf("%d connections open, want 1: the unresponsive one must be closed", server.open)
	}
}

// Guards against idempotent work that waits on an unresponsive connection until
// its deadline: the first attempt must leave time for a second one.
func TestIdempotentWorkLeavesTimeForAnotherConnection(t *testing.T) {
	process, server := startBackend(t, standin.BackendConfig{})
	prime(t, server)
	process.SetFaults(standin.BackendFaults{Unresponsive: true})
	req := request("r", true)
	req.Deadline = time.Now().Add(2 * time.Second)
	if got := server.Do(t.Context(), req, long); got.Code != result.ConnectionLost {
		t.Fatalf("first attempt: %+v, want %v", got, result.ConnectionLost)
	}
	req.Retry = true
	if got := server.Do(t.Context(), req, long); got.Code != result.Served {
		t.Errorf("second attempt: %+v, want served", got)
	}
}

// Guards against an unbounded wait on an unresponsive connection.
func TestFirstByteWaitIsBoundedForEveryKindOfWork(t *testing.T) {
	server := NewServer(document.Server{})
	for _, req := range []Request{{Idempotent: true}, {Idempotent: true, Retry: true}, {}} {
		if got := server.firstByteLimit(req, long, long); got > FirstByteTimeout {
			t.Errorf("%+v: %v, want at most %v", req, got, FirstByteTimeout)
		}
	}
	server.observeFirstByte(100 * time.Millisecond)
	if got := server.firstByteLimit(Request{Idempotent: true}, long, time.Second); got != 800*time.Millisecond {
		t.Errorf("server that takes 100 ms, 1 s left: %v, want 800ms", got)
	}
}

// Guards against a late response to an abandoned request that is accepted as the
// response to a probe.
func TestLateResponseFailsProbe(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRequestID, "abandoned")
		fmt.Fprint(w, `{"state":"ok"}`)
	}
	late := httptest.NewServer(http.HandlerFunc(handler))
	defer late.Close()
	server := NewServer(document.Server{Name: "s", Address: late.Listener.Addr().String(), Connections: 9})
	if got := server.Do(t.Context(), request("r", false), long); got.Code != result.ConnectFailed {
		t.Errorf("%+v, want %v: the probes got no response", got, result.ConnectFailed)
	}
}

// Guards against more connections than the limit of the server.
func TestConnectionLimit(t *testing.T) {
	process, _ := startBackend(t, standin.BackendConfig{ServiceTime: long})
	server := NewServer(document.Server{Name: "s", Address: process.Address(), Connections: 2})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan Outcome)
	for _, id := range []string{"a", "b"} {
		go func() { done <- server.Do(ctx, request(id, true), long) }()
	}
	for len(process.Runs()) < 2 {
		time.Sleep(time.Millisecond)
	}
	if got := server.Do(t.Context(), request("c", true), long); got.Code != result.NoCapacity {
		t.Errorf("third request: %+v, want %v", got, result.NoCapacity)
	}
	cancel()
	for range 2 {
		if got := <-done; got.Code != result.ConnectionLost {
			t.Errorf("cancelled request: %+v, want %v", got, result.ConnectionLost)
		}
	}
	for process.Cancelled() < 2 { // until the cancellation reaches the server
		time.Sleep(time.Millisecond)
	}
}

// Guards against a crash that is reported as a lost connection, and against new
// work for a server that refuses connections.
func TestCrashIsDetected(t *testing.T) {
	process, server := startBackend(t, standin.BackendConfig{})
	prime(t, server)
	req := request("r", false)
	req.Body = []byte(standin.CrashMarker)
	if got := server.Do(t.Context(), req, long); got.Code != result.ServerCrashed {
		t.Errorf("%+v, want %v", got, result.ServerCrashed)
	}
	now := time.Now()
	if server.Reachable(now) || !server.Reachable(now.Add(2*refusalBackoff)) {
		t.Error("a server that refuses connections must be avoided for a second")
	}
	if err := process.Restart(); err != nil {
		t.Fatal(err)
	}
	if got := server.Do(t.Context(), request("s", false), long); got.Code != result.Served || !server.Reachable(now) {
		t.Errorf("after the restart: %+v", got)
	}
}

// Guards against new work for a draining server of which only one source shows
// that it drains.
func TestDrainingIsDetected(t *testing.T) {
	process, server := startBackend(t, standin.BackendConfig{})
	if status, err := server.Poll(t.Context()); err != nil || status.Draining || status.Slots != 100 {
		t.Errorf("poll: %+v, %v", status, err)
	}
	process.SetFaults(standin.BackendFaults{Draining: true, ReportedBusy: 42})
	if status, err := server.Poll(t.Context()); err != nil || !status.Draining || status.Busy != 42 || !server.Draining() {
		t.Errorf("poll of a draining server: %+v, %v, draining %v", status, err, server.Draining())
	}
	process.SetFaults(standin.BackendFaults{})
	if _, err := server.Poll(t.Context()); err != nil || server.Draining() {
		t.Errorf("drain cancelled: %v, draining %v", err, server.Draining())
	}
	process.SetFaults(standin.BackendFaults{Draining: true})
	prime(t, server)
	process.SetFaults(standin.BackendFaults{})
	if _, err := server.Poll(t.Context()); err != nil || !server.Draining() {
		t.Errorf("announced by a response, health endpoint stale: %v, draining %v", err, server.Draining())
	}
}
