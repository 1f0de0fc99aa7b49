package atmostonce

import (
	"container/list"
	"time"
)

// Responses is the dispatcher's table of stored responses. It never evicts an
// entry before its expiry: while it is full, a new response is not stored, and
// a resend whose owner is gone gets the result outcome unknown.
type Responses[T any] struct {
	limits        Limits
	byID          map[string]*storedResponse[T]
	order         *list.List // *storedResponse, in order of expiry
	recordBytes   int
	responseBytes int
}

type storedResponse[T any] struct {
	id      string
	expires time.Time
	outcome Outcome[T]
	bytes   int
}

// NewResponses returns an empty table.
func NewResponses[T any](limits Limits) *Responses[T] {
	return &Responses[T]{limits: limits, byID: make(map[string]*storedResponse[T]), order: list.New()}
}

// Store records the response of a request that ran. bytes is its size; if it
// does not fit, the record is added without the response.
func (r *Responses[T]) Store(id string, response T, bytes int, now time.Time) {
	r.expire(now)
	if r.byID[id] != nil || r.recordBytes+recordBytes(id) > r.limits.RecordBytes {
		return
	}
	entry := &storedResponse[T]{id: id, expires: now.Add(RecordLifetime)}
	if bytes <= r.limits.MaxResponseBytes && r.responseBytes+bytes <= r.limits.TotalResponseBytes {
		entry.outcome = Outcome[T]{Stored: true, Response: response}
		entry.bytes = bytes
	}
	r.byID[id] = entry
	r.order.PushBack(entry)
	r.recordBytes += recordBytes(id)
	r.responseBytes += entry.bytes
}

// Recall returns the recorded outcome of a request, or false if the table
// has none.
func (r *Responses[T]) Recall(id string, now time.Time) (Outcome[T], bool) {
	r.expire(now)
	entry := r.byID[id]
	if entry == nil {
		return Outcome[T]{}, false
	}
	return entry.outcome, true
}

// Bytes returns the accounted memory in bytes.
func (r *Responses[T]) Bytes() int { return r.recordBytes + r.responseBytes }

func (r *Responses[T]) expire(now time.Time) {
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		oldest := front.Value.(*storedResponse[T])
		if now.Before(oldest.expires) {
			return
		}
		r.order.Remove(front)
		delete(r.byID, oldest.id)
		r.recordBytes -= recordBytes(oldest.id)
		r.responseBytes -= oldest.bytes
	}
}
