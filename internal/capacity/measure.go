package capacity

import (
	"runtime"
	"sync"
	"syscall"
	"time"
)

// measureDuration is the processor time that one measurement takes.
const measureDuration = 300 * time.Millisecond

// cpuTime returns the processor time that this process has used. It varies less
// than elapsed time on a machine that runs other work.
func cpuTime() time.Duration {
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

// measure runs an operation until it has used measureDuration.
func measure(operation func(i int)) cost {
	operation(0)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, operations := cpuTime(), 0
	for batch := 1; cpuTime()-start < measureDuration; batch *= 2 {
		for range batch {
			operation(operations)
			operations++
		}
	}
	elapsed := cpuTime() - start
	runtime.ReadMemStats(&after)
	return cost{
		nanos:  float64(elapsed.Nanoseconds()) / float64(operations),
		allocs: float64(after.Mallocs-before.Mallocs) / float64(operations),
	}
}

// parallelCalls is the number of operations that measureParallel runs at a time.
const parallelCalls = 16

// measureParallel measures operations that wait for other goroutines. It runs
// several at a time to keep the processors busy, because the scheduler of an
// idle processor searches for work and would add to the processor time.
func measureParallel(operation func(i int)) cost {
	c := measure(func(i int) {
		var group sync.WaitGroup
		for k := range parallelCalls {
			group.Go(func() {
				for n := range callsPerGoroutine {
					operation((i*parallelCalls+k)*callsPerGoroutine + n)
				}
			})
		}
		group.Wait()
	})
	const operations = parallelCalls * callsPerGoroutine
	return cost{nanos: c.nanos / operations, allocs: c.allocs / operations}
}

// callsPerGoroutine is the number of operations per goroutine. It is large
// enough that the start of a goroutine costs little compared with its work.
const callsPerGoroutine = 20

// heldBytes returns the value that build returns and the memory that it holds,
// including the stacks of its goroutines.
func heldBytes[T any](build func() T) (held T, bytes float64) {
	before := memoryInUse()
	held = build()
	after := memoryInUse()
	runtime.KeepAlive(held)
	return held, float64(after) - float64(before)
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
