package capacity

import (
	"runtime"
	"sync"
	"syscall"
	"time"
)

// measureTime is the processor time that one figure takes.
const measureTime = 300 * time.Millisecond

// processorTime returns what this process has used. It is steadier than the
// clock on a machine that runs other work.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cost is the processor time and the allocations of one operation.
type cost struct {
	nanos, allocs float64
}

// measure runs an operation until it has used measureTime.
func measure(operation func(i int)) cost {
	operation(0)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, done := processorTime(), 0
	for batch := 1; processorTime()-began < measureTime; batch *= 2 {
		for range batch {
			operation(done)
			done++
		}
	}
	used := processorTime() - began
	runtime.ReadMemStats(&after)
	return cost{
		nanos:  float64(used.Nanoseconds()) / float64(done),
		allocs: float64(after.Mallocs-before.Mallocs) / float64(done),
	}
}

// callers is how many operations run at the same time in measureParallel.
const callers = 16

// measureParallel measures operations that wait for other goroutines. Several
// at a time keep the processors busy, so that their search for work does not
// count.
func measureParallel(operation func(i int)) cost {
	c := measure(func(i int) {
		var group sync.WaitGroup
		for k := range callers {
			group.Go(func() {
				for n := range callsPerCaller {
					operation((i*callers+k)*callsPerCaller + n)
				}
			})
		}
		group.Wait()
	})
	const operations = callers * callsPerCaller
	return cost{nanos: c.nanos / operations, allocs: c.allocs / operations}
}

// callsPerCaller keeps the start of the goroutines small against their work.
const callsPerCaller = 20

// heldBytes returns how much memory what build returns holds, with the stacks
// of its goroutines.
func heldBytes[T any](build func() T) (held T, bytes float64) {
	before := memory()
	held = build()
	after := memory()
	runtime.KeepAlive(held)
	return held, float64(after) - float64(before)
}

func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
