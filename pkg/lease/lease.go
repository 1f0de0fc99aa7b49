// Package lease implements a lease with fencing, by which one of several
// candidates performs a task that tolerates pauses. The lease is stored in the
// object that the task writes, and every write is conditional on the object's
// version: acquiring the lease raises the version, so the writes of a holder that
// was paused beyond its lease are refused.
//
// Clocks of different hosts are not compared. A candidate acquires the lease of
// another when the version has not changed for the lease's duration on its own
// clock.
//
// The package does no I/O. A Lease is not safe for concurrent use.
package lease

import (
	_ "embed"
	"math/rand"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/statechart"
)

//go:embed lease.chart.ini
var chartText string

const (
	stateIdle      = "idle"
	stateReading   = "reading"
	stateWriting   = "writing"
	stateResolving = "resolving"
	stateHeld      = "held"

	eventDue       = "due"
	eventFree      = "free"
	eventMine      = "mine"
	eventTaken     = "taken"
	eventFailed    = "failed"
	eventWritten   = "written"
	eventRefused   = "refused"
	eventUncertain = "uncertain"
	eventExpired   = "expired"

	actionRead       = "read"
	actionWrite      = "write"
	actionRecordHeld = "record-held"
	actionObserve    = "observe"
	actionForget     = "forget"
	actionRetry      = "retry"
)

var chart = statechart.MustLoad("lease.chart.ini", chartText, statechart.Vocabulary{
	States:  []string{stateIdle, stateReading, stateWriting, stateResolving, stateHeld},
	Events:  []string{eventDue, eventFree, eventMine, eventTaken, eventFailed, eventWritten, eventRefused, eventUncertain, eventExpired},
	Actions: []string{actionRead, actionWrite, actionRecordHeld, actionObserve, actionForget, actionRetry},
})

// Record is the lease inside the stored object.
type Record struct {
	Holder string `json:"holder"`
	// WriteID identifies the write, so that a later read shows whether it took
	// effect.
	WriteID uint64 `json:"write_id"`
	// Payload is the data of the task.
	Payload []byte `json:"payload,omitempty"`
}

// Action is a call to the store: Read or Write.
type Action interface{ isAction() }

// Read reads the object. The outcome is passed to ReadDone or ReadFailed.
type Read struct{}

// Write writes the object if it has version IfVersion. Version 0 means that the
// object must not exist. The outcome is passed to WriteDone.
type Write struct {
	Record    Record
	IfVersion uint64
}

func (Read) isAction()  {}
func (Write) isAction() {}

// Outcome is the outcome of a write.
type Outcome int

// Outcomes of a write. Uncertain is a write whose response was lost; Failed is
// one that certainly had no effect.
const (
	Written Outcome = iota + 1
	Refused
	Uncertain
	Failed
)

// Lease is one candidate.
type Lease struct {
	holder   string
	duration time.Duration
	rng      *rand.Rand
	machine  *statechart.Machine

	// version is the last known version of the object; seenAt is when it was first
	// seen.
	version uint64
	seenAt  time.Time
	known   bool

	// renewedAt is the start time of the last successful write.
	renewedAt    time.Time
	nextAttempt  time.Time
	writeStarted time.Time
	pending      Record
	payload      []byte
}

// renewalsPerLease allows two failed renewals before the lease expires.
const renewalsPerLease = 3

// New returns a candidate. Holders must have distinct names.
func New(holder string, duration time.Duration, rng *rand.Rand) *Lease {
	return &Lease{holder: holder, duration: duration, rng: rng, machine: chart.New()}
}

// Held reports whether the candidate holds the lease. It is advisory: only the
// condition on the version keeps a paused holder from overwriting the object.
func (l *Lease) Held(now time.Time) bool {
	return l.machine.State() != stateIdle && !l.renewedAt.IsZero() && now.Before(l.renewedAt.Add(l.duration))
}

// Version returns the last known version of the object.
func (l *Lease) Version() uint64 { return l.version }

// SetPayload sets the payload of the next write. If the lease is held, the next
// Tick writes it.
func (l *Lease) SetPayload(now time.Time, payload []byte) {
	l.payload = payload
	if l.machine.State() == stateHeld {
		l.nextAttempt = now
	}
}

// Tick acquires or renews the lease if an attempt is scheduled.
func (l *Lease) Tick(now time.Time) []Action {
	state := l.machine.State()
	if state == stateHeld && !l.Held(now) {
		return l.fire(now, eventExpired)
	}
	if (state != stateIdle && state != stateHeld && state != stateResolving) || now.Before(l.nextAttempt) {
		return nil
	}
	if state == stateResolving {
		l.nextAttempt = now.Add(l.interval())
		return []Action{Read{}}
	}
	return l.fire(now, eventDue)
}

// ReadDone processes a read that returned the object's version and lease. A
// missing object has version 0.
func (l *Lease) ReadDone(now time.Time, version uint64, current Record) []Action {
	if !l.known || version != l.version {
		l.version, l.seenAt, l.known = version, now, true
	}
	ownWrite := l.pending.WriteID != 0 && current.WriteID == l.pending.WriteID && current.Holder == l.holder
	switch {
	case ownWrite:
		return l.fire(now, eventMine)
	case version == 0 || current.Holder == l.holder || now.Sub(l.seenAt) >= l.duration:
		return l.fire(now, eventFree)
	default:
		return l.fire(now, eventTaken)
	}
}

// ReadFailed processes a read without a result.
func (l *Lease) ReadFailed(now time.Time) []Action { return l.fire(now, eventFailed) }

// WriteDone processes the outcome of a write and, if it is Written, the object's
// new version.
func (l *Lease) WriteDone(now time.Time, outcome Outcome, version uint64) []Action {
	switch outcome {
	case Written:
		l.version, l.seenAt = version, now
		return l.fire(now, eventWritten)
	case Refused:
		return l.fire(now, eventRefused)
	case Uncertain:
		return l.fire(now, eventUncertain)
	default:
		return l.fire(now, eventFailed)
	}
}

// fire makes a transition of the state machine and performs its actions.
func (l *Lease) fire(now time.Time, event string) []Action {
	names, ok := l.machine.Fire(event)
	if !ok {
		return nil
	}
	l.nextAttempt = now.Add(l.interval())
	var actions []Action
	for _, name := range names {
		switch name {
		case actionRead:
			actions = append(actions, Read{})
		case actionWrite:
			actions = append(actions, l.write(now))
		case actionRecordHeld:
			l.renewedAt = l.writeStarted
		case actionForget:
			l.renewedAt = time.Time{}
			l.pending = Record{}
		case actionObserve:
			l.renewedAt = time.Time{}
		case actionRetry:
		}
	}
	return actions
}

// write starts a write. The lease's duration counts from here, which is before
// the store accepts the write.
func (l *Lease) write(now time.Time) Action {
	l.writeStarted = now
	l.pending = Record{Holder: l.holder, WriteID: l.rng.Uint64(), Payload: l.payload}
	return Write{Record: l.pending, IfVersion: l.version}
}

// interval returns the time to the next attempt, with jitter so that candidates
// do not try at the same time.
func (l *Lease) interval() time.Duration {
	base := l.duration / renewalsPerLease
	return base*3/4 + time.Duration(l.rng.Int63n(int64(base/4)+1))
}
