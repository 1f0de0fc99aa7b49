// Package lease gives one of several candidates a duty that may pause. The
// lease is kept inside the object that the duty writes, and every write is
// conditional on the object's version: taking the lease over raises the
// version, so a holder that was paused past its lease is refused.
//
// Clocks of different hosts are not compared. A candidate takes over when it
// has seen the same version for the lease's duration on its own clock.
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
	// WriteID identifies the write, so that its effect can be recognized.
	WriteID uint64 `json:"write_id"`
	// Payload is what the duty writes.
	Payload []byte `json:"payload,omitempty"`
}

// Action is a call to the store: Read or Write.
type Action interface{ isAction() }

// Read asks for the object. The outcome is given to ReadDone or ReadFailed.
type Read struct{}

// Write asks for a write that is conditional on the version. Version 0 means
// that the object must not exist.
type Write struct {
	Record    Record
	IfVersion uint64
}

func (Read) isAction()  {}
func (Write) isAction() {}

// Outcome is the outcome of a write.
type Outcome int

// Outcomes. Uncertain is a write whose answer was lost; Failed one that
// certainly had no effect.
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

	// version is that of the object as last seen, seenAt when it changed.
	version uint64
	seenAt  time.Time
	seen    bool

	// renewal is the time of the last successful write's start.
	renewal time.Time
	next    time.Time
	started time.Time
	pending Record
	payload []byte
}

// renewalsPerLease leaves two failed renewals before the lease ends.
const renewalsPerLease = 3

// New returns a candidate. Holders must have distinct names.
func New(holder string, duration time.Duration, rng *rand.Rand) *Lease {
	return &Lease{holder: holder, duration: duration, rng: rng, machine: chart.New()}
}

// Held reports whether the duty may go on. It is advice only: the condition
// on the version is what keeps a paused holder from doing harm.
func (l *Lease) Held(now time.Time) bool {
	return l.machine.State() != stateIdle && !l.renewal.IsZero() && now.Before(l.renewal.Add(l.duration))
}

// Version is that of the object as last seen.
func (l *Lease) Version() uint64 { return l.version }

// SetPayload sets what the next write carries. A held lease writes it with
// the next Tick.
func (l *Lease) SetPayload(now time.Time, payload []byte) {
	l.payload = payload
	if l.machine.State() == stateHeld {
		l.next = now
	}
}

// Tick acquires and renews the lease.
func (l *Lease) Tick(now time.Time) []Action {
	state := l.machine.State()
	if state == stateHeld && !l.Held(now) {
		return l.fire(now, eventExpired)
	}
	if (state != stateIdle && state != stateHeld && state != stateResolving) || now.Before(l.next) {
		return nil
	}
	if state == stateResolving {
		l.next = now.Add(l.interval())
		return []Action{Read{}}
	}
	return l.fire(now, eventDue)
}

// ReadDone takes the object's version and lease. A missing object has
// version 0.
func (l *Lease) ReadDone(now time.Time, version uint64, held Record) []Action {
	if !l.seen || version != l.version {
		l.version, l.seenAt, l.seen = version, now, true
	}
	ownWrite := l.pending.WriteID != 0 && held.WriteID == l.pending.WriteID && held.Holder == l.holder
	switch {
	case ownWrite:
		return l.fire(now, eventMine)
	case version == 0 || held.Holder == l.holder || now.Sub(l.seenAt) >= l.duration:
		return l.fire(now, eventFree)
	default:
		return l.fire(now, eventTaken)
	}
}

// ReadFailed takes a read without a result.
func (l *Lease) ReadFailed(now time.Time) []Action { return l.fire(now, eventFailed) }

// WriteDone takes the outcome of a write and, if it was written, the new
// version.
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

// fire takes a transition and carries out its actions.
func (l *Lease) fire(now time.Time, event string) []Action {
	names, ok := l.machine.Fire(event)
	if !ok {
		return nil
	}
	l.next = now.Add(l.interval())
	var actions []Action
	for _, name := range names {
		switch name {
		case actionRead:
			actions = append(actions, Read{})
		case actionWrite:
			actions = append(actions, l.write(now))
		case actionRecordHeld:
			l.renewal = l.started
		case actionForget:
			l.renewal = time.Time{}
			l.pending = Record{}
		case actionObserve:
			l.renewal = time.Time{}
		case actionRetry:
		}
	}
	return actions
}

// write starts a write. The lease counts from here, which is before the store
// accepts it.
func (l *Lease) write(now time.Time) Action {
	l.started = now
	l.pending = Record{Holder: l.holder, WriteID: l.rng.Uint64(), Payload: l.payload}
	return Write{Record: l.pending, IfVersion: l.version}
}

// interval is the time to the next attempt, jittered so that candidates do
// not meet.
func (l *Lease) interval() time.Duration {
	base := l.duration / renewalsPerLease
	return base*3/4 + time.Duration(l.rng.Int63n(int64(base/4)+1))
}
