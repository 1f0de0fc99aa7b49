package events

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter is an output that nobody reads until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// Guards against an output that nobody reads and thereby stops the requests
// whose lines it gets, and against dropped lines that nobody counts.
func TestBlockedOutputDropsLinesAndBlocksNobody(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	const room, lines = 8, 100
	buffered := NewBuffered(out, room)
	log := New(buffered, logrus.DebugLevel, time.Now)
	for i := range lines {
		log.Emit(RequestEnded, Request(fmt.Sprint(i)))
	}
	dropped := buffered.Dropped()
	// One more line may be in the hands of the goroutine that writes.
	if dropped != lines-room && dropped != lines-room-1 {
		t.Errorf("%d lines dropped, want all but %d or %d", dropped, room, room+1)
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

// Guards against a stop that waits for an output that nobody reads.
func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	defer close(out.release)
	buffered := NewBuffered(out, 1)
	_, _ = buffered.Write([]byte("line\n"))
	stop := make(chan struct{})
	close(stop)
	buffered.Close(stop)
}

// Guards against a line of a goroutine that outlives the log.
func TestWriteAfterCloseDoesNotPanic(t *testing.T) {
	buffered := NewBuffered(&bytes.Buffer{}, 1)
	buffered.Close(nil)
	for range 3 {
		if _, err := buffered.Write([]byte("late\n")); err != nil {
			t.Error(err)
		}
	}
}
