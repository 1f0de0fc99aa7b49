// Package ramp computes the effective region weights while a change of weights is
// ramped. The result is a pure function of the stored object and the time, so
// every host computes the same without coordination.
package ramp

import "time"

// Effective returns the shares of the regions at now. They change linearly from
// the shares of before to those of after, starting at accepted, and at most limit
// (a share of all traffic) moves per interval. The result sums to 1 and has the
// regions of both maps; a removed region stays in it until its share is 0. If
// before has no positive weight, after is effective at once.
//
// Linear interpolation makes changes composable: a second change that starts from
// the effective shares at its own acceptance continues at the same rate, so
// repeated changes can neither exceed the limit nor delay a ramp.
func Effective[K ~string](before, after map[K]float64, accepted time.Time, limit float64, interval time.Duration, now time.Time) map[K]float64 {
	from, to := Shares(before), Shares(after)
	if len(from) == 0 {
		return to
	}
	fraction := progress(Moved(from, to), accepted, limit, interval, now)
	if fraction >= 1 {
		return to
	}
	effective := make(map[K]float64, len(from)+len(to))
	for region, share := range from {
		effective[region] = share * (1 - fraction)
	}
	for region, share := range to {
		effective[region] += share * fraction
	}
	return effective
}

// progress returns the completed fraction of a ramp, from 0 to 1.
func progress(distance float64, accepted time.Time, limit float64, interval time.Duration, now time.Time) float64 {
	if distance == 0 || interval <= 0 {
		return 1
	}
	elapsed := max(now.Sub(accepted), 0)
	return min(limit*elapsed.Seconds()/interval.Seconds()/distance, 1)
}

// Shares scales weights to a sum of 1 and omits regions without a positive weight.
// It returns an empty map if no weight is above 0.
func Shares[K ~string](weights map[K]float64) map[K]float64 {
	sum := 0.0
	for _, weight := range weights {
		sum += max(weight, 0)
	}
	shares := make(map[K]float64, len(weights))
	for region, weight := range weights {
		if weight > 0 {
			shares[region] = weight / sum
		}
	}
	return shares
}

// Moved returns the share of all traffic that changes its region when the shares
// change from one map to the other.
func Moved[K ~string](from, to map[K]float64) float64 {
	moved := 0.0
	for region, share := range to {
		moved += max(share-from[region], 0)
	}
	return moved
}
