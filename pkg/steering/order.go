package steering

import (
	"math"
	"slices"
	"time"
)

const (
	// holdTime is how long the last measured order stays fully active without
	// new measurements.
	holdTime = 60 * time.Second
	// decayTime is the time after holdTime over which blocks return to the
	// document's order.
	decayTime = 300 * time.Second
	// swapRatio and swapMargin are the hysteresis of the order: a region
	// overtakes another only if it is faster by a fifth and by 1 ms. Without
	// it two regions at similar distance would swap at every measurement, and
	// callers would lose their warm connections.
	swapRatio  = 0.8
	swapMargin = time.Millisecond
	// minMeasurementGap is the minimum time between two measurements. Two that
	// are closer are one measurement that was delivered twice: its time is
	// computed from an age and shifts with the delivery.
	minMeasurementGap = 500 * time.Millisecond
)

// sample is the filtered latency of one region. Times are integers to save
// memory, because there are several hundred thousand samples.
type sample struct {
	region regionIndex
	// filtered moves towards the median of the last three measurements by a
	// quarter of the difference per measurement: the median drops a single
	// outlier, and the smoothing averages the noise of the others.
	filtered, last, beforeLast micros
	// at is the time of the last measurement in Unix nanoseconds.
	at int64
}

// micros is a latency in microseconds.
type micros int32

func microsOf(d time.Duration) micros {
	return micros(min(max(d.Microseconds(), 0), math.MaxInt32))
}

// add applies a measurement and reports whether it was new.
func (s *sample) add(latency micros, at int64) bool {
	if at-s.at < int64(minMeasurementGap) {
		return false
	}
	const filterDivisor = 4
	s.filtered += (median(s.beforeLast, s.last, latency) - s.filtered) / filterDivisor
	s.beforeLast, s.last, s.at = s.last, latency, at
	return true
}

func median(a, b, c micros) micros {
	return max(min(a, b), min(max(a, b), c))
}

// measuredOrder is the order of the measured regions of one block, nearest first.
type measuredOrder struct {
	samples []sample
	// newest is the time of the newest measurement in Unix nanoseconds.
	newest int64
}

// add applies a measurement and reports whether the order changed.
func (m *measuredOrder) add(region regionIndex, latency micros, at int64) bool {
	m.newest = max(m.newest, at)
	i := slices.IndexFunc(m.samples, func(s sample) bool { return s.region == region })
	if i < 0 {
		m.samples = append(m.samples, sample{
			region: region, filtered: latency, last: latency, beforeLast: latency, at: at,
		})
		m.reposition(len(m.samples) - 1)
		return true
	}
	if !m.samples[i].add(latency, at) {
		return false
	}
	return m.reposition(i)
}

// reposition moves the sample at i to its position in the order and reports
// whether it moved. Only neighbours swap, and only beyond the hysteresis.
func (m *measuredOrder) reposition(i int) bool {
	moved := false
	for ; i > 0 && overtakes(m.samples[i], m.samples[i-1]); i-- {
		m.samples[i], m.samples[i-1] = m.samples[i-1], m.samples[i]
		moved = true
	}
	for ; i+1 < len(m.samples) && overtakes(m.samples[i+1], m.samples[i]); i++ {
		m.samples[i], m.samples[i+1] = m.samples[i+1], m.samples[i]
		moved = true
	}
	return moved
}

func overtakes(challenger, incumbent sample) bool {
	return float64(challenger.filtered) < swapRatio*float64(incumbent.filtered) &&
		challenger.filtered+microsOf(swapMargin) < incumbent.filtered
}

// active reports whether the measured order still applies to a block. Each
// block returns to the document's order at its own time within decayTime,
// because blocks that all return together would move a region's callers in one
// step.
func (m *measuredOrder) active(blockHash uint64, now time.Time) bool {
	if len(m.samples) == 0 {
		return false
	}
	decayed := m.age(now) - holdTime
	return decayed <= 0 || unit(mix(blockHash, decaySeed)) >= float64(decayed)/float64(decayTime)
}

// decaying reports whether the decay of the order is in progress. It includes
// two more decay intervals, so that the last blocks get their pass.
func (m *measuredOrder) decaying(now time.Time) bool {
	age := m.age(now)
	return len(m.samples) > 0 && age > holdTime && age <= holdTime+decayTime+2*decayInterval
}

// age returns the time since the newest measurement.
func (m *measuredOrder) age(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - m.newest)
}

// The seeds make the hash-based decisions about one block independent of each other.
const (
	decaySeed  = 0x6465636179
	acceptSeed = 0x616363657074
	moveSeed   = 0x6d6f7665
	homeSeed   = 0x686f6d65
)
