package host

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

func tell(log *events.Log, id string, grants int, served bool) {
	tr := newTrace("west-1", id, time.Now())
	for i := range grants {
		tr.add(events.RequestGranted, func() []events.Field {
			return []events.Field{events.Server(model.ServerID(fmt.Sprint("i-", i)))}
		})
	}
	tr.end(log, served, func() []events.Field { return nil })
}

// Guards against requests of which only a part is logged, failures without
// their decisions, and a line for every ordinary request.
func TestTracesAreWholeOrAbsent(t *testing.T) {
	const requests = 20 * sampleEvery
	for _, c := range []struct {
		what      string
		level     logrus.Level
		grants    int
		served    bool
		low, high int
	}{
		{"ordinary", logrus.InfoLevel, 1, true, requests / sampleEvery / 3, requests / sampleEvery * 3},
		{"ordinary with details", logrus.DebugLevel, 1, true, requests, requests},
		{"failed", logrus.InfoLevel, 1, false, requests, requests},
		{"refused", logrus.InfoLevel, 0, false, requests, requests},
		{"sent again", logrus.InfoLevel, 2, true, requests, requests},
	} {
		t.Run(c.what, func(t *testing.T) {
			var out bytes.Buffer
			log := events.New(&out, c.level, time.Now)
			for i := range requests {
				tell(log, fmt.Sprint("request-", i), c.grants, c.served)
			}
			lines := strings.Count(out.String(), "\n")
			traces := strings.Count(out.String(), "request-ended") + strings.Count(out.String(), "request-served")
			if traces < c.low || traces > c.high {
				t.Errorf("%d of %d traces, want %d to %d", traces, requests, c.low, c.high)
			}
			if lines != traces*(c.grants+1) {
				t.Errorf("%d lines of %d traces", lines, traces)
			}
			if !strings.Contains(out.String(), "host=west-1") {
				t.Error("lines do not name the host")
			}
		})
	}
}

// blocked is an output that nobody reads.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against sampled lines of ordinary requests that fill a log whose
// output is not read, so that lines of failures are lost.
func TestFailuresAreLoggedBeforeOrdinaryRequests(t *testing.T) {
	const room = 100
	output := blocked{release: make(chan struct{})}
	buffered := events.NewBuffered(output, room)
	log := events.New(buffered, logrus.InfoLevel, time.Now)
	for i := range 100 * sampleEvery {
		tell(log, fmt.Sprint("request-", i), 1, true)
	}
	for i := range room / 3 {
		tell(log, fmt.Sprint("failed-", i), 0, false)
	}
	if n := buffered.Dropped(); n > 0 {
		t.Errorf("%d lines were dropped", n)
	}
	close(output.release)
}

// BenchmarkTrace measures what the log lines of one request cost: ordinary
// requests, of which one in a hundred is written, and requests that are written.
func BenchmarkTrace(b *testing.B) {
	for _, c := range []struct {
		what   string
		served bool
	}{{"ordinary", true}, {"written", false}} {
		b.Run(c.what, func(b *testing.B) {
			log := events.New(io.Discard, logrus.InfoLevel, time.Now)
			for i := range b.N {
				tell(log, strconv.Itoa(i), 1, c.served)
			}
		})
	}
}
