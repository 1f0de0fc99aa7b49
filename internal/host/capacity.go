package host

import "math"

const (
	// slotsPerCore is the number of server slots whose requests one core
	// carries with room for floods: at 24 slots the busiest host used 0.06 of
	// its 0.224 cores in a flood of three times the load.
	slotsPerCore = 107
	// slotsPerLinkByte is the number of slots per byte per second of bandwidth:
	// a slot's uploads take 60 KB/s both ways together, and a quarter of the
	// link is planned for.
	slotsPerLinkByte = 1.0 / (4 * 60_000)
	// defaultCapacity is assumed of a host whose settings give no limits.
	defaultCapacity = 24
)

// capacityOf is the number of server slots whose requests a host can carry.
func capacityOf(s *Settings) int {
	capacity := math.Inf(1)
	if s.Cores > 0 {
		capacity = s.Cores * slotsPerCore
	}
	if s.Link > 0 {
		capacity = min(capacity, s.Link*slotsPerLinkByte)
	}
	if math.IsInf(capacity, 1) {
		return defaultCapacity
	}
	return max(int(math.Round(capacity)), 1)
}
