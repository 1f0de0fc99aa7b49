package bounded

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
)

const limit = 1 << 20

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against bodies that together use more memory than the budget, and
// against memory that is not released.
func TestEndlessBodiesStayWithinTheBudget(t *testing.T) {
	b := New(2 * limit)
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			body, err := b.ReadAll(endlessReader{}, -1, limit)
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

// Guards against a body that is changed, and against a reservation that differs
// from its capacity.
func TestWholeBodyIsCharged(t *testing.T) {
	for _, size := range []int{0, 1, minGrowBytes, minGrowBytes + 1, limit, -1, -minGrowBytes, -minGrowBytes - 1, -limit} {
		b := New(4 * limit)
		// A negative size stands for a body of unknown length.
		want := bytes.Repeat([]byte("x"), max(size, -size))
		body, err := b.ReadAll(bytes.NewReader(want), int64(size), limit)
		if err != nil || !bytes.Equal(body, want) {
			t.Errorf("%d of %d bytes, %v", len(body), size, err)
		}
		if reserved := 4*limit - b.Free(); reserved != int64(cap(body)) {
			t.Errorf("%d bytes reserved for a capacity of %d", reserved, cap(body))
		}
	}
}

// Guards against a truncated body that is accepted as whole.
func TestTruncatedBodyIsAnError(t *testing.T) {
	b := New(limit)
	body, err := b.ReadAll(io.MultiReader(bytes.NewReader([]byte("half")), truncatedReader{}), 8, limit)
	if body != nil || !errors.Is(err, io.ErrUnexpectedEOF) || b.Free() != limit {
		t.Errorf("%q, %v, %d free", body, err, b.Free())
	}
}

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against long bodies that keep short ones from being read.
func TestLongBodiesLeaveMemoryForShortOnes(t *testing.T) {
	for _, stated := range []int64{-1, limit} {
		b := New(limit)
		var held int64
		for size := int64(2 * minGrowBytes); ; size *= 2 {
			body, err := b.ReadAll(io.LimitReader(endlessReader{}, size), stated, limit)
			if err != nil {
				break
			}
			held += int64(cap(body))
		}
		if free := b.Free(); free < limit/smallShare || free != limit-held {
			t.Errorf("%d bytes are free, want %d at least", free, limit/smallShare)
		}
		if body, err := b.ReadAll(bytes.NewReader(make([]byte, smallBodyBytes-1)), smallBodyBytes-1, limit); err != nil || cap(body) != smallBodyBytes {
			t.Errorf("short body: capacity %d, %v", cap(body), err)
		}
	}
}

// Guards against medium bodies that cannot be read while long ones use what they may.
func TestLongBodiesLeaveMemoryForMediumOnes(t *testing.T) {
	const total, medium = 32 << 20, 1 << 20
	b := New(total)
	if !b.Reserve(total - total/smallShare) {
		t.Fatal("the budget is not free")
	}
	for range 3 {
		if _, err := b.ReadAll(bytes.NewReader(make([]byte, medium)), medium, total); err != nil {
			t.Errorf("a body of %d bytes with %d free: %v", medium, b.Free(), err)
		}
	}
}

// Guards against memory that is free twice because its reservation was released twice.
func TestReservationIsReleasedOnce(t *testing.T) {
	b := New(limit)
	if !b.Reserve(limit) {
		t.Fatal("the budget is not free")
	}
	held := b.Hold(limit / 2)
	held.Release()
	held.Release()
	(*Reservation)(nil).Release()
	if b.Free() != limit/2 {
		t.Errorf("%d bytes are free, want %d", b.Free(), limit/2)
	}
}
