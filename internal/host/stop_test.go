package host

import (
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

// Guards against callers that wait although another host serves them at once, and
// against callers that are sent from one stopping host to the next.
func TestRefusedCallersWaitOnlyIfManyHostsStop(t *testing.T) {
	h := newTestHost(nil)
	for _, id := range []string{"h-1", "h-2", "h-3", "h-4"} {
		h.handleHeartbeat(&wirepb.Heartbeat{Self: beat(id)})
	}
	leave := func(id string) {
		self := beat(id)
		self.Incarnation, self.State = 2, wirepb.BeatState_BEAT_STATE_LEAVING
		h.handleHeartbeat(&wirepb.Heartbeat{Self: self})
	}
	leave("h-1")
	if got := h.stoppingRetryAfter(); got != 0 {
		t.Errorf("callers wait %v while one of four other hosts stops", got)
	}
	leave("h-2")
	if got := h.stoppingRetryAfter(); got != lookupTTL {
		t.Errorf("callers wait %v while two of four other hosts stop, want until their lookup has expired", got)
	}
}
