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

// noticeTimeout bounds the wait for the acknowledgements of a notice.
const noticeTimeout = 200 * time.Millisecond

// crashGuard keeps requests that crash backend servers from running again. It
// is safe for concurrent use.
type crashGuard struct {
	mu    sync.Mutex
	table *quarantine.Table
	// trials are the suspects that run alone on a server of this host now.
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

// standing returns the standing of a request's content. The body is hashed
// only while the table has an entry.
func (g *crashGuard) standing(req Request, now time.Time) quarantine.Status {
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

// admit decides at the moment of dispatch whether a request may run, and
// whether it must run alone on a server. A request that may run alone is to be
// ended with leave. trialHost is called for suspects only.
func (g *crashGuard) admit(req Request, trialHost func() bool, now time.Time) (alone bool, refused *result.Error) {
	switch g.standing(req, now) {
	case quarantine.Clear:
		return false, nil
	case quarantine.Convicted:
		return false, result.Errorf(result.Quarantined, "its content crashed backend servers")
	}
	if !trialHost() {
		return false, result.Errorf(result.NotDispatcher, "another host of the region tries suspects of this content")
	}
	hash := contentHash(req)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.trials[hash] {
		return false, result.Errorf(result.NoCapacity, "a suspect of the same content is running")
	}
	g.trials[hash] = true
	return true, nil
}

func (g *crashGuard) leave(req Request) {
	hash := contentHash(req)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.trials, hash)
}

// judge updates the standing after a run and returns the notice that the
// entry hosts must get, or nil.
func (g *crashGuard) judge(req Request, code result.Code, alone bool, now time.Time) *wirepb.SuspectNotice {
	if code != result.ServerCrashed && !alone {
		return nil
	}
	hash := contentHash(req)
	notice := &wirepb.SuspectNotice{ContentHash: hash[:]}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case code == result.ServerCrashed:
		notice.Convicted = g.table.Crashed(hash, alone, now) == quarantine.Convicted
	case code == result.Served && g.table.Completed(hash, alone, now):
		notice.Cleared = true
	default:
		return nil
	}
	return notice
}

// apply takes over a notice of another host.
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

// runsTrials reports whether this host runs the suspects of the request's
// content alone. One host per region does, so that copies of a suspect that
// are resent to several hosts do not crash a server each.
func runsTrials(view *localstate.View, self model.HostID, region model.Region, req Request) bool {
	return view != nil && trialHost(view, region, req) == self
}

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

// afterRun judges a finished run and notifies the entry hosts. The notice of a
// crash is acknowledged by the region before the answer is given, so that a
// resend meets it at any host.
func (d *Daemon) afterRun(req Request, answer Response) {
	notice := d.dispatcher.guard.judge(req, answer.Code, answer.ranAlone, time.Now())
	if notice == nil {
		return
	}
	d.logStanding(req, answer, notice)
	view := d.watcher.Current()
	own := func(h model.HostRecord) bool { return h.Region == d.settings.Host.Region }
	if notice.Cleared {
		go d.notify(view, notice, own)
		return
	}
	if notice.Convicted {
		go d.notify(view, notice, func(h model.HostRecord) bool { return !own(h) })
	}
	d.notify(view, notice, own)
}

func (d *Daemon) logStanding(req Request, answer Response, notice *wirepb.SuspectNotice) {
	server := events.Server("")
	if n := len(answer.Hops); n > 0 {
		server = events.Server(model.ServerID(answer.Hops[n-1]))
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

// notify sends a notice to the chosen hosts and waits for their
// acknowledgements, at most noticeTimeout.
func (d *Daemon) notify(view *localstate.View, notice *wirepb.SuspectNotice, to func(model.HostRecord) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	env := &wirepb.Envelope{Body: &wirepb.Envelope_SuspectNotice{SuspectNotice: notice}}
	var calls sync.WaitGroup
	for _, host := range slices.Clone(view.Hosts) {
		if host.Host != d.settings.Host.ID && to(host) && answersCalls(host) {
			calls.Go(func() { _, _ = d.peers.Call(ctx, host.PeerAddress, env) })
		}
	}
	calls.Wait()
}

// noticeReply applies a notice and acknowledges it.
func (d *Daemon) noticeReply(notice *wirepb.SuspectNotice) *wirepb.Envelope {
	d.dispatcher.guard.apply(notice, time.Now())
	return &wirepb.Envelope{Body: &wirepb.Envelope_SuspectAck{SuspectAck: &wirepb.SuspectAck{}}}
}
