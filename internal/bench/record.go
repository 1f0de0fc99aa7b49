package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// maxLatency is the highest latency that the histograms record.
const maxLatency = 5 * time.Minute

// recorder collects the measurements of a run.
type recorder struct {
	sim       *simulation
	ranks     []*rankRecord
	wasted    time.Duration
	offered   int
	ended     int
	moved     int
	movedShed int
	links     map[[2]int]*linkRecord
}

// rankRecord holds the measurements of one rank.
type rankRecord struct {
	served, late, refused, unknown int
	servedBy                       map[int]int // per service
	codes                          map[result.Code]int
	latency                        *hdrhistogram.Histogram
}

// linkRecord counts the bytes per second of one direction of a link.
type linkRecord struct {
	second  int
	current int
	highest int
}

func newRecorder(sim *simulation) *recorder {
	rec := &recorder{sim: sim, links: make(map[[2]int]*linkRecord)}
	for range sim.deployment.Ranks {
		rec.ranks = append(rec.ranks, &rankRecord{
			codes:    make(map[result.Code]int),
			servedBy: make(map[int]int),
			latency:  hdrhistogram.New(1, int64(maxLatency/time.Microsecond), 3),
		})
	}
	return rec
}

// measuring reports whether the current time is within the measured time of
// the scenario.
func (rec *recorder) measuring() bool {
	at := rec.sim.clock.elapsed()
	return at >= rec.sim.scenario.Event && at < rec.sim.scenario.End
}

func (rec *recorder) countRequest() { rec.offered++ }

// countResult counts a result when it reaches the caller. A request that may
// have run is unknown if its connection was lost, and otherwise late unless it
// was served within its deadline.
func (rec *recorder) countResult(r *request, code result.Code) {
	rec.ended++
	if r.moved {
		rec.moved++
	}
	if !rec.measuring() {
		return
	}
	record := rec.ranks[r.work.Rank]
	latency := rec.sim.clock.now.Sub(r.sent)
	record.codes[code]++
	switch {
	case code.Class() == result.ClassNotRun:
		record.refused++
		return
	case code == result.ConnectionLost:
		record.unknown++
		return
	case code != result.Served || latency > rec.sim.deployment.Ranks[r.work.Rank].Deadline:
		record.late++
	default:
		record.served++
		record.servedBy[r.service]++
	}
	_ = record.latency.RecordValue(int64(latency / time.Microsecond))
}

// addWasted adds the slot time of a run that was cancelled.
func (rec *recorder) addWasted(d time.Duration) {
	if rec.measuring() {
		rec.wasted += d
	}
}

// countShed counts moved requests that a server shed.
func (rec *recorder) countShed(r *request) {
	if r.moved {
		rec.movedShed++
	}
}

// addLinkBytes counts the bytes of one message between regions.
func (rec *recorder) addLinkBytes(from, to, bytes int, now time.Time) {
	key := [2]int{from, to}
	l := rec.links[key]
	if l == nil {
		l = &linkRecord{}
		rec.links[key] = l
	}
	if second := int(now.Sub(epoch) / time.Second); second != l.second {
		l.second, l.current = second, 0
	}
	l.current += bytes
	l.highest = max(l.highest, l.current)
}

// slotUseMeter integrates the slot use of one dispatcher over the measured time.
// Its times are slot times; those with the suffix Waiting cover only periods in
// which requests wait.
type slotUseMeter struct {
	at                            time.Time
	busy, slots                   int
	waiting                       bool
	used, available               time.Duration
	usedWaiting, availableWaiting time.Duration
}

// set adds the time since the last call in the old state, and stores the new
// state.
func (u *slotUseMeter) set(now time.Time, s *Scenario, busy, slots int, waiting bool) {
	if !u.at.IsZero() {
		u.add(u.at.Sub(epoch), now.Sub(epoch), s)
	}
	u.at, u.busy, u.slots, u.waiting = now, busy, slots, waiting
}

func (u *slotUseMeter) add(from, to time.Duration, s *Scenario) {
	span := min(to, s.End) - max(from, s.Event)
	if span <= 0 {
		return
	}
	used, available := span*time.Duration(u.busy), span*time.Duration(max(u.slots, u.busy))
	u.used += used
	u.available += available
	if u.waiting {
		u.usedWaiting += used
		u.availableWaiting += available
	}
}
