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

func writeTrace(log *events.Log, id string, grants int, served bool) {
	tr := newTrace("west-1", id, time.Now())
	for i := range grants {
		tr.add(events.RequestGranted, func() []events.Field {
			return []events.Field{events.Server(model.ServerID(fmt.Sprint("i-", i)))}
		})
	}
	tr.end(log, served, func() []events.Field { return nil })
}

// Guards against requests that are logged in part, failures whose decisions are
// not logged, and lines for every ordinary request.
func TestTracesAreCompleteOrAbsent(t *testing.T) {
	const requests = 20 * sampleEvery
	for _, c := range []struct {
		name      string
		level     logrus.Level
		grants    int
		served    bool
		low, high int
	}{
		{"ordinary", logrus.InfoLevel, 1, true, requests / sampleEvery / 3, requests / sampleEvery * 3},
		{"ordinary at debug level", logrus.DebugLevel, 1, true, requests, requests},
		{"failed", logrus.InfoLevel, 1, false, requests, requests},
		{"refused", logrus.InfoLevel, 0, false, requests, requests},
		{"resent", logrus.InfoLevel, 2, true, requests, requests},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			log := events.New(&out, c.level, time.Now)
			for i := range requests {
				writeTrace(log, fmt.Sprint("request-", i), c.grants, c.served)
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

// blockedWriter blocks each write until it is released.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against sampled lines of ordinary requests that fill the buffer of a
// blocked output, so that lines of failures are dropped.
func TestSampledTracesDoNotDisplaceFailures(t *testing.T) {
	const bufferLines = 100
	output := blockedWriter{release: make(chan struct{})}
	buffered := events.NewBuffered(output, bufferLines)
	log := events.New(buffered, logrus.InfoLevel, time.Now)
	for i := range 100 * sampleEvery {
		writeTrace(log, fmt.Sprint("request-", i), 1, true)
	}
	for i := range bufferLines / 3 {
		writeTrace(log, fmt.Sprint("failed-", i), 0, false)
	}
	if n := buffered.Dropped(); n > 0 {
		t.Errorf("%d lines were dropped", n)
	}
	close(output.release)
}

// BenchmarkTrace measures the cost of the log lines of one request, for ordinary
// requests, of which one in 100 is logged, and for requests that are all logged.
func BenchmarkTrace(b *testing.B) {
	for _, c := range []struct {
		name   string
		served bool
	}{{"ordinary", true}, {"written", false}} {
		b.Run(c.name, func(b *testing.B) {
			log := events.New(io.Discard, logrus.InfoLevel, time.Now)
			for i := range b.N {
				writeTrace(log, strconv.Itoa(i), 1, c.served)
			}
		})
	}
}
