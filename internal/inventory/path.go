package inventory

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// probeInterval is how long a reader goes without an answer before it probes
	// the store: a watch that waits proves nothing.
	probeInterval = 400 * time.Millisecond
	// minPatience and maxPatience bound how long a probe may wait before the
	// store counts as lost. The interval, the patience and the time in which
	// another host takes over add up to less than the 2 s of a change.
	minPatience = 500 * time.Millisecond
	maxPatience = 2500 * time.Millisecond
	// slowFactor is the patience as a multiple of the time that the last answer
	// took.
	slowFactor = 3
	// lostAfter is how long calls have to fail before the store counts as lost.
	lostAfter = 300 * time.Millisecond
	// maxProbes bounds the probes that wait at one time.
	maxProbes = 4
)

// path judges from the answers to calls and probes whether the store serves
// this host. It does no I/O and is not safe for concurrent use.
type path struct {
	// provenAt is when the last answer came.
	provenAt time.Time
	// callsLostAt and probesLostAt are when the first call and the first probe
	// failed of those that failed in a row. An answer to a call clears both, one
	// to a probe only the latter: probes may be answered from old data.
	callsLostAt  time.Time
	probesLostAt time.Time
	// probes are the starts of those that wait for an answer, the oldest first.
	probes   []time.Time
	patience time.Duration
	// retryAt is when a store that failed a probe is probed again.
	retryAt time.Time
	retry   *backoff.ExponentialBackOff
}

func newPath() *path { return &path{patience: minPatience, retry: newBackoff()} }

// lostSince is when the failures began, or zero.
func (p *path) lostSince() time.Time {
	if p.callsLostAt.IsZero() || !p.probesLostAt.IsZero() && p.probesLostAt.Before(p.callsLostAt) {
		return p.probesLostAt
	}
	return p.callsLostAt
}

// isLost reports whether calls or probes have failed for a while.
func (p *path) isLost(now time.Time) bool {
	since := p.lostSince()
	return !since.IsZero() && now.Sub(since) >= lostAfter
}

// isSilent reports whether probes fail or wait for too long.
func (p *path) isSilent() bool { return !p.probesLostAt.IsZero() }

// isProven reports whether an answer came lately, so that a call is worth its
// price.
func (p *path) isProven(now time.Time) bool {
	return !p.isSilent() && now.Sub(p.provenAt) < probeInterval+p.patience
}

// answered notes an answer to a call. It returns how long the store was away.
func (p *path) answered(now time.Time) (outage time.Duration) {
	if since := p.lostSince(); !since.IsZero() {
		outage = now.Sub(since)
	}
	p.callsLostAt = time.Time{}
	p.probeAnswered(now)
	return outage
}

// failed notes a call that failed.
func (p *path) failed(now time.Time) {
	if p.callsLostAt.IsZero() {
		p.callsLostAt = now
	}
}

func (p *path) probeAnswered(now time.Time) {
	p.provenAt, p.probesLostAt, p.retryAt = now, time.Time{}, time.Time{}
	// Older probes that still wait say nothing any more.
	p.probes = nil
	p.retry.Reset()
}

func (p *path) probeBegan(now time.Time) {
	p.probes = append(p.probes, now)
	p.retryAt = now.Add(p.retry.NextBackOff() + rand.N(firstRetry))
}

// probeEnded notes the end of the probe that began then. It returns how long
// the store was away, if it is back. A host that makes no calls learns only
// from probes that it is.
func (p *path) probeEnded(now, began time.Time, err error, makesCalls bool) (outage time.Duration) {
	if err != nil {
		p.probeFailed(now, began)
		return 0
	}
	p.patience = min(max(slowFactor*now.Sub(began), minPatience), maxPatience)
	if makesCalls && !p.callsLostAt.IsZero() {
		p.probeAnswered(now)
		return 0
	}
	return p.answered(now)
}

func (p *path) probeFailed(now, began time.Time) {
	for i, at := range p.probes {
		if at.Equal(began) {
			p.probes = append(p.probes[:i], p.probes[i+1:]...)
			if p.probesLostAt.IsZero() {
				p.probesLostAt = now
			}
			return
		}
	}
}

// check notes that the oldest probe has waited for too long.
func (p *path) check(now time.Time) {
	if len(p.probes) > 0 && p.probesLostAt.IsZero() && now.Sub(p.probes[0]) >= p.patience {
		p.probesLostAt = p.probes[0]
	}
}

// nextProbe is when a probe is due. While the store answers, one at a time is
// enough; one that fails may only have met a dead connection.
func (p *path) nextProbe() (at time.Time, ok bool) {
	if p.isSilent() {
		return p.retryAt, len(p.probes) < maxProbes
	}
	return p.provenAt.Add(probeInterval), len(p.probes) == 0
}

// nextStep is when a probe is due or the judgement changes, but not after latest.
func (p *path) nextStep(latest time.Time) time.Time {
	steps := []time.Time{latest}
	if at, ok := p.nextProbe(); ok {
		steps = append(steps, at)
	}
	if len(p.probes) > 0 && !p.isSilent() {
		steps = append(steps, p.probes[0].Add(p.patience))
	}
	return slices.MinFunc(steps, time.Time.Compare)
}
