package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/quarantine"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// noticeTimeout bounds the wait for the acknowledgements of a suspect notice.
const noticeTimeout = 200 * time.Millisecond

// crashGuard prevents requests that crash backend servers from running again.
// It is safe for concurrent use.
type crashGuard struct {
	mu    sync.Mutex
	table *quarantine.Table
	// trials are the suspects that are running alone on a server of this host.
	trials map[quarantine.Hash]bool
}

func newCrashGuard() *crashGuard {
	return &crashGuard{
		table:  quarantine.NewTable(quarantine.DefaultMaxEntries, quarantine.DefaultLifetimes),
		trials: make(map[quarantine.Hash]bool),
	}
}

func contentHash(req Request) quarantine.Hash {
	return quarantine.HashOf(string(req.Service), req.Path, req.Body)
}

// status returns the quarantine status of a request's content. It hashes the
// body only if the table has entries.
func (g *crashGuard) status(req Request, now time.Time) quarantine.Status {
	g.mu.Lock()
	empty := g.table.Len() == 0
	g.mu.Unlock()
	if empty {
		return quarantine.Clear
	}
	hash := contentHash(req)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Status(hash, now)
}

// admit decides at dispatch whether a request may run, and whether it must run
// alone on a server. If it returns exclusive, endTrial must follow. admit calls
// trialHost only for suspects; it reports whether this host runs the trial.
func (g *crashGuard) admit(req Request, trialHost func() bool, now time.Time) (exclusive bool, refused *result.Error) {
	if status := g.status(req, now); status != quarantine.Suspect {
		return false, refusalOf(status)
	}
	if !trialHost() {
		return false, result.Errorf(result.NotDispatcher, "another host of the region runs suspects with this content")
	}
	hash := contentHash(req)
	g.mu.Lock()
	defer g.mu.Unlock()
	if status := g.table.Status(hash, now); status != quarantine.Suspect {
		// Another trial has ended since the first look.
		return false, refusalOf(status)
	}
	if g.trials[hash] {
		return false, result.Errorf(result.NoCapacity, "a suspect with the same content is running")
	}
	g.trials[hash] = true
	return true, nil
}

// refusalOf returns the refusal of a request with a status other than suspect, or
// nil if it may run like any other.
func refusalOf(status quarantine.Status) *result.Error {
	if status == quarantine.Convicted {
		return result.Errorf(result.Quarantined, "requests with the same content crashed backend servers")
	}
	return nil
}

// endTrial ends the trial of a suspect.
func (g *crashGuard) endTrial(req Request) {
	hash := contentHash(req)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.trials, hash)
}

// recordOutcome updates the status after a run and returns the notice to send to
// the entry hosts, or nil.
func (g *crashGuard) recordOutcome(req Request, code result.Code, exclusive bool, now time.Time) *wirepb.SuspectNotice {
	if code != result.ServerCrashed && !exclusive {
		return nil
	}
	hash := contentHash(req)
	notice := &wirepb.SuspectNotice{ContentHash: hash[:]}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case code == result.ServerCrashed:
		notice.Convicted = g.table.Crashed(hash, exclusive, now) == quarantine.Convicted
	case code == result.Served && g.table.Completed(hash, exclusive, now):
		notice.Cleared = true
	default:
		return nil
	}
	return notice
}

// apply applies a notice of another host. It reports whether the notice is
// valid.
func (g *crashGuard) apply(notice *wirepb.SuspectNotice, now time.Time) bool {
	var hash quarantine.Hash
	if len(notice.ContentHash) != len(hash) {
		return false
	}
	copy(hash[:], notice.ContentHash)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case notice.Cleared:
		g.table.Clear(hash)
	case notice.Convicted:
		g.table.Raise(hash, quarantine.Convicted, now)
	default:
		g.table.Raise(hash, quarantine.Suspect, now)
	}
	return true
}

// runsTrials reports whether this host runs the trials of suspects with the
// request's content. Only one host per region runs them, so that copies of a
// suspect that are resent to several hosts do not each crash a server.
func runsTrials(view *localstate.View, self model.HostID, region model.Region, req Request) bool {
	return view != nil && trialHost(view, region, req) == self
}

// trialHost returns the dispatcher that runs the trials of suspects with the
// request's content in a region, or "" if the region has no dispatcher.
func trialHost(view *localstate.View, region model.Region, req Request) model.HostID {
	var hosts []string
	for _, host := range dispatchers(view, req.Service, region) {
		hosts = append(hosts, string(host.Host))
	}
	if len(hosts) == 0 {
		return ""
	}
	hash := contentHash(req)
	return model.HostID(rendezvous.Rank(string(hash[:]), hosts)[0])
}

// afterRun records the outcome of a run and notifies the entry hosts. After a
// crash it waits for the acknowledgements of the region before it returns, so
// that every host of the region has the notice before the response allows a
// resend.
func (d *Daemon) afterRun(req Request, response Response) {
	notice := d.dispatcher.guard.recordOutcome(req, response.Code, response.ranExclusive, time.Now())
	if notice == nil {
		return
	}
	d.logStatus(req, response, notice)
	view := d.watcher.Current()
	sameRegion := func(h model.HostRecord) bool { return h.Region == d.settings.Host.Region }
	if notice.Cleared {
		go d.notify(view, notice, sameRegion)
		return
	}
	if notice.Convicted {
		go d.notify(view, notice, func(h model.HostRecord) bool { return !sameRegion(h) })
	}
	d.notify(view, notice, sameRegion)
}

func (d *Daemon) logStatus(req Request, response Response, notice *wirepb.SuspectNotice) {
	server := events.Server("")
	if n := len(response.Hops); n > 0 {
		server = events.Server(model.ServerID(response.Hops[n-1]))
	}
	service := events.Service(req.Service)
	switch {
	case notice.Cleared:
		d.log.Emit(events.RequestCleared, service)
	case notice.Convicted:
		d.log.Emit(events.RequestConvicted, service, server)
	default:
		d.log.Emit(events.RequestSuspected, service, server, events.Count(1))
	}
}

// notify sends a notice to the hosts that include selects, and waits at most
// noticeTimeout for their acknowledgements.
func (d *Daemon) notify(view *localstate.View, notice *wirepb.SuspectNotice, include func(model.HostRecord) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	env := &wirepb.Envelope{Body: &wirepb.Envelope_SuspectNotice{SuspectNotice: notice}}
	var calls sync.WaitGroup
	for _, host := range slices.Clone(view.Hosts) {
		if host.Host != d.settings.Host.ID && include(host) && acceptsCalls(host) {
			calls.Go(func() { _, _ = d.peers.Call(ctx, host.PeerAddress, env) })
		}
	}
	calls.Wait()
}

// handleNotice applies a notice and acknowledges it.
func (d *Daemon) handleNotice(notice *wirepb.SuspectNotice) *wirepb.Envelope {
	d.dispatcher.guard.apply(notice, time.Now())
	return &wirepb.Envelope{Body: &wirepb.Envelope_SuspectAck{SuspectAck: &wirepb.SuspectAck{}}}
}
