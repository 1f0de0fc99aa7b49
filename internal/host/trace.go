package host

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// sampleEvery is the number of ordinary requests of which one is logged: 1% of
// 100 requests per second is one trace per second, which costs no measurable
// time.
const sampleEvery = 100

// trace holds the log lines of one request until its end. Then either all or
// none of them are written: all for requests that failed or were resent, and
// for a sample of the others that is the same on every host. It is not safe for
// concurrent use.
type trace struct {
	host, request string
	received      time.Time
	steps         []step
}

// step is one log line. Its fields are computed only if it is written.
type step struct {
	id      events.ID
	elapsed time.Duration
	fields  func() []events.Field
}

func newTrace(host, request string, received time.Time) trace {
	return trace{host: host, request: request, received: received}
}

func (t *trace) add(id events.ID, fields func() []events.Field) {
	t.steps = append(t.steps, step{id: id, elapsed: time.Since(t.received), fields: fields})
}

// end adds the last line and writes the trace unless it is ordinary and not
// sampled.
func (t *trace) end(log *events.Log, served bool, fields func() []events.Field) {
	id := events.RequestEnded
	if served {
		id = events.RequestServed
	}
	const ordinarySteps = 1 // the grant of one server, which responded
	ordinary := served && len(t.steps) <= ordinarySteps
	if ordinary && !log.DebugEnabled() && (!t.isSampled() || log.Congested()) {
		return
	}
	t.add(id, fields)
	for _, s := range t.steps {
		line := []events.Field{events.Host(model.HostID(t.host)), events.Request(t.request), events.Elapsed(s.elapsed)}
		log.Emit(s.id, append(line, s.fields()...)...)
	}
}

func (t *trace) isSampled() bool { return xxhash.Sum64String(t.request)%sampleEvery == 0 }
