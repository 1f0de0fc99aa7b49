// Package bench runs the decision packages against simulated backend servers
// on a fake clock. It measures the service that each rank gets under steady
// load, floods, a region loss, cold caches and a drain.
//
// The network between hosts is modelled as a fixed delay and a byte budget per
// link. A run is single-threaded and depends only on its seed.
package bench

import (
	"container/heap"
	"time"
)

// epoch is the time at which every run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// event is a scheduled function call.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap orders events by time, then by order of scheduling.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// clock is a fake clock with an event queue.
type clock struct {
	now      time.Time
	sequence uint64
	events   eventHeap
}

func newClock() *clock { return &clock{now: epoch} }

// after schedules a call after a delay. Events at the same time run in the
// order in which they were scheduled.
func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(delay), sequence: c.sequence, run: run})
}

// every schedules a call once per period, at least once, until the given time.
func (c *clock) every(period time.Duration, until time.Time, run func()) {
	var tick func()
	tick = func() {
		run()
		if c.now.Before(until) {
			c.after(period, tick)
		}
	}
	c.after(period, tick)
}

// run advances the clock from event to event until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

// elapsed returns the time since the start of the run.
func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }
