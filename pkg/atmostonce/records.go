package atmostonce

import (
	"container/list"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Action is what the owner does with an arrival.
type Action int

// Actions of the owner.
const (
	// Run starts the request; Finish or NotRun must follow.
	Run Action = iota + 1
	// Join waits for the run that is in progress.
	Join
	// Replay answers with the recorded outcome.
	Replay
	// Refuse answers with the code of the decision.
	Refuse
)

// Decision is the answer to Arrive. Outcome is set for Replay, Code for Refuse.
type Decision[T any] struct {
	Action  Action
	Code    result.Code
	Outcome Outcome[T]
}

// Outcome is a recorded result of a request that may have run.
type Outcome[T any] struct {
	// Stored says whether Answer was kept. Without it only the fact of the run is
	// known, and the result is outcome unknown.
	Stored   bool
	Response T
}

// Records is the owner's table of request IDs. T is the type of an answer.
type Records[T any] struct {
	limits      Limits
	records     map[string]*record[T]
	order       *list.List // *record, in order of expiry
	recordBytes int
	answerBytes int
	// forgotten is the latest issue time of an expired record. A token that is
	// not later may belong to a request that ran and was forgotten; this covers
	// a wall clock that is set back.
	forgotten time.Time
}

type record[T any] struct {
	id       string
	hash     BodyHash
	issuedAt time.Time
	expires  time.Time
	done     bool
	outcome  Outcome[T]
	bytes    int
	element  *list.Element
}

// NewRecords returns an empty table.
func NewRecords[T any](limits Limits) *Records[T] {
	return &Records[T]{limits: limits, records: make(map[string]*record[T]), order: list.New()}
}

// Arrive records the request ID before anything is sent and decides what
// happens to this arrival. issuedAt is the issue time of the owner token.
func (r *Records[T]) Arrive(id string, issuedAt time.Time, hash BodyHash, now time.Time) Decision[T] {
	r.expire(now)
	if known := r.records[id]; known != nil {
		return known.arriveAgain(hash)
	}
	if code := r.refuses(id, issuedAt, now); code != 0 {
		return Decision[T]{Action: Refuse, Code: code}
	}
	added := &record[T]{id: id, hash: hash, issuedAt: issuedAt, expires: now.Add(RecordLifetime)}
	added.element = r.order.PushBack(added)
	r.records[id] = added
	r.recordBytes += recordBytes(id)
	return Decision[T]{Action: Run}
}

func (r *record[T]) arriveAgain(hash BodyHash) Decision[T] {
	switch {
	case r.hash != hash:
		return Decision[T]{Action: Refuse, Code: result.RequestIDReused}
	case !r.done:
		return Decision[T]{Action: Join}
	default:
		return Decision[T]{Action: Replay, Outcome: r.outcome}
	}
}

// refuses returns the code that refuses a new ID, or 0.
func (r *Records[T]) refuses(id string, issuedAt, now time.Time) result.Code {
	switch {
	case !issuedAt.After(r.forgotten), now.Sub(issuedAt) > TokenWindow:
		return result.TokenExpired
	case issuedAt.Sub(now) > MaxClockSkew:
		// Its record could expire before its window ends. It cannot have run
		// earlier, when it was even further in the future.
		return result.OwnerRequired
	case r.recordBytes+recordBytes(id) > r.limits.RecordBytes:
		return result.RecordsFull
	default:
		return 0
	}
}

// NotRun removes the record of a request that certainly did not run, so that a
// resend may run.
func (r *Records[T]) NotRun(id string) {
	if known := r.records[id]; known != nil && !known.done {
		r.remove(known)
	}
}

// Finish records the outcome of a request that may have run. bytes is the size
// of the answer; one that does not fit becomes a record without an answer. A
// later outcome replaces an earlier one.
func (r *Records[T]) Finish(id string, answer T, bytes int) {
	known := r.records[id]
	if known == nil {
		return
	}
	r.answerBytes -= known.bytes
	known.bytes, known.outcome = 0, Outcome[T]{}
	known.done = true
	if bytes > r.limits.MaxResponseBytes || r.answerBytes+bytes > r.limits.TotalResponseBytes {
		return
	}
	r.answerBytes += bytes
	known.bytes = bytes
	known.outcome = Outcome[T]{Stored: true, Response: answer}
}

// Len returns the number of records.
func (r *Records[T]) Len() int { return len(r.records) }

// Bytes returns the accounted memory of the records and their answers.
func (r *Records[T]) Bytes() int { return r.recordBytes + r.answerBytes }

// expire removes records past their lifetime. A run in progress is kept.
func (r *Records[T]) expire(now time.Time) {
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		oldest := front.Value.(*record[T])
		if now.Before(oldest.expires) {
			return
		}
		if !oldest.done {
			oldest.expires = now.Add(RecordLifetime)
			r.order.MoveToBack(front)
			continue
		}
		if oldest.issuedAt.After(r.forgotten) {
			r.forgotten = oldest.issuedAt
		}
		r.remove(oldest)
	}
}

func (r *Records[T]) remove(old *record[T]) {
	r.order.Remove(old.element)
	delete(r.records, old.id)
	r.recordBytes -= recordBytes(old.id)
	r.answerBytes -= old.bytes
}

func recordBytes(id string) int { return recordOverheadBytes + len(id) }
