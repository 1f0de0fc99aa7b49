package host

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

const (
	// tickInterval is the interval between scheduler ticks while requests wait:
	// a small part of the shortest target latency.
	tickInterval = 40 * time.Millisecond
	// minProbePause and maxProbePause bound the pause between probes of an
	// unreachable server.
	minProbePause = 300 * time.Millisecond
	maxProbePause = 2 * time.Second
	// probeTimeout bounds one probe; it may wait for a slot.
	probeTimeout = 3 * time.Second
)

// dispatch waits until the scheduler has decided on a job. The verdict has
// neither a server nor a refusal if the context ended first.
func (h *Host) dispatch(ctx context.Context, job *scheduler.Job) (scheduler.Verdict, *scheduler.Job) {
	decided := h.submit(job)
	select {
	case v := <-decided:
		return v, job
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case v := <-decided:
		return v, job
	default:
	}
	delete(h.waiters, job)
	h.deliver(h.scheduler.Cancel(time.Now(), job))
	return scheduler.Verdict{Job: job}, job
}

// submit adds a job to the scheduler. The channel receives the verdict on it.
func (h *Host) submit(job *scheduler.Job) <-chan scheduler.Verdict {
	decided := make(chan scheduler.Verdict, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiters[job] = decided
	h.deliver(h.scheduler.Submit(time.Now(), job))
	h.scheduleTick()
	return decided
}

// deliver sends verdicts to the requests that wait for them. It is called with
// mu held.
func (h *Host) deliver(verdicts []scheduler.Verdict) {
	for _, v := range verdicts {
		if v.Server != "" {
			h.scheduleUseReport()
		}
		if waiter := h.waiters[v.Job]; waiter != nil {
			delete(h.waiters, v.Job)
			waiter <- v
		}
	}
}

// scheduleTick schedules the next scheduler tick if jobs wait. Without waiting
// jobs no timer runs. It is called with mu held.
func (h *Host) scheduleTick() {
	if h.tickScheduled || h.scheduler.Waiting() == 0 {
		return
	}
	h.tickScheduled = true
	time.AfterFunc(tickInterval, func() {
		defer h.Log.RecoverPanic("scheduler tick")
		h.mu.Lock()
		defer h.mu.Unlock()
		h.tickScheduled = false
		h.deliver(h.scheduler.Tick(time.Now()))
		h.scheduleTick()
	})
}

// endAttempt reports the end of an attempt to the scheduler.
func (h *Host) endAttempt(job *scheduler.Job, outcome scheduler.Result, load *scheduler.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(h.scheduler.Done(time.Now(), job, outcome, load))
	h.scheduleUseReport()
}

// releaseJob frees the slot of an attempt that has ended without a report of its
// end, which is after a panic.
func (h *Host) releaseJob(job *scheduler.Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(h.scheduler.Done(time.Now(), job, scheduler.Abandoned, nil))
}

// exchange sends a request to a server and reads its response.
func (h *Host) exchange(ctx context.Context, server string, req upstream.Request) (*upstream.Response, error) {
	h.mu.Lock()
	b := h.backends[server]
	h.mu.Unlock()
	if b == nil {
		return nil, &upstream.Failure{Err: errors.New("server is no longer listed")}
	}
	return b.pool.Do(ctx, req, func(took time.Duration) { h.observeDial(server, took) })
}

// observeDial records the time to open a connection as a sample of the round
// trip to the server's region.
func (h *Host) observeDial(server string, took time.Duration) {
	h.Metrics.Add("server_connections", 1)
	listed, ok := h.reader.View().Servers[server]
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scheduler.ObserveRTT(listed.Region, took)
}

// setCold marks a server as cold for the time that it reported.
func (h *Host) setCold(server string, left time.Duration) {
	view := h.reader.View()
	if _, ok := view.Servers[server]; !ok {
		return
	}
	h.Log.Emit(events.ServerCold, events.Server(model.ServerID(server)), events.Elapsed(left))
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.scheduler.SetCold(server, now.Add(min(left, maxColdTime)))
	h.limitCold(now, view)
}

// markUnreachable excludes a server from scheduling until a probe succeeds.
func (h *Host) markUnreachable(server string, cause error) {
	h.mu.Lock()
	b := h.backends[server]
	start := b != nil && !b.probing && h.scheduler.SetDown(server)
	if start {
		b.probing = true
	}
	h.mu.Unlock()
	if !start {
		return
	}
	h.Log.Emit(events.ServerUnreachable, events.Server(model.ServerID(server)), events.Address(b.address), events.Reason(cause))
	if errors.Is(cause, syscall.ECONNREFUSED) {
		// A refused connection means that the process has ended. A partitioned
		// server, or one without power, does not refuse connections.
		h.reportSuspects(server, h.crashes.recordCrash(server, time.Now())...)
	}
	go h.probeUntilUp(server, b)
}

// probeUntilUp probes a server until it is healthy, has restarted or is no
// longer listed.
func (h *Host) probeUntilUp(server string, b *backend) {
	for pause := minProbePause; ; pause = min(2*pause, maxProbePause) {
		time.Sleep(pause)
		h.mu.Lock()
		current := h.backends[server]
		h.mu.Unlock()
		if current != b {
			// The server was removed or has restarted: its entry replaces the
			// results of probes.
			h.markReachable(server, b, 0)
			return
		}
		if left, ok := h.probe(server, b); ok {
			h.markReachable(server, b, left)
			return
		}
	}
}

// probe reports whether the server is healthy, and how long it stays cold.
func (h *Host) probe(server string, b *backend) (cold time.Duration, ok bool) {
	view := h.reader.View()
	listed, known := view.Servers[server]
	service := serviceOf(view, listed.Service)
	if !known || service == nil || listed.State != fleet.Ready {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	resp, err := b.pool.Do(ctx, upstream.Request{
		Method:        http.MethodGet,
		Target:        service.HealthPath,
		Host:          b.address,
		Header:        http.Header{},
		MatchResponse: func(header http.Header) upstream.Match { return h.Protocol.MatchResponse(header, "") },
		OwnConnection: true,
	}, func(time.Duration) {})
	h.Metrics.Add("probes", 1)
	if err != nil {
		return 0, false
	}
	defer resp.Memory.Release()
	report := h.Protocol.DecodeResponse(resp.Status, resp.Header)
	if report.Server != "" && report.Server != server {
		return 0, false
	}
	return report.ColdFor, resp.Status == http.StatusOK
}

func (h *Host) markReachable(server string, b *backend, cold time.Duration) {
	h.mu.Lock()
	b.probing = false
	h.scheduler.SetUp(server)
	h.mu.Unlock()
	if cold > 0 {
		h.setCold(server, cold)
	}
	h.Log.Emit(events.ServerReachable, events.Server(model.ServerID(server)))
}
