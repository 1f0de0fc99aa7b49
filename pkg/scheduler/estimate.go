package scheduler

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.15
	// initialWarmShare and initialColdShare are the parts of the target latency
	// assumed as service times of a class until responses have been seen.
	initialWarmShare = 0.4
	initialColdShare = 1.3
	// defaultTarget is used for a class without a target latency.
	defaultTarget = time.Second
)

// classEstimate is the service time of a class of requests on a server without
// a queue: warm if the server holds the object's state, cold if it does not.
type classEstimate struct {
	warm, cold time.Duration
	history    runHistory
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

func (e *classEstimate) serviceTime(warm bool) time.Duration {
	if warm {
		return e.warm
	}
	return e.cold
}

// observe adds a sample to the estimate that it is closer to. A host does not
// see which objects a server got from other hosts, so samples that were sorted
// by the state expected at the choice would mix both.
func (e *classEstimate) observe(took time.Duration) {
	if float64(took) > math.Sqrt(float64(e.warm)*float64(e.cold)) {
		e.cold = average(e.cold, took)
		return
	}
	e.warm = average(e.warm, took)
}

func average(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}

// decayingValue is a value that decays to its baseline with a half-life.
type decayingValue struct {
	value    float64
	at       time.Time
	baseline float64
	halfLife time.Duration
}

func (d *decayingValue) get(now time.Time) float64 {
	age := now.Sub(d.at)
	if age <= 0 || d.at.IsZero() {
		return d.valueOrBaseline()
	}
	return d.baseline + (d.value-d.baseline)*math.Exp2(-float64(age)/float64(d.halfLife))
}

func (d *decayingValue) valueOrBaseline() float64 {
	if d.at.IsZero() {
		return d.baseline
	}
	return d.value
}

func (d *decayingValue) set(now time.Time, value float64) {
	d.value, d.at = value, now
}

// addSample moves the value towards a sample by the given weight.
func (d *decayingValue) addSample(now time.Time, sample, weight float64) {
	old := d.get(now)
	d.set(now, old+weight*(sample-old))
}
