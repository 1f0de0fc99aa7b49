// Package movecap limits the traffic that a dispatcher admits for callers
// whose home region is a different one. The limit rises by at most a share of
// the dispatcher's slots per interval, so the sum over the dispatchers of a
// region stays under the cap without coordination.
//
// A Limiter is not safe for concurrent use.
package movecap

import (
	_ "embed"
	"math"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/statechart"
)

// Names of the chart.
const (
	stateClosed   = "closed"
	stateOpening  = "opening"
	stateOpen     = "open"
	stateClosing  = "closing"
	eventPressed  = "pressed"
	eventSettled  = "settled"
	eventReceding = "receding"
	eventIdle     = "idle"
	actionRise    = "rise"
	actionLower   = "lower"
	actionReset   = "reset"
)

//go:embed move.ini
var chartText string

var chart = statechart.MustLoad("pkg/movecap/move.ini", chartText, statechart.Vocabulary{
	States:  []string{stateClosed, stateOpening, stateOpen, stateClosing},
	Events:  []string{eventPressed, eventSettled, eventReceding, eventIdle},
	Actions: []string{actionRise, actionLower, actionReset},
})

// coldFactor halves the rise while servers are cold.
const coldFactor = 0.5

// burstShare is the part of a step that may be taken at once after a gap.
const burstShare = 0.1

// Limiter limits the concurrent moved requests of one service.
type Limiter struct {
	machine  *statechart.Machine
	cap      float64
	interval time.Duration
	slots    int
	cold     bool

	limit float64
	use   int
	// refusedAt is the time of the last refusal.
	refusedAt time.Time
	peak      recentPeak
	at        time.Time
}

// New returns a limiter whose limit is 0. The cap is the share of the slots
// by which the limit may rise per interval.
func New(now time.Time, share float64, interval time.Duration) *Limiter {
	return &Limiter{machine: chart.New(), cap: share, interval: interval, at: now}
}

// Configure changes cap and interval.
func (l *Limiter) Configure(now time.Time, share float64, interval time.Duration) {
	l.evaluate(now)
	l.cap, l.interval = share, interval
}

// SetSlots sets the dispatcher's slots and whether any of its servers is cold.
func (l *Limiter) SetSlots(now time.Time, slots int, cold bool) {
	l.evaluate(now)
	l.slots, l.cold = slots, cold
	l.limit = min(l.limit, float64(slots))
}

// Start admits a moved request or refuses it with result.MoveCapReached.
func (l *Limiter) Start(now time.Time) result.Code {
	l.evaluate(now)
	if l.use+1 > l.whole() {
		l.refusedAt = now
		return result.MoveCapReached
	}
	l.use++
	l.peak.add(now, l.interval, l.use)
	return result.Served
}

// Finish ends a moved request.
func (l *Limiter) Finish(now time.Time) {
	l.evaluate(now)
	l.use = max(0, l.use-1)
}

// InFlight returns the number of moved requests that run now.
func (l *Limiter) InFlight() int { return l.use }

// Limit returns the number of moved requests that may run now.
func (l *Limiter) Limit(now time.Time) int {
	l.evaluate(now)
	return l.whole()
}

// State returns the state of the move, for status pages.
func (l *Limiter) State() string { return l.machine.State() }

// whole is the limit in whole requests. The fraction is kept, so that the
// limit of a host with few slots rises too.
func (l *Limiter) whole() int {
	const epsilon = 1e-9 // absorbs rounding of repeated small rises
	return int(math.Floor(l.limit + epsilon))
}

// step is the rise per interval.
func (l *Limiter) step() float64 {
	step := l.cap * float64(l.slots)
	if l.cold {
		step *= coldFactor
	}
	return step
}

// recentUse is the highest use of the last one to two intervals.
func (l *Limiter) recentUse(now time.Time) int {
	return max(l.use, l.peak.value(now, l.interval))
}

// rise is the rise for the time since the last evaluation. Long gaps count as
// burstShare of an interval, and the rate is lower by the same share, so that
// any window of one interval stays within one step.
func (l *Limiter) rise(elapsed time.Duration) float64 {
	longest := burstShare / (1 - burstShare)
	gap := min(float64(elapsed)/float64(l.interval), longest)
	return (1 - burstShare) * l.step() * gap
}

// evaluate carries out what the chart says about the time since the last
// evaluation.
func (l *Limiter) evaluate(now time.Time) {
	elapsed := now.Sub(l.at)
	if elapsed <= 0 {
		return
	}
	actions, _ := l.machine.Fire(l.event(now))
	for _, action := range actions {
		l.act(action, now, elapsed)
	}
	l.at = now
}

func (l *Limiter) event(now time.Time) string {
	peak := l.recentUse(now)
	headroom := max(1, l.step())
	switch {
	case l.pressed(now) || (l.use > 0 && l.limit < float64(peak)+headroom):
		return eventPressed
	case peak == 0 && now.Sub(l.refusedAt) >= l.interval:
		return eventIdle
	case l.limit > float64(peak)+headroom:
		return eventReceding
	default:
		return eventSettled
	}
}

// pressed reports whether a request was refused so recently that the time since
// then counts as demand.
func (l *Limiter) pressed(now time.Time) bool {
	return now.Sub(l.refusedAt) <= time.Duration(burstShare*float64(l.interval))
}

func (l *Limiter) act(action string, now time.Time, elapsed time.Duration) {
	ceiling := float64(l.recentUse(now)) + max(1, l.step())
	switch action {
	case actionRise:
		l.limit = min(l.limit+l.rise(elapsed), ceiling, float64(l.slots))
	case actionLower:
		l.limit = min(l.limit, ceiling)
	case actionReset:
		l.limit = 0
	}
}
