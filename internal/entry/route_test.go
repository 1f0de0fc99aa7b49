package entry

import (
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

// Guards against a refusal by a host that has started but has no ready host in
// its view yet: lookup responses of other hosts may already name it.
func TestRequestWaitsForTheFirstDispatcher(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 4})
	h := f.hosts[0]
	h.agent <- &wirepb.LocalState{Generation: 1, Document: f.document()}
	<-h.applied
	waits := make(chan struct{}, 100)
	h.setOnStep(func(at requestStep, _ Request) {
		if at == stepWait {
			waits <- struct{}{}
		}
	})
	done := make(chan standin.CallResult)
	go func() {
		got, _ := f.send(h, "early", true, "b")
		done <- got
	}()
	select {
	case <-waits:
	case got := <-done:
		t.Fatalf("got a response before there was a dispatcher: %+v", got)
	}
	f.publish()
	if got := <-done; got.Class != "served" {
		t.Errorf("%+v, want served", got)
	}
}
