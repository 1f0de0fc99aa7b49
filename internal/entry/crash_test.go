package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/quarantine"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Guards against a request that crashes one server after the other. It is sent
// once, and then to all hosts at the same time under new IDs, while other
// requests of the service continue.
func TestCrashingRequestStopsAfterTwoCrashes(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		f := newFleet(t, 3, 8, standin.BackendConfig{Slots: 50, ServiceTime: time.Millisecond})
		served := f.whileOthersRun(4, 150, func() {
			_, _ = f.send(f.hosts[0], f.hosts[0].id("crash"), idempotent, standin.CrashMarker)
			var group sync.WaitGroup
			for i := range 12 {
				to := f.hosts[i%3]
				id := to.id(fmt.Sprint("crash-", i))
				group.Go(func() { _, _ = f.send(to, id, idempotent, standin.CrashMarker) })
			}
			group.Wait()
		})
		crashes := 0
		for _, b := range f.backend {
			crashes += b.Crashes()
		}
		t.Logf("idempotent %v: %d crashes, %d of 600 other requests served", idempotent, crashes, served)
		if crashes != 2 {
			t.Errorf("idempotent %v: %d crashes, want 2", idempotent, crashes)
		}
		if served < 570 {
			t.Errorf("idempotent %v: %d of 600 other requests served, want at least 570", idempotent, served)
		}
		for _, to := range f.hosts {
			got, err := f.send(to, to.id("last"), idempotent, standin.CrashMarker)
			if err != nil || got.Result != int(result.Quarantined) {
				t.Errorf("idempotent %v at %s: %+v, %v, want %v", idempotent, to.settings.Host.ID, got, err, result.Quarantined)
			}
		}
	}
}

// whileOthersRun runs do while other requests of the service are sent, and
// returns how many of them were served.
func (f *fleet) whileOthersRun(clients, each int, do func()) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	served := 0
	started := make(chan struct{}, clients*each)
	for client := range clients {
		group.Go(func() {
			for i := range each {
				started <- struct{}{}
				id := fmt.Sprintf("other-%d-%d", client, i)
				got, err := f.send(f.hosts[(client+i)%len(f.hosts)], id, true, id)
				mu.Lock()
				if err == nil && got.Class == "served" {
					served++
				}
				mu.Unlock()
			}
		})
	}
	for range clients * 10 {
		<-started
	}
	do()
	group.Wait()
	return served
}

// Guards against requests that hang on connections that stay open without any
// response: an idempotent request completes on another connection within its
// deadline, and a non-idempotent request is not sent on a connection without a
// recent response.
func TestUnresponsiveConnections(t *testing.T) {
	f := newFleet(t, 2, 2, standin.BackendConfig{Slots: 50, ServiceTime: 20 * time.Millisecond})
	if served := f.whileOthersRun(20, 20, func() {}); served != 400 {
		t.Fatalf("%d of 400 served before the fault", served)
	}
	for _, b := range f.backend {
		b.SetFaults(standin.BackendFaults{ReportedBusy: -1, Unresponsive: true})
	}
	got, err := f.send(f.hosts[0], "idempotent", true, "b")
	if err != nil || got.Class != "served" {
		t.Errorf("idempotent: %+v, %v, want served", got, err)
	}
	for i := range 10 {
		// No connection has a recent response after the 3 s without any above.
		id := f.hosts[0].id(fmt.Sprint("once-", i))
		if got, err := f.send(f.hosts[0], id, false, "b"); err != nil || got.Class != "served" || f.runs(id) != 1 {
			t.Errorf("non-idempotent: %+v, %v, %d runs, want served and one run", got, err, f.runs(id))
		}
	}
}

// Guards against a suspect that runs beside another request: a crash would also
// end the other request and make it a suspect, or convict it if it already is
// one. With only one server, one runs after the other.
func TestSuspectRunsExclusively(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 50, ServiceTime: 50 * time.Millisecond})
	h := f.hosts[0]
	hash := quarantine.HashOf("desk", "run", []byte("suspect"))
	bodies := []string{"suspect", "other"}
	for i, first := range bodies {
		h.dispatcher.guard.apply(&wirepb.SuspectNotice{ContentHash: hash[:]}, time.Now())
		done := make(chan standin.CallResult)
		id := "first-" + first
		go func() {
			got, _ := f.send(h, id, true, first)
			done <- got
		}()
		for f.runs(id) == 0 {
			time.Sleep(time.Millisecond)
		}
		second := bodies[1-i]
		if got, err := f.send(h, "second-"+second, true, second); err != nil || got.Class != "served" {
			t.Errorf("%s after %s: %+v, %v, want served", second, first, got, err)
		}
		if got := <-done; got.Class != "served" {
			t.Errorf("%s: %+v, want served", first, got)
		}
	}
	for _, run := range f.backend[0].Runs() {
		if run.Busy != 1 {
			t.Errorf("%s began while %d slots were in use", run.RequestID, run.Busy-1)
		}
	}
}

// Guards against a copy of a suspect that is admitted after the suspect has
// crashed its server and before it is convicted.
func TestCopyOfSuspectIsRefusedUntilConviction(t *testing.T) {
	f := newFleet(t, 1, 4, standin.BackendConfig{Slots: 50, ServiceTime: time.Millisecond})
	h := f.hosts[0]
	copied := make(chan standin.CallResult, 100)
	h.setOnStep(func(at requestStep, req Request) {
		if at == stepDispatched && req.ID == "second" {
			got, _ := f.send(h, "copy", true, standin.CrashMarker)
			copied <- got
		}
	})
	h.dispatcher.guard.apply(&wirepb.SuspectNotice{ContentHash: suspectHash()}, time.Now())
	_, _ = f.send(h, "second", true, standin.CrashMarker)
	if got := <-copied; got.Class != "not-run" || f.runs("copy") != 0 {
		t.Errorf("%+v after %d runs, want not run", got, f.runs("copy"))
	}
}

func suspectHash() []byte {
	hash := quarantine.HashOf("desk", "run", []byte(standin.CrashMarker))
	return hash[:]
}
