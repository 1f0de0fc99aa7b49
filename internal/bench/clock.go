// Package bench drives the decision packages with small stand-ins of backend
// servers on a fake clock, and measures service per rank in steady load,
// floods, a region loss, cold caches and a drain.
//
// Between hosts it knows a fixed delay and a byte budget, nothing more. A run
// is single-threaded and depends only on its seed.
package bench

import (
	"container/heap"
	"time"
)

// epoch is the time at which every run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at       time.Time
	sequence uint64
	act      func()
}

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

// clock is the fake clock with its event queue.
type clock struct {
	now      time.Time
	sequence uint64
	events   eventHeap
}

func newClock() *clock { return &clock{now: epoch} }

// after schedules act. Events of the same time run in order of scheduling.
func (c *clock) after(delay time.Duration, act func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(delay), sequence: c.sequence, act: act})
}

// every repeats act until the given time.
func (c *clock) every(period time.Duration, until time.Time, act func()) {
	var tick func()
	tick = func() {
		act()
		if c.now.Before(until) {
			c.after(period, tick)
		}
	}
	c.after(period, tick)
}

// run executes events until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.act()
	}
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }
