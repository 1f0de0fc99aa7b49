package steering

import (
	"math"
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// mix combines two hashes into one whose bits are not correlated with either.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd1b54a32d192ed03)
	x := hi ^ lo
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// hashPrefix returns a hash of a prefix that is the same on every host.
func hashPrefix(p netip.Prefix) uint64 {
	a := p.Addr().As16()
	var buf [17]byte
	copy(buf[:], a[:])
	buf[16] = byte(p.Bits())
	return xxhash.Sum64(buf[:])
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 {
	const mantissaBits = 53
	return float64(h>>(64-mantissaBits)) / (1 << mantissaBits)
}

// weightedScore is the score of weighted rendezvous hashing: the candidate
// with the highest score wins with a probability proportional to its weight,
// and a changed weight moves only the keys that the candidate gains or loses.
func weightedScore(h uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	return weight / -math.Log(unit(h)+math.SmallestNonzeroFloat64)
}
