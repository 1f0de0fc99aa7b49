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

// startFlood starts workers that send requests of one rank to the hosts without a
// pause. It returns a function that ends the flood and returns the number of
// requests sent and of those that got no response with a result class.
func (f *fleet) startFlood(rank string, workers int, hosts []*host) (stop func() (sent, withoutResponse int64)) {
	var sent, withoutResponse atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	caller := f.caller()
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			call := standin.Call{Service: "booking-desk", Rank: rank, Idempotent: true, Deadline: 5 * time.Second, Body: "flood"}
			target := hosts[w%len(hosts)]
			for i := 0; ctx.Err() == nil; i++ {
				sent.Add(1)
				got, err := caller.Send(context.Background(), target.callerAddress, fmt.Sprintf("%s-%d-%d", rank, w, i), target.region, call)
				if err != nil || got.Class == "" {
					withoutResponse.Add(1)
				}
			}
		})
	}
	return func() (int64, int64) {
		cancel()
		group.Wait()
		return sent.Load(), withoutResponse.Load()
	}
}

// floodWorkers is far above the number of slots of the fleet.
const floodWorkers = 128

// newFloodFleet starts a fleet with a service time at which a flood uses all
// slots.
func newFloodFleet(t *testing.T) *fleet {
	t.Helper()
	s := defaultSpec()
	s.serviceTime = 20 * time.Millisecond
	f := newFleet(t, s)
	f.waitReady(len(f.hosts))
	return f
}

// minServedShare is the design target for purchases and bookings in a flood.
const minServedShare = 0.99

// Guards against bookings and checks that are not served in a flood of uploads,
// and against uploads that get no response.
func TestUploadFloodLeavesOtherWork(t *testing.T) {
	f := newFloodFleet(t)
	stop := f.startFlood("upload", floodWorkers, f.hosts)
	l := f.startLoad(4, 5*time.Millisecond)
	const others = 300
	f.waitFor("enough other requests are sent", func() bool { return l.sent.Load() > others })
	l.finish()
	sent, withoutResponse := stop()
	t.Logf("%d flood requests, %d without a response; %d of %d others served", sent, withoutResponse, l.served.Load(), l.sent.Load())
	if withoutResponse > 0 {
		t.Errorf("%d of %d flood requests got no response", withoutResponse, sent)
	}
	if float64(l.served.Load()) < minServedShare*float64(l.sent.Load()) {
		t.Errorf("%d of %d other requests served, want %g", l.served.Load(), l.sent.Load(), minServedShare)
		t.Log(l.failures)
	}
}

// Guards against bookings that starve behind a flood of checks.
func TestCheckFloodLeavesBookings(t *testing.T) {
	f := newFloodFleet(t)
	stop := f.startFlood("check", floodWorkers, f.hosts)
	o := newOutcomes()
	f.bookDuringFault(o, func() {})
	_, withoutResponse := stop()
	f.checkBookings(o)
	const bookings = 320
	if float64(len(o.served)) < minServedShare*bookings {
		t.Errorf("%d of %d bookings served, want %g", len(o.served), bookings, minServedShare)
	}
	if withoutResponse > 0 {
		t.Errorf("%d flood requests got no response", withoutResponse)
	}
}
