package atmostonce

import (
	"container/list"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Action is what the owner does when a request arrives.
type Action int

// Actions of the owner.
const (
	// Run starts the request; Finish or NotRun must follow.
	Run Action = iota + 1
	// Join waits for the run that is in progress.
	Join
	// Replay responds with the recorded outcome.
	Replay
	// Refuse responds with the code of the decision.
	Refuse
)

// Decision is the result of Arrive. Outcome is set for Replay, Code for Refuse.
type Decision[T any] struct {
	Action  Action
	Code    result.Code
	Outcome Outcome[T]
}

// Outcome is the recorded result of a request that may have run.
type Outcome[T any] struct {
	// Stored reports whether Response is set. Otherwise only the fact that the
	// request may have run is known, and the result is outcome unknown.
	Stored   bool
	Response T
}

// Records is the owner's table of request IDs. T is the type of a response.
type Records[T any] struct {
	limits        Limits
	records       map[string]*record[T]
	order         *list.List // *record, in order of expiry
	recordBytes   int
	responseBytes int
	// newestExpired is the latest issue time among the expired records. A token
	// that is not newer may belong to a request that ran and whose record
	// expired; this check also holds after the wall clock was set back.
	newestExpired time.Time
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

// Arrive records a new request ID and decides how to handle the request; call
// it before the request is dispatched. issuedAt is the issue time of the owner
// token.
func (r *Records[T]) Arrive(id string, issuedAt time.Time, hash BodyHash, now time.Time) Decision[T] {
	r.expire(now)
	if known := r.records[id]; known != nil {
		return known.arriveAgain(hash)
	}
	if code := r.refusal(id, issuedAt, now); code != 0 {
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

// refusal returns the code with which a new ID is refused, or 0.
func (r *Records[T]) refusal(id string, issuedAt, now time.Time) result.Code {
	switch {
	case !issuedAt.After(r.newestExpired), now.Sub(issuedAt) > TokenWindow:
		return result.TokenExpired
	case issuedAt.Sub(now) > MaxClockSkew:
		// The record could expire before the token's window ends. The request
		// cannot have run earlier, when its issue time was even further in
		// the future.
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
// of the response; if it does not fit, the outcome is recorded without it. A
// later outcome replaces an earlier one.
func (r *Records[T]) Finish(id string, response T, bytes int) {
	known := r.records[id]
	if known == nil {
		return
	}
	r.responseBytes -= known.bytes
	known.bytes, known.outcome = 0, Outcome[T]{}
	known.done = true
	if bytes > r.limits.MaxResponseBytes || r.responseBytes+bytes > r.limits.TotalResponseBytes {
		return
	}
	r.responseBytes += bytes
	known.bytes = bytes
	known.outcome = Outcome[T]{Stored: true, Response: response}
}

// Len returns the number of records.
func (r *Records[T]) Len() int { return len(r.records) }

// Bytes returns the accounted memory in bytes of the records and their
// responses.
func (r *Records[T]) Bytes() int { return r.recordBytes + r.responseBytes }

// expire removes records past their lifetime, except those of requests that
// still run, whose lifetime it extends.
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
		if oldest.issuedAt.After(r.newestExpired) {
			r.newestExpired = oldest.issuedAt
		}
		r.remove(oldest)
	}
}

func (r *Records[T]) remove(old *record[T]) {
	r.order.Remove(old.element)
	delete(r.records, old.id)
	r.recordBytes -= recordBytes(old.id)
	r.responseBytes -= old.bytes
}

func recordBytes(id string) int { return recordOverheadBytes + len(id) }
