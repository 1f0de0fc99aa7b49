package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
)

// startFlood keeps workers busy that send requests of one rank to the hosts, far
// beyond the slots of the fleet. It returns a function that ends it and
// reports how many requests got no answer of a known class.
func (f *fleet) startFlood(rank string, workers int, hosts []*host) (stop func() (sent, unanswered int64)) {
	var sent, unanswered atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	caller := f.caller()
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			call := standin.Call{Service: "booking-desk", Rank: rank, Idempotent: true, Deadline: 5 * time.Second, Body: "flood"}
			target := hosts[w%len(hosts)]
			for i := 0; ctx.Err() == nil; i++ {
				sent.Add(1)
				got, err := caller.Send(context.Background(), target.callers, fmt.Sprintf("%s-%d-%d", rank, w, i), target.region, call)
				if err != nil || got.Class == "" {
					unanswered.Add(1)
				}
			}
		})
	}
	return func() (int64, int64) {
		cancel()
		group.Wait()
		return sent.Load(), unanswered.Load()
	}
}

const floodWorkers = 128

// newFloodFleet starts a fleet whose slots a flood fills.
func newFloodFleet(t *testing.T) *fleet {
	t.Helper()
	s := defaultSpec()
	s.serviceTime = 20 * time.Millisecond
	f := newFleet(t, s)
	f.waitReady(len(f.hosts))
	return f
}

// wantServed is the share of purchases and bookings that the design keeps.
const wantServed = 0.99

// Guards against bookings and checks that are lost in a flood of uploads, and
// against uploads that end without an answer.
func TestUploadFloodLeavesOtherWork(t *testing.T) {
	f := newFloodFleet(t)
	stop := f.startFlood("upload", floodWorkers, f.hosts)
	l := f.startLoad(4, 5*time.Millisecond)
	const others = 300
	f.waitFor("other requests went on", func() bool { return l.sent.Load() > others })
	l.finish()
	sent, unanswered := stop()
	t.Logf("%d flood requests, %d without an answer; %d of %d others served", sent, unanswered, l.served.Load(), l.sent.Load())
	if unanswered > 0 {
		t.Errorf("%d of %d flood requests got no answer", unanswered, sent)
	}
	if float64(l.served.Load()) < wantServed*float64(l.sent.Load()) {
		t.Errorf("%d of %d other requests served, want %g", l.served.Load(), l.sent.Load(), wantServed)
		t.Log(l.failures)
	}
}

// Guards against bookings that starve behind a flood of checks.
func TestCheckFloodLeavesBookings(t *testing.T) {
	f := newFloodFleet(t)
	stop := f.startFlood("check", floodWorkers, f.hosts)
	o := newOutcomes()
	f.bookDuringFault(o, func() {})
	_, unanswered := stop()
	f.checkBookings(o)
	const bookings = 320
	if float64(len(o.served)) < wantServed*bookings {
		t.Errorf("%d of %d bookings served, want %g", len(o.served), bookings, wantServed)
	}
	if unanswered > 0 {
		t.Errorf("%d flood requests got no answer", unanswered)
	}
}
