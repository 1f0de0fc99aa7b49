// Package movecap limits the moved requests that a dispatcher admits: those of
// callers whose home region is a different one. The limit rises by at most a
// share of the dispatcher's slots per interval, so the sum over the dispatchers
// of a region stays under the cap without coordination.
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

// States, events and actions of the state chart in move.ini.
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

// coldFactor scales the rise of the limit while any server is cold.
const coldFactor = 0.5

// burstShare is the part of a step by which the limit may rise at once after a gap
// between evaluations.
const burstShare = 0.1

// Limiter limits the concurrent moved requests of one service.
type Limiter struct {
	machine *statechart.Machine
	// cap is the share of the slots, from 0 to 1, by which limit may rise per
	// interval.
	cap      float64
	interval time.Duration
	slots    int
	cold     bool

	limit    float64
	inFlight int
	// refusedAt is the time of the last refusal.
	refusedAt time.Time
	peak      recentPeak
	// evaluatedAt is the time of the last evaluation.
	evaluatedAt time.Time
}

// New returns a limiter whose limit is 0. share is the cap: the share of the slots
// by which the limit may rise per interval.
func New(now time.Time, share float64, interval time.Duration) *Limiter {
	return &Limiter{machine: chart.New(), cap: share, interval: interval, evaluatedAt: now}
}

// Configure changes the cap and the interval.
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
	if l.inFlight+1 > l.wholeLimit() {
		l.refusedAt = now
		return result.MoveCapReached
	}
	l.inFlight++
	l.peak.add(now, l.interval, l.inFlight)
	return result.Served
}

// Finish ends a moved request.
func (l *Limiter) Finish(now time.Time) {
	l.evaluate(now)
	l.inFlight = max(0, l.inFlight-1)
}

// InFlight returns the number of moved requests that are running.
func (l *Limiter) InFlight() int { return l.inFlight }

// Limit returns the number of moved requests that may run concurrently.
func (l *Limiter) Limit(now time.Time) int {
	l.evaluate(now)
	return l.wholeLimit()
}

// State returns the state of the state chart, for status pages.
func (l *Limiter) State() string { return l.machine.State() }

// wholeLimit returns the limit in whole requests. The limit itself keeps its
// fraction, so that it also rises on a host with few slots.
func (l *Limiter) wholeLimit() int {
	const epsilon = 1e-9 // absorbs the rounding errors of repeated small rises
	return int(math.Floor(l.limit + epsilon))
}

// step returns the maximum rise of the limit per interval, in requests.
func (l *Limiter) step() float64 {
	step := l.cap * float64(l.slots)
	if l.cold {
		step *= coldFactor
	}
	return step
}

// peakInFlight returns the highest number of requests in flight within the last one
// to two intervals.
func (l *Limiter) peakInFlight(now time.Time) int {
	return max(l.inFlight, l.peak.value(now, l.interval))
}

// rise returns the rise of the limit for the time since the last evaluation. A
// gap adds at most burstShare of a step, and the rate is lower by the same share,
// so that the limit rises by at most one step in any window of one interval.
func (l *Limiter) rise(elapsed time.Duration) float64 {
	maxGap := burstShare / (1 - burstShare)
	gap := min(float64(elapsed)/float64(l.interval), maxGap)
	return (1 - burstShare) * l.step() * gap
}

// evaluate fires the event for the time since the last evaluation and performs the
// actions of the chart.
func (l *Limiter) evaluate(now time.Time) {
	elapsed := now.Sub(l.evaluatedAt)
	if elapsed <= 0 {
		return
	}
	actions, _ := l.machine.Fire(l.event(now))
	for _, action := range actions {
		l.apply(action, now, elapsed)
	}
	l.evaluatedAt = now
}

func (l *Limiter) event(now time.Time) string {
	peak := l.peakInFlight(now)
	headroom := max(1, l.step())
	switch {
	case l.pressed(now) || (l.inFlight > 0 && l.limit < float64(peak)+headroom):
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
// then counts as time under demand.
func (l *Limiter) pressed(now time.Time) bool {
	return now.Sub(l.refusedAt) <= time.Duration(burstShare*float64(l.interval))
}

func (l *Limiter) apply(action string, now time.Time, elapsed time.Duration) {
	ceiling := float64(l.peakInFlight(now)) + max(1, l.step())
	switch action {
	case actionRise:
		l.limit = min(l.limit+l.rise(elapsed), ceiling, float64(l.slots))
	case actionLower:
		l.limit = min(l.limit, ceiling)
	case actionReset:
		l.limit = 0
	}
}
