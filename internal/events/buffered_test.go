package events

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// Guards against a blocked output that blocks the requests which log to it, and
// against dropped lines that are not counted.
func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	const capacity, lines = 8, 100
	buffered := NewBuffered(out, capacity)
	log := New(buffered, logrus.DebugLevel, time.Now)
	for i := range lines {
		log.Emit(RequestEnded, Request(fmt.Sprint(i)))
	}
	dropped := buffered.Dropped()
	// The writing goroutine may have taken one more line from the buffer.
	if dropped != lines-capacity && dropped != lines-capacity-1 {
		t.Errorf("%d lines dropped, want all but %d or %d", dropped, capacity, capacity+1)
	}
	if again := buffered.Dropped(); again != 0 {
		t.Errorf("%d dropped lines are counted twice", again)
	}
	close(out.release)
	buffered.Close(nil)
	if written := strings.Count(out.String(), "\n"); written != lines-dropped {
		t.Errorf("%d lines written, %d dropped, of %d", written, dropped, lines)
	}
}

// Guards against a shutdown that waits for a blocked output.
func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	defer close(out.release)
	buffered := NewBuffered(out, 1)
	_, _ = buffered.Write([]byte("line\n"))
	stop := make(chan struct{})
	close(stop)
	buffered.Close(stop)
}

// Guards against a panic when a goroutine logs a line after the log was closed.
func TestWriteAfterCloseDoesNotPanic(t *testing.T) {
	buffered := NewBuffered(&bytes.Buffer{}, 1)
	buffered.Close(nil)
	for range 3 {
		if _, err := buffered.Write([]byte("late\n")); err != nil {
			t.Error(err)
		}
	}
}
