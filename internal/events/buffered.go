package events

import (
	"io"
	"sync/atomic"
)

// Buffered is a writer that never blocks. One goroutine writes the lines from a
// buffer of fixed size; while the buffer is full, further lines are dropped and
// counted. It is safe for concurrent use.
type Buffered struct {
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewBuffered returns a writer to w whose buffer has a capacity of that many lines.
func NewBuffered(w io.Writer, lines int) *Buffered {
	b := &Buffered{lines: make(chan []byte, lines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

// run writes lines until the writer is closed, then the remaining ones.
func (b *Buffered) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			// A write error of the log itself cannot be logged.
			_, _ = w.Write(line)
			continue
		default:
		}
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		case <-b.closing:
			return
		}
	}
}

// Write implements io.Writer; p is one line.
func (b *Buffered) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// congested reports whether at least half of the buffer is in use.
func (b *Buffered) congested() bool { return 2*len(b.lines) >= cap(b.lines) }

// Dropped returns the number of lines dropped since the last call.
func (b *Buffered) Dropped() int { return int(b.dropped.Swap(0)) }

// Close waits until the buffered lines are written or stop is closed. Lines that
// are written later stay in the buffer, and are dropped once it is full. Close must
// be called only once.
func (b *Buffered) Close(stop <-chan struct{}) {
	close(b.closing)
	select {
	case <-b.done:
	case <-stop:
	}
}
