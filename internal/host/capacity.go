package host

import "math"

const (
	// slotsPerCore is the number of server slots whose requests one core
	// forwards with a reserve for floods: at 24 slots the busiest host uses
	// 0.06 of its 0.224 cores in a flood of three times the load.
	slotsPerCore = 107
	// slotsPerLinkByte is the number of slots per byte per second of bandwidth:
	// a slot's uploads take 60 KB/s in both directions together, and a quarter
	// of the link is planned for them.
	slotsPerLinkByte = 1.0 / (4 * 60_000)
	// defaultCapacity is the number of slots of a host whose settings give
	// neither cores nor bandwidth.
	defaultCapacity = 24
)

// capacityOf returns the number of server slots whose requests a host can
// forward.
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
