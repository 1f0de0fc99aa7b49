package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
)

// load sends requests from callers that cache lookup responses, until it is
// stopped.
type load struct {
	sent, served atomic.Int64
	mu           sync.Mutex
	failures     []string
	stop         context.CancelFunc
	done         sync.WaitGroup
}

// maxRecordedFailures is the maximum length of load.failures.
const maxRecordedFailures = 20

// startLoad starts workers that each send one request at a time, alternately
// checks and bookings.
func (f *fleet) startLoad(workers int, pause time.Duration) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel}
	f.load = l
	caller := f.caller()
	for w := range workers {
		l.done.Go(func() { l.run(ctx, caller, w, pause) })
	}
	return l
}

func (l *load) run(ctx context.Context, caller *standin.Caller, worker int, pause time.Duration) {
	block := fmt.Sprintf("10.%d.%d.0/24", worker%2+1, worker)
	var response standin.LookupResponse
	var expires time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Now().After(expires) {
			fresh, err := caller.Lookup(context.Background(), "booking-desk", block)
			if err != nil {
				l.fail("lookup: %v", err)
				continue
			}
			response, expires = fresh, time.Now().Add(time.Duration(fresh.CacheSeconds)*time.Second)
		}
		l.send(caller, response, worker, i)
		time.Sleep(pause)
	}
}

func (l *load) send(caller *standin.Caller, response standin.LookupResponse, worker, i int) {
	call := standin.Call{Service: "booking-desk", Rank: "check", Idempotent: true, Deadline: 10 * time.Second, Body: fmt.Sprintf("%d/%d", worker, i)}
	if i%2 == 1 {
		call.Rank, call.Idempotent = "booking", false
	}
	host := response.Hosts[0]
	id := fmt.Sprintf("%s.w%d-%d", host.Owner, worker, i)
	l.sent.Add(1)
	got, err := caller.Send(context.Background(), host.Address, id, response.HomeRegion, call)
	switch {
	case err != nil:
		l.fail("%s to %s: %v", call.Rank, host.Host, err)
	case got.Class != "served":
		l.fail("%s to %s: %s", call.Rank, host.Host, got.Body)
	case got.RequestID != id:
		l.fail("%s: got the response to request %s", id, got.RequestID)
	default:
		l.served.Add(1)
	}
}

// fail records a failure.
func (l *load) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) < maxRecordedFailures {
		l.failures = append(l.failures, fmt.Sprintf(format, args...))
	}
}

// finish stops the load and waits for the requests in flight.
func (l *load) finish() {
	l.stop()
	l.done.Wait()
}

// Guards against a planned stop that interrupts a request: every host is
// restarted in turn while callers use lookup responses that they cached before.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	f := newFleet(t, defaultSpec())
	f.waitReady(len(f.hosts))
	l := f.startLoad(8, 5*time.Millisecond)
	for _, h := range f.hosts {
		h.signalAll(syscall.SIGTERM)
		for _, name := range daemonNames {
			if err := h.wait(name); err != nil {
				t.Errorf("%s %s: %v\n%s", h.name, name, err, h.processes[name].log)
			}
		}
		h.startAll()
		f.waitReady(len(f.hosts))
	}
	l.finish()
	t.Logf("%d requests sent, %d served", l.sent.Load(), l.served.Load())
	for _, failure := range l.failures {
		t.Error(failure)
	}
	if l.sent.Load() != l.served.Load() {
		t.Errorf("%d of %d requests were not served", l.sent.Load()-l.served.Load(), l.sent.Load())
	}
}
