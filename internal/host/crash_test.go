package host

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/pkg/quarantine"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

// Guards against requests that are refused for a minute because their host, or
// two servers that ran them, were cut off: only a process that has ended refuses
// connections.
func TestOnlyEndedServersAccuseRequests(t *testing.T) {
	refused := fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
	silent := errors.New("connect: i/o timeout")
	for _, c := range []struct {
		what   string
		causes []error
		want   quarantine.Status
	}{
		{"two servers that ended", []error{refused, refused}, quarantine.Convicted},
		{"one server that ended", []error{refused}, quarantine.Suspect},
		{"two silent servers", []error{silent, silent}, quarantine.Clear},
		{"one of each", []error{silent, refused}, quarantine.Suspect},
	} {
		t.Run(c.what, func(t *testing.T) {
			h := New(Base{Settings: &Settings{ID: "west-1", Region: "west"}, Metrics: metrics.New()})
			content := quarantine.HashOf("desk", "GET /p", nil)
			var listed []scheduler.Server
			for i := range c.causes {
				id := fmt.Sprint("i-", i)
				listed = append(listed, scheduler.Server{ID: id, Service: "desk", Region: "west", Slots: 1})
				h.backends[id] = &backend{pool: upstream.NewPool("127.0.0.1:1", h.answers)}
			}
			h.scheduler.SetServers(time.Now(), listed, 1)
			for i, cause := range c.causes {
				id := fmt.Sprint("i-", i)
				h.crashes.lost(id, content, time.Now())
				h.unreachable(id, cause)
			}
			if got := h.crashes.table.Status(content, time.Now()); got != c.want {
				t.Errorf("standing %d, want %d", got, c.want)
			}
			h.mu.Lock()
			clear(h.backends) // ends the probes
			h.mu.Unlock()
		})
	}
}
