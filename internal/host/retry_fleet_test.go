package host

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

const (
	fleetWindow     = 10 * time.Second
	fleetRetryRatio = 0.2

	calm, refused = false, true
)

// slackOf has the slack of installations by their number of hosts.
var slackOf = map[int]float64{2: 124, 22: 124, 107: 278, 195: 430}

// retryFleet is a fleet whose hosts resend as often as their budgets allow.
type retryFleet struct {
	*hostFleet
	requests []time.Time
	retries  []time.Time
}

// serve sends n requests to each of the hosts, evenly over d. If servers refuse them,
// each host resends until its budget is spent.
func (f *retryFleet) serve(d time.Duration, refused bool, n int, hosts ...int) {
	const steps = 20
	for step := range steps {
		for _, i := range hosts {
			for range n*(step+1)/steps - n*step/steps {
				f.hosts[i].retryBudgetOf(fleetService, f.now).FirstAttempt(f.now)
				f.requests = append(f.requests, f.now)
			}
			for refused && f.hosts[i].takeRetry(f.now, fleetService) {
				f.retries = append(f.retries, f.now)
			}
		}
		f.pass(d / steps)
	}
}

// check fails the test if all hosts together exceed the bound in any window. The
// requests count in the window itself, the one before it or half a window before it,
// whichever has most.
func (f *retryFleet) check(t *testing.T) {
	t.Helper()
	count := func(times []time.Time, from time.Time) int {
		return len(times[position(times, from):position(times, from.Add(fleetWindow))])
	}
	for _, from := range f.retries {
		retries := count(f.retries, from)
		requests := max(count(f.requests, from), count(f.requests, from.Add(-fleetWindow)), count(f.requests, from.Add(-fleetWindow/2)))
		if bound := fleetRetryRatio*float64(requests) + f.bounds.RetrySlack; float64(retries) > bound {
			t.Fatalf("%d retries of %d requests within %v, the bound is %.0f", retries, requests, fleetWindow, bound)
		}
	}
}

// position returns the number of times before t.
func position(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}

func forEachRetryFleet(t *testing.T, run func(f *retryFleet)) {
	forEachFleetSize(t, func(t *testing.T, hosts int) {
		f := &retryFleet{hostFleet: newHostFleet(hosts, Bounds{RetryRatio: fleetRetryRatio, RetrySlack: slackOf[hosts], RetryWindow: fleetWindow})}
		run(f)
		f.check(t)
		if len(f.retries) == 0 {
			t.Error("no host may resend a request")
		}
	})
}

// Guards against hosts with few requests that exceed the retry bound of the fleet together.
func TestRetriesOfManyHostsStayWithinTheBound(t *testing.T) {
	forEachRetryFleet(t, func(f *retryFleet) { f.serve(2*fleetWindow, refused, 4, f.all()...) })
}

// Guards against restarted hosts that use the slack of the retry bound again.
func TestRetriesOfRestartedHostsStayWithinTheBound(t *testing.T) {
	forEachRetryFleet(t, func(f *retryFleet) {
		for range 4 {
			f.serve(fleetWindow/4, refused, 10, f.all()...)
			f.restart(f.all()...)
		}
		f.serve(2*fleetWindow, refused, 40, f.all()...)
	})
}

// Guards against requests that entitle to retries both the hosts that had them and those that take over.
func TestRetriesOfHostsThatTakeOverStayWithinTheBound(t *testing.T) {
	forEachRetryFleet(t, func(f *retryFleet) {
		all := f.all()
		before, after := all[:len(all)/2], all[len(all)/2:]
		f.serve(fleetWindow, calm, 2000, before...)
		f.serve(0, refused, 0, before...)
		f.serve(fleetWindow, refused, 2000, after...)
	})
}

// Guards against isolated hosts that count the others as gone and use their part of the bound.
func TestRetriesOfIsolatedHostsStayWithinTheBound(t *testing.T) {
	forEachRetryFleet(t, func(f *retryFleet) {
		f.isolate(isInFirstDomain)
		f.restart(f.choose(func(i int) bool { return i%4 == 0 && f.isolated[i] })...)
		f.pass(time.Minute)
		f.serve(2*fleetWindow, refused, 4, f.all()...)
	})
}

// Guards against hosts that start beside isolated ones and use the parts of these of the bound, too.
func TestRetriesOfHostsThatStartBesideIsolatedOnesStayWithinTheBound(t *testing.T) {
	forEachRetryFleet(t, func(f *retryFleet) {
		const domains = fleetRegions * fleetDomains
		f.isolate(func(i int) bool { return i/domains%2 == 1 })
		f.pass(time.Minute)
		for turn := range 2 {
			f.restart(f.choose(func(i int) bool { return !f.isolated[i] && i/domains/2%2 == turn })...)
			f.pass(fleetSettled)
		}
		f.serve(2*fleetWindow, refused, 1, f.all()...)
	})
}

// Guards against hosts that started isolated and use too large a part of the bound when they hear of the first others.
func TestRetriesOfHostsThatStartedIsolatedStayWithinTheBound(t *testing.T) {
	forEachRetryFleet(t, func(f *retryFleet) {
		f.isolate(isInFirstDomain)
		f.restart(f.choose(isInFirstDomain)...)
		f.pass(fleetWindow + 2*time.Second)
		clear(f.isolated)
		f.serve(fleetWindow, refused, 1, f.all()...)
	})
}

// Guards against a sequence of moves of callers, restarts and isolations in which hosts exceed the bound.
func TestRetriesInRandomSequencesStayWithinTheBound(t *testing.T) {
	const seeds, steps = 2, 16
	forEachRetryFleet(t, func(f *retryFleet) {
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(seed, seed))
			oneIn := func(n int) func(int) bool { return func(int) bool { return rng.IntN(n) == 0 } }
			for range steps {
				f.serve(fleetWindow/4, rng.IntN(2) == 0, []int{0, 5, 200, 600}[rng.IntN(4)], f.choose(oneIn(3))...)
				switch rng.IntN(4) {
				case 0:
					f.restart(f.choose(oneIn(2))...)
				case 1:
					f.isolate(oneIn(6))
				}
			}
		}
	})
}

// Guards against hosts whose parts of the slack exceed it together, whichever of them are isolated or restart.
func TestPartsOfTheSlackInRandomSequencesDoNotExceedIt(t *testing.T) {
	const (
		steps, maxIntervals = 10, 100
		never               = 1 << 30
		// unknownPart is what hosts may use in excess that do not know all others yet.
		unknownPart = 0.1
	)
	for _, seed := range []uint64{1, 3} {
		forEachFleetSize(t, func(t *testing.T, hosts int) {
			rng := rand.New(rand.NewPCG(seed, 9))
			f := newHostFleet(hosts, Bounds{RetryWindow: fleetWindow})
			for step := range steps {
				isolated, restarted := []int{2, 3, 6, never}[rng.IntN(4)], []int{1, 2, 4, never}[rng.IntN(4)]
				f.isolate(func(int) bool { return rng.IntN(isolated) == 0 })
				f.restart(f.choose(func(int) bool { return rng.IntN(restarted) == 0 })...)
				for range 1 + rng.IntN(maxIntervals) {
					f.pass(roster.HeartbeatInterval)
					sum := 0.0
					for _, h := range f.hosts {
						sum += h.slackShare(f.now)
					}
					if sum > 1+unknownPart {
						t.Fatalf("seed %d, step %d: the parts of all hosts add up to %.2f", seed, step, sum)
					}
				}
			}
		})
	}
}
