package steering

import (
	"math"
	"slices"
	"time"
)

const (
	// holdTime keeps the last measured order while measurements pause.
	holdTime = 60 * time.Second
	// decayTime spreads the return to the document's order.
	decayTime = 300 * time.Second
	// swapRatio and swapMargin are the hysteresis of the order: a region
	// overtakes another only if it is faster by a fifth and by 1 ms. Without
	// them two regions at similar distance would change places, and with them
	// the caller's warm connections, at every measurement.
	swapRatio  = 0.8
	swapMargin = time.Millisecond
	// sameMeasurement is the least distance of two measurements. Smaller ones
	// are one measurement that was delivered twice: its time is worked out
	// from an age and shifts with the delivery.
	sameMeasurement = 500 * time.Millisecond
)

// sample is the filtered latency of one region. Times are kept as numbers,
// because there are several hundred thousand samples.
type sample struct {
	region regionIndex
	// filtered approaches the median of the last three measurements by a
	// quarter per measurement: the median drops a single odd one, the steps
	// average the noise of the others.
	filtered, last, beforeLast micros
	// at is the time of the last measurement in Unix nanoseconds.
	at int64
}

// micros is a latency in microseconds.
type micros int32

func microsOf(d time.Duration) micros {
	return micros(min(max(d.Microseconds(), 0), math.MaxInt32))
}

func (s *sample) add(latency micros, at int64) bool {
	if at-s.at < int64(sameMeasurement) {
		return false
	}
	const filterShare = 4
	s.filtered += (median(s.beforeLast, s.last, latency) - s.filtered) / filterShare
	s.beforeLast, s.last, s.at = s.last, latency, at
	return true
}

func median(a, b, c micros) micros {
	return max(min(a, b), min(max(a, b), c))
}

// measured is the order of the measured regions of one block, nearest first.
type measured struct {
	samples []sample
	// newest is the time of the newest measurement in Unix nanoseconds.
	newest int64
}

// add takes a measurement and reports whether the order changed.
func (m *measured) add(region regionIndex, latency micros, at int64) bool {
	m.newest = max(m.newest, at)
	i := slices.IndexFunc(m.samples, func(s sample) bool { return s.region == region })
	if i < 0 {
		m.samples = append(m.samples, sample{
			region: region, filtered: latency, last: latency, beforeLast: latency, at: at,
		})
		m.settle(len(m.samples) - 1)
		return true
	}
	if !m.samples[i].add(latency, at) {
		return false
	}
	return m.settle(i)
}

// settle moves the sample at i to its place. Only neighbours change places,
// and only beyond the hysteresis.
func (m *measured) settle(i int) bool {
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

func overtakes(challenger, holder sample) bool {
	return float64(challenger.filtered) < swapRatio*float64(holder.filtered) &&
		challenger.filtered+microsOf(swapMargin) < holder.filtered
}

// inForce says whether the measured order still counts for a block. Each block
// returns to the document's order at its own time within the decay, because
// blocks that all return together would move a region's callers in one step.
func (m *measured) inForce(blockHash uint64, now time.Time) bool {
	if len(m.samples) == 0 {
		return false
	}
	silent := m.silence(now) - holdTime
	return silent <= 0 || unit(mix(blockHash, decaySeed)) >= float64(silent)/float64(decayTime)
}

// fading says whether the decay of the order is running. It includes the pass
// that takes over the last blocks.
func (m *measured) fading(now time.Time) bool {
	silent := m.silence(now)
	return len(m.samples) > 0 && silent > holdTime && silent <= holdTime+decayTime+2*fadeInterval
}

func (m *measured) silence(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - m.newest)
}

// Seeds keep the decisions of one block independent of each other.
const (
	decaySeed  = 0x6465636179
	acceptSeed = 0x616363657074
	moveSeed   = 0x6d6f7665
	homeSeed   = 0x686f6d65
)
