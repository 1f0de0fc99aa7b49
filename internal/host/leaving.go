package host

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// What a server says of itself in its responses is newer than its entry in the
// store: that it is leaving, and that it wants no requests for a while.

// applyServerState applies what a response says of the server's state. sentAt is
// when the request was sent, the earliest time to which the response can refer.
func (h *Host) applyServerState(server string, sentAt time.Time, resp *upstream.Response, report Report) {
	if report.Leaving {
		h.markLeaving(server, sentAt)
	}
	if text := resp.Header.Get("Retry-After"); text != "" && report.NotRun && resp.Status == http.StatusServiceUnavailable {
		h.markQuiet(server, text)
	}
}

// markLeaving ends new requests to a server that says that it is leaving, until it
// has restarted.
func (h *Host) markLeaving(server string, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := model.ServerID(server)
	if _, leaving := h.leaving.Leaving(id, time.Now()); leaving || h.backends[server] == nil {
		return
	}
	h.leaving.Observe(id, drain.ResponseHeader, true, sentAt)
	h.scheduler.Close(server)
	h.Metrics.Add("servers_leaving", 1)
	h.Log.Emit(events.ServerDraining, events.Server(id), events.Reason(errSaysLeaving))
}

// errSaysLeaving is the reason that is logged for a server that says so itself.
var errSaysLeaving = errors.New("it says so in its responses")

// markQuiet sends a server no requests for the time that it has asked for. A text
// that is no time is ignored.
func (h *Host) markQuiet(server, text string) {
	asked, err := parseQuiet(text)
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.scheduler.SetQuiet(time.Now(), server, asked)
	if err == nil && kept < asked {
		err = fmt.Errorf("Retry-After %q is bounded", text)
	}
	h.Metrics.Add("servers_quiet", 1)
	h.Log.Emit(events.ServerQuiet, events.Server(model.ServerID(server)), events.Elapsed(kept), events.Reason(err))
}

// parseQuiet reads a number of seconds, which may have a fraction.
func parseQuiet(text string) (time.Duration, error) {
	const maxSeconds = 24 * 60 * 60
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) {
		return 0, fmt.Errorf("Retry-After %q is no number of seconds and is ignored", text)
	}
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second)), nil
}
