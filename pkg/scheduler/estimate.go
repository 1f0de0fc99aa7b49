package scheduler

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.15
	// initialWarmShare and initialColdShare of the target latency are assumed
	// for a class until answers have been seen.
	initialWarmShare = 0.4
	initialColdShare = 1.3
	// defaultTarget stands in for a class without a target latency.
	defaultTarget = time.Second
)

// classEstimate is what a class of requests takes at a server without a queue.
type classEstimate struct {
	warm, cold time.Duration
}

func newClassEstimate(target time.Duration) *classEstimate {
	if target <= 0 {
		target = defaultTarget
	}
	return &classEstimate{
		warm: time.Duration(float64(target) * initialWarmShare),
		cold: time.Duration(float64(target) * initialColdShare),
	}
}

func (e *classEstimate) of(warm bool) time.Duration {
	if warm {
		return e.warm
	}
	return e.cold
}

// learn sorts a sample by what it is closer to: a host does not know which
// objects a server got from other hosts, so the choice alone would mix both.
func (e *classEstimate) learn(took time.Duration) {
	if float64(took) > math.Sqrt(float64(e.warm)*float64(e.cold)) {
		e.cold = average(e.cold, took)
		return
	}
	e.warm = average(e.warm, took)
}

func average(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}

// decaying is a value that returns to its rest value with a half-life.
type decaying struct {
	value    float64
	at       time.Time
	rest     float64
	halfLife time.Duration
}

func (d *decaying) get(now time.Time) float64 {
	age := now.Sub(d.at)
	if age <= 0 || d.at.IsZero() {
		return d.valueOrRest()
	}
	return d.rest + (d.value-d.rest)*math.Exp2(-float64(age)/float64(d.halfLife))
}

func (d *decaying) valueOrRest() float64 {
	if d.at.IsZero() {
		return d.rest
	}
	return d.value
}

func (d *decaying) set(now time.Time, value float64) {
	d.value, d.at = value, now
}

// mix moves the value towards a sample.
func (d *decaying) mix(now time.Time, sample, weight float64) {
	old := d.get(now)
	d.set(now, old+weight*(sample-old))
}
