package entry

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// readyWithoutCache makes the host ready without cached lookup responses, so that
// it refuses requests as soon as it stops.
func (h *testHost) readyWithoutCache() {
	h.lifecycle.mu.Lock()
	defer h.lifecycle.mu.Unlock()
	h.lifecycle.host = drain.NewHost(0)
	h.lifecycle.host.Configured(0, time.Now())
}

// beginStop stops the host. Its daemon ends when the lifecycle does.
func (h *testHost) beginStop() {
	h.lifecycle.stop()
	h.lifecycle.tick()
	go func() {
		<-h.lifecycle.exited
		h.stop()
	}()
}

// Guards against a stop that closes the session to another host before the reply
// to an accepted request is sent.
func TestStopSendsReplyToOtherHost(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1})
	h := f.hosts[0]
	h.readyWithoutCache()
	stored := make(chan struct{})
	h.setOnStep(func(at requestStep, _ Request) {
		if at == stepStored {
			h.beginStop()
			close(stored)
		}
	})
	client := wire.NewClient(wire.Identity{Environment: "test", Host: "owner"}, wire.DefaultMaxFrameBytes)
	defer client.Close()
	req := Request{
		ID: "forwarded", Service: "desk", Path: "run", Rank: "check", HomeRegion: "r", FromRegion: "r",
		Deadline: time.Now().Add(20 * time.Second), Body: make([]byte, 1<<20),
	}
	stream, err := client.Open(t.Context(), h.peers, &wirepb.Envelope{Body: &wirepb.Envelope_ForwardRequest{
		ForwardRequest: requestToWire(req, wirepb.Stage_STAGE_DISPATCH, time.Now()),
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	<-stored
	select {
	case <-h.lifecycle.exited:
		t.Error("the stop ended before the reply was read")
	case <-time.After(50 * time.Millisecond):
	}
	reply, err := stream.Receive()
	if err != nil {
		t.Fatalf("no reply to a request that ran %d times: %v", f.runs("forwarded"), err)
	}
	if got := responseFromWire(req, reply.GetForwardReply()); got.Code != result.Served {
		t.Errorf("result %v, want %v", got.Code, result.Served)
	}
	<-h.lifecycle.exited
}
