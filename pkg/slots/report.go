package slots

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// reportLifetime is how long a load report may lower a limit. Reports lag and
// can stop, so an older one says nothing about the current load.
const reportLifetime = 2 * time.Second

// maxReportLag is the maximum age of the count in a report.
const maxReportLag = 5 * time.Second

// report is the latest load report of a server.
type report struct {
	at    time.Time
	valid bool
	// otherRuns is the number of slots in use beyond the dispatcher's own runs.
	otherRuns int
}

// Report records the number of busy slots that a server reports. Slots in use
// beyond the dispatcher's own highest count within maxReportLag lower the limit
// of the server for reportLifetime; a report never raises a limit.
func (t *Table) Report(now time.Time, id model.ServerID, busy int) {
	if s := t.servers[id]; s != nil {
		s.report = report{at: now, valid: true, otherRuns: max(0, busy-s.peak.value(now, s.busy))}
	}
}

// limit returns the number of runs that the report allows. It is never below
// one: otherwise a server with a wrong report would get no work that could
// prove the report wrong.
func (r *report) limit(now time.Time, slots int) int {
	if !r.valid || now.Sub(r.at) >= reportLifetime {
		return slots
	}
	return max(1, slots-r.otherRuns)
}

// peak is the dispatcher's highest count of runs within maxReportLag, kept as
// the maxima of the current and the previous period of that length.
type peak struct {
	start                   time.Time
	currentMax, previousMax int
}

func (p *peak) add(now time.Time, busy int) {
	elapsed := now.Sub(p.start)
	if elapsed >= maxReportLag {
		p.previousMax = 0
		if elapsed < 2*maxReportLag {
			p.previousMax = p.currentMax
		}
		p.start, p.currentMax = now, 0
	}
	p.currentMax = max(p.currentMax, busy)
}

// value returns the highest count within at least the last maxReportLag. Runs
// that are longer than that are included through busy.
func (p *peak) value(now time.Time, busy int) int {
	if now.Sub(p.start) >= 2*maxReportLag {
		return busy
	}
	return max(p.currentMax, p.previousMax, busy)
}
