package e2e

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
)

// loseRegion kills every process of a region.
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

func (f *fleet) waitServed(block string) {
	f.t.Helper()
	f.waitFor("a check of "+block+" is served", func() bool {
		got, err := f.serveOne(block, "served", "x")
		return err == nil && got.Class == "served"
	})
}

// Worst pair for configuration: without the store no host can read what the
// lost region knew. Guards against hosts that need the store to move callers.
func TestRegionLossWhileStoreIsDown(t *testing.T) {
	f := newFleet(t, defaultSpec())
	f.waitReady(len(f.hosts))
	f.store.SetFaults(standin.Faults{Down: true})
	f.loseRegion("gandaki")
	f.waitReady(len(f.hosts) / 2)
	f.waitServed("10.2.7.0/24")
}

// Worst pair for at most once: the owner neither answers nor dies, and nothing
// can be looked up in the store.
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

// Two hosts of one region die at once, so a booking can lose its owner and its
// dispatcher together.
func TestKilledOwnerAndDispatcherRunNoBookingTwice(t *testing.T) {
	s := defaultSpec()
	s.hostsPerDomain = 2
	f := newFleet(t, s)
	// A look-up names all four hosts of the home region and two of another.
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

// Silence hides what ran and the owner's death loses its records: guards
// against a second run through the remaining hosts.
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

// The suspicion is known to the hosts alone: guards against more crashes when
// one of them dies between the crash and the resends.
func TestCrashingRequestWhileHostsDie(t *testing.T) {
	s := defaultSpec()
	s.servers = map[string]int{"booking-desk": 6}
	f := newFleet(t, s)
	f.waitReady(len(f.hosts))
	caller := f.caller()
	call := standin.Call{Service: "booking-desk", Rank: "check", Idempotent: true, Deadline: 5 * time.Second, Body: standin.CrashMarker}
	for i, h := range f.hosts {
		_, _ = caller.Send(t.Context(), h.callers, fmt.Sprintf("crash-%d", i), h.region, call)
		if i == 0 {
			h.signalAll(syscall.SIGKILL)
		}
	}
	f.checkCrashes(s.regions)
}

// A flood in the region that takes over: guards against moved checks that
// starve behind uploads.
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
