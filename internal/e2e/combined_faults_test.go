package e2e

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
)

// loseRegion kills every daemon and closes every backend server of a region.
func (f *fleet) loseRegion(region string) {
	for _, h := range f.hosts {
		if h.region == region {
			h.signalAll(syscall.SIGKILL)
		}
	}
	for name, b := range f.backends {
		if strings.Contains(name, region) {
			b.close()
		}
	}
}

// waitServed waits until a check from a client block is served.
func (f *fleet) waitServed(block string) {
	f.t.Helper()
	f.waitFor("a check of "+block+" is served", func() bool {
		got, err := f.sendCheck(block, "served", "x")
		return err == nil && got.Class == "served"
	})
}

// Guards against hosts that need the store to move the callers of a lost region.
// This is the worst pair of faults for the configuration: without the store no
// host can read the state of the lost region.
func TestRegionLossWhileStoreIsDown(t *testing.T) {
	f := newFleet(t, defaultSpec())
	f.waitReady(len(f.hosts))
	f.store.SetFaults(standin.Faults{Down: true})
	f.loseRegion("gandaki")
	f.waitReady(len(f.hosts) / 2)
	f.waitServed("10.2.7.0/24")
}

// Guards against bookings that run twice while their owner is stopped and the
// store is down. This is the worst pair of faults for at-most-once execution:
// the owner sends no reply but is not dead, and the store cannot be read.
func TestFrozenOwnerWhileStoreIsDown(t *testing.T) {
	f := newFleet(t, defaultSpec())
	f.waitReady(len(f.hosts))
	o := newOutcomes()
	owner := f.ownerOf("10.1.7.0/24")
	f.bookDuringFault(o, func() {
		f.store.SetFaults(standin.Faults{Down: true})
		owner.signal("entry", syscall.SIGSTOP)
		f.waitReady(len(f.hosts) - 1)
		owner.signal("entry", syscall.SIGCONT)
	})
	f.checkBookings(o)
}

// Guards against bookings that run twice when two hosts of a region are killed
// at the same time, so that a booking can lose both its owner and its dispatcher.
func TestKilledOwnerAndDispatcherRunNoBookingTwice(t *testing.T) {
	s := defaultSpec()
	s.hostsPerDomain = 2
	f := newFleet(t, s)
	// A lookup returns all four hosts of the home region and two of another.
	f.waitReady(6)
	o := newOutcomes()
	owner := f.ownerOf("10.1.7.0/24")
	f.bookDuringFault(o, func() {
		owner.signalAll(syscall.SIGKILL)
		for _, h := range f.hosts {
			if h.region == owner.region && h != owner {
				h.signalAll(syscall.SIGKILL)
				break
			}
		}
	})
	f.checkBookings(o)
}

// Guards against bookings that run twice when their owner is killed and the
// connections to backend servers stop responding: the remaining hosts get no
// results of the runs, and the owner's records are lost.
func TestKilledOwnerWithSilentConnections(t *testing.T) {
	f := newFleet(t, defaultSpec())
	f.waitReady(len(f.hosts))
	o := newOutcomes()
	owner := f.ownerOf("10.1.7.0/24")
	f.bookDuringFault(o, func() {
		for _, b := range f.backends {
			b.SetFaults(standin.BackendFaults{ReportedBusy: -1, Unresponsive: true})
		}
		owner.signalAll(syscall.SIGKILL)
	})
	f.checkBookings(o)
}

// Guards against more crashes by a request when a host is killed between the
// crash and the resends. Only the hosts store that the request is suspect.
func TestCrashingRequestWhileHostsDie(t *testing.T) {
	s := defaultSpec()
	s.servers = map[string]int{"booking-desk": 6}
	f := newFleet(t, s)
	f.waitReady(len(f.hosts))
	caller := f.caller()
	call := standin.Call{Service: "booking-desk", Rank: "check", Idempotent: true, Deadline: 5 * time.Second, Body: standin.CrashMarker}
	for i, h := range f.hosts {
		_, _ = caller.Send(t.Context(), h.callerAddress, fmt.Sprintf("crash-%d", i), h.region, call)
		if i == 0 {
			h.signalAll(syscall.SIGKILL)
		}
	}
	f.checkCrashes(s.regions)
}

// Guards against checks of a lost region that are not served in the remaining
// region, because a flood of uploads uses its slots.
func TestRegionLossDuringUploadFlood(t *testing.T) {
	f := newFloodFleet(t)
	const workers = 64
	stop := f.startFlood("upload", workers, f.hosts[:2])
	f.loseRegion("gandaki")
	f.waitReady(len(f.hosts) / 2)
	f.waitServed("10.2.7.0/24")
	f.waitServed("10.1.7.0/24")
	stop()
}
