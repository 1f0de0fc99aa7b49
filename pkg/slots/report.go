package slots

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// reportLifetime is how long a load report may lower a limit. Reports lag and
// can stop, so an old one says nothing.
const reportLifetime = 2 * time.Second

// reportLag is how old the figure in a report may be.
const reportLag = 5 * time.Second

// report is what a server said about its own slots.
type report struct {
	at    time.Time
	valid bool
	// others is the number of slots in use beyond the dispatcher's own runs.
	others int
}

// Report records the busy slots that a server reports. Slots in use beyond
// the dispatcher's own highest count within the lag of reports lower its limit
// for a while; a report never raises a limit.
func (t *Table) Report(now time.Time, id model.ServerID, busy int) {
	if s := t.servers[id]; s != nil {
		s.report = report{at: now, valid: true, others: max(0, busy-s.peak.value(now, s.busy))}
	}
}

// limit never falls below one: a server with a wrong report would otherwise
// get no work and never prove the report wrong.
func (r *report) limit(now time.Time, slots int) int {
	if !r.valid || now.Sub(r.at) >= reportLifetime {
		return slots
	}
	return max(1, slots-r.others)
}

// peak is the highest own count within the lag of reports, in two halves.
type peak struct {
	start             time.Time
	current, previous int
}

func (p *peak) add(now time.Time, busy int) {
	elapsed := now.Sub(p.start)
	if elapsed >= reportLag {
		p.previous = 0
		if elapsed < 2*reportLag {
			p.previous = p.current
		}
		p.start, p.current = now, 0
	}
	p.current = max(p.current, busy)
}

// value is the highest count since at least reportLag ago. Long runs count
// with the runs that are still busy.
func (p *peak) value(now time.Time, busy int) int {
	if now.Sub(p.start) >= 2*reportLag {
		return busy
	}
	return max(p.current, p.previous, busy)
}
