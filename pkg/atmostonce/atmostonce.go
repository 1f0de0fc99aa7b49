// Package atmostonce keeps the records that make a non-idempotent request run
// at most once: the owner's table of request IDs and the dispatcher's table of
// stored responses. It does no I/O and is not safe for concurrent use.
package atmostonce

import (
	"crypto/sha256"
	"time"
)

const (
	// TokenWindow is the time after its issue within which an owner token may
	// start a run.
	TokenWindow = 15 * time.Minute
	// RecordLifetime is the time for which a record is kept. It exceeds the
	// window of a token by more than the clock skew between hosts, so that
	// every resend within the window finds its record.
	RecordLifetime = 2 * TokenWindow
	// MaxClockSkew is the longest time by which an issue time may be in the
	// future.
	MaxClockSkew = time.Second
)

// recordOverheadBytes accounts for the record, its map entry and its list
// element.
const recordOverheadBytes = 320

// Limits bound the memory of a table.
type Limits struct {
	// RecordBytes bounds the records without their responses.
	RecordBytes int
	// TotalResponseBytes bounds the sum of all stored responses.
	TotalResponseBytes int
	// MaxResponseBytes bounds one stored response.
	MaxResponseBytes int
}

// DefaultLimits are the limits of each of the two tables of a host, the
// owner's and the dispatcher's. Both together fit in the memory target of a
// host (256 MB).
var DefaultLimits = Limits{RecordBytes: 32 << 20, TotalResponseBytes: 48 << 20, MaxResponseBytes: 1 << 20}

// BodyHash identifies the content of a request.
type BodyHash [sha256.Size]byte

// HashParts hashes the parts with their lengths, so that moving a byte from
// one part to the next changes the hash.
func HashParts(parts ...[]byte) BodyHash {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		for i := range length {
			length[i] = byte(len(part) >> (8 * i))
		}
		h.Write(length[:])
		h.Write(part)
	}
	return BodyHash(h.Sum(nil))
}
