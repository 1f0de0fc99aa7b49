package bounded

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
)

const limit = 1 << 20

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against bodies that take more memory together than there is, and against
// memory that is not returned.
func TestEndlessBodiesStayWithinTheBudget(t *testing.T) {
	b := New(2 * limit)
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			body, err := b.ReadAll(endless{}, -1, limit)
			if body != nil || !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrExhausted) {
				t.Errorf("%d bytes, %v", len(body), err)
			}
		})
	}
	running.Wait()
	if b.Free() != 2*limit {
		t.Errorf("%d bytes are free, want %d", b.Free(), 2*limit)
	}
}

// Guards against a body that is changed or charged wrongly.
func TestWholeBodyIsCharged(t *testing.T) {
	for _, size := range []int{0, 1, chunk, chunk + 1, limit, -1, -chunk, -chunk - 1, -limit} {
		b := New(4 * limit)
		// Bodies of negative size do not tell their length.
		want := bytes.Repeat([]byte("x"), max(size, -size))
		body, err := b.ReadAll(bytes.NewReader(want), int64(size), limit)
		if err != nil || !bytes.Equal(body, want) {
			t.Errorf("%d of %d bytes, %v", len(body), size, err)
		}
		if taken := 4*limit - b.Free(); taken != int64(cap(body)) {
			t.Errorf("%d bytes taken for a capacity of %d", taken, cap(body))
		}
	}
}

// Guards against a body that broke off and is taken for whole.
func TestBrokenBodyIsAnError(t *testing.T) {
	b := New(limit)
	body, err := b.ReadAll(io.MultiReader(bytes.NewReader([]byte("half")), brokenOff{}), 8, limit)
	if body != nil || !errors.Is(err, io.ErrUnexpectedEOF) || b.Free() != limit {
		t.Errorf("%q, %v, %d free", body, err, b.Free())
	}
}

type brokenOff struct{}

func (brokenOff) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
