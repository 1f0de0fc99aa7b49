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

// Guards against requests that are convicted, and refused for a minute, because
// this host or two servers that ran them were partitioned. Only a refused
// connection shows that a process has ended.
func TestOnlyRefusedConnectionsMakeRequestsSuspect(t *testing.T) {
	refused := fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
	timeout := errors.New("connect: i/o timeout")
	for _, c := range []struct {
		name   string
		causes []error
		want   quarantine.Status
	}{
		{"two ended processes", []error{refused, refused}, quarantine.Convicted},
		{"one ended process", []error{refused}, quarantine.Suspect},
		{"two unresponsive servers", []error{timeout, timeout}, quarantine.Clear},
		{"one of each", []error{timeout, refused}, quarantine.Suspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := New(Base{Settings: &Settings{ID: "west-1", Region: "west"}, Metrics: metrics.New()})
			content := quarantine.HashOf("desk", "GET /p", nil)
			var listed []scheduler.Server
			for i := range c.causes {
				id := fmt.Sprint("i-", i)
				listed = append(listed, scheduler.Server{ID: id, Service: "desk", Region: "west", Slots: 1})
				h.backends[id] = &backend{pool: upstream.NewPool("127.0.0.1:1", h.responseMemory)}
			}
			h.scheduler.SetServers(time.Now(), listed, 1)
			for i, cause := range c.causes {
				id := fmt.Sprint("i-", i)
				h.crashes.recordLoss(id, content, time.Now())
				h.markUnreachable(id, cause)
			}
			if got := h.crashes.table.Status(content, time.Now()); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}
			h.mu.Lock()
			clear(h.backends) // stops the probes
			h.mu.Unlock()
		})
	}
}
