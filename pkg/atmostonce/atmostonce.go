// Package atmostonce keeps the records that make a non-idempotent request run
// at most once: the owner's record of request IDs and the dispatcher's record
// of kept answers. It does no I/O and is not safe for concurrent use.
package atmostonce

import (
	"crypto/sha256"
	"time"
)

const (
	// TokenWindow is how long after its issue an owner token may start a run.
	TokenWindow = 15 * time.Minute
	// RecordLifetime outlives every resend with a token that is inside its
	// window, also with the clock skew between hosts.
	RecordLifetime = 2 * TokenWindow
	// MaxClockSkew is how far an issue time may be in the future.
	MaxClockSkew = time.Second
)

// recordOverheadBytes covers the record, its map entry and its list element.
const recordOverheadBytes = 320

// Limits bound the memory of a table.
type Limits struct {
	// RecordBytes bounds the records without their answers.
	RecordBytes int
	// TotalResponseBytes bounds the kept answers together.
	TotalResponseBytes int
	// MaxResponseBytes bounds one kept answer.
	MaxResponseBytes int
}

// DefaultLimits fit in the memory target of a host (256 MB) twice: for the
// owner's records and for the dispatcher's kept answers.
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
