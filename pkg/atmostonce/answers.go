package atmostonce

import (
	"container/list"
	"time"
)

// Responses is the dispatcher's record of kept answers. It never evicts: when it
// is full, a new answer is not kept, and a resend whose owner is gone gets
// outcome unknown.
type Responses[T any] struct {
	limits      Limits
	kept        map[string]*keptAnswer[T]
	order       *list.List // *keptAnswer, in order of expiry
	recordBytes int
	answerBytes int
}

type keptAnswer[T any] struct {
	id      string
	expires time.Time
	outcome Outcome[T]
	bytes   int
}

// NewResponses returns an empty record.
func NewResponses[T any](limits Limits) *Responses[T] {
	return &Responses[T]{limits: limits, kept: make(map[string]*keptAnswer[T]), order: list.New()}
}

// Store records the answer of a request that ran. bytes is its size; an answer
// that does not fit becomes a record without an answer.
func (a *Responses[T]) Store(id string, answer T, bytes int, now time.Time) {
	a.expire(now)
	if a.kept[id] != nil || a.recordBytes+recordBytes(id) > a.limits.RecordBytes {
		return
	}
	entry := &keptAnswer[T]{id: id, expires: now.Add(RecordLifetime)}
	if bytes <= a.limits.MaxResponseBytes && a.answerBytes+bytes <= a.limits.TotalResponseBytes {
		entry.outcome = Outcome[T]{Stored: true, Response: answer}
		entry.bytes = bytes
	}
	a.kept[id] = entry
	a.order.PushBack(entry)
	a.recordBytes += recordBytes(id)
	a.answerBytes += entry.bytes
}

// Recall returns the record of a request that ran.
func (a *Responses[T]) Recall(id string, now time.Time) (Outcome[T], bool) {
	a.expire(now)
	entry := a.kept[id]
	if entry == nil {
		return Outcome[T]{}, false
	}
	return entry.outcome, true
}

// Bytes returns the accounted memory.
func (a *Responses[T]) Bytes() int { return a.recordBytes + a.answerBytes }

func (a *Responses[T]) expire(now time.Time) {
	for front := a.order.Front(); front != nil; front = a.order.Front() {
		oldest := front.Value.(*keptAnswer[T])
		if now.Before(oldest.expires) {
			return
		}
		a.order.Remove(front)
		delete(a.kept, oldest.id)
		a.recordBytes -= recordBytes(oldest.id)
		a.answerBytes -= oldest.bytes
	}
}
