// Package bounded bounds what is read from the network, so that a peer that
// sends without end cannot exhaust the memory of the process.
package bounded

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// minGrowBytes is the least by which the memory for a body grows, unless the
// body is known to be shorter.
const minGrowBytes = 64 << 10

// A body whose stated length is up to smallBodyBytes may use the whole budget, any
// other one only its first minGrowBytes: what it grows by leaves restFactor times its
// stated length free, at most a part of 1/smallShare. Otherwise long bodies, and those
// without end, keep others from being read.
const (
	smallBodyBytes = 256 << 10
	smallShare     = 4
	restFactor     = 2
)

// Errors of ReadAll.
var (
	// ErrExhausted means that the budget has too little memory left.
	ErrExhausted = errors.New("memory for bodies is exhausted")
	// ErrTooLong means that a body exceeds its limit.
	ErrTooLong = errors.New("body exceeds its limit")
)

// Budget is an amount of memory in bytes. It is safe for concurrent use.
type Budget struct {
	total int64

	mu   sync.Mutex
	free int64
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget { return &Budget{total: bytes, free: bytes} }

// Free returns the number of bytes that are not reserved.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// Reserve reserves n bytes and returns true, or returns false if fewer are free.
func (b *Budget) Reserve(n int64) bool { return b.reserve(n, 0) }

// reserve reserves n bytes if at least rest bytes stay free.
func (b *Budget) reserve(n, rest int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free-n < rest {
		return false
	}
	b.free -= n
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
}

// Hold makes n reserved bytes a reservation of their own.
func (b *Budget) Hold(n int64) *Reservation {
	r := &Reservation{budget: b}
	r.bytes.Store(n)
	return r
}

// Reservation is memory of a budget that is kept until Release is called. It is
// safe for concurrent use. A nil reservation holds nothing.
type Reservation struct {
	budget *Budget
	bytes  atomic.Int64
}

// Release returns the memory to the budget. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil {
		r.budget.Release(r.bytes.Swap(0))
	}
}

// ReadAll reads to the end within the budget. size is the length of the body, or
// negative if it is unknown. Without an error, the capacity of the body stays
// reserved in the budget; with one, nothing does.
func (b *Budget) ReadAll(r io.Reader, size, limit int64) (body []byte, err error) {
	defer func() {
		if err != nil {
			b.Release(int64(cap(body)))
			body = nil
		}
	}()
	for {
		if int64(len(body)) > limit {
			return body, ErrTooLong
		}
		if len(body) == cap(body) {
			grown := int64(cap(body))*2 + minGrowBytes
			if size >= int64(len(body)) && size < grown {
				// One more byte, because the end of the body is found only by
				// another read.
				grown = size + 1
			}
			rest := int64(0)
			if grown > minGrowBytes {
				rest = b.restFor(size)
			}
			if !b.reserve(grown-int64(cap(body)), rest) {
				return body, ErrExhausted
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// restFor returns what a body of the stated size leaves free.
func (b *Budget) restFor(size int64) int64 {
	most := b.total / smallShare
	switch {
	case size < 0 || size > most:
		return most
	case size <= smallBodyBytes:
		return 0
	}
	return min(restFactor*size, most)
}

// Reader reads up to Left bytes from From and then fails with
// io.ErrUnexpectedEOF.
type Reader struct {
	From io.Reader
	Left int64
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.Left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if int64(len(p)) > r.Left {
		p = p[:r.Left]
	}
	n, err := r.From.Read(p)
	r.Left -= int64(n)
	return n, err
}
