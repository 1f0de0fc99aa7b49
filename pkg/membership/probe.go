package membership

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// probe is a probe without an outcome so far.
type probe struct {
	number   uint64
	target   model.HostRecord
	deadline time.Time
	indirect bool
	// pending is the number of indirect probes without an outcome.
	pending int
}

// startProbe probes the next member of the shuffled order.
func (m *Members) startProbe(now time.Time) []Action {
	target, ok := m.nextTarget()
	if !ok {
		return nil
	}
	m.lastProbe++
	p := &probe{number: m.lastProbe, target: target, deadline: now.Add(m.cfg.ProbeTimeout)}
	m.probes[p.number] = p
	return []Action{SendProbe{Number: p.number, To: target, Message: m.messageTo(target)}}
}

// nextTarget returns the next member to probe. It returns all members before it
// repeats one, which bounds the time to the first probe of a dead member.
func (m *Members) nextTarget() (model.HostRecord, bool) {
	for range 2 {
		for len(m.probeOrder) > 0 {
			host := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if r, ok := m.records[host]; ok && !deadOrLeft(r.State) {
				return r, true
			}
		}
		m.probeOrder = append(m.probeOrder, m.members()...)
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return model.HostRecord{}, false
}

// ProbeAnswered processes the reply to a probe. If the reply is from another
// host, which now has the address, the probe counts as missed.
func (m *Members) ProbeAnswered(now time.Time, number uint64, reply Message) []Action {
	p := m.probes[number]
	if p != nil && reply.From.Host != p.target.Host {
		return m.ProbeMissed(now, number)
	}
	delete(m.probes, number)
	return m.Received(now, reply)
}

// ProbeMissed processes the failure of a probe and starts indirect ones.
func (m *Members) ProbeMissed(now time.Time, number uint64) []Action {
	p := m.probes[number]
	if p == nil || p.indirect {
		return nil
	}
	helpers := m.randomMembers(m.cfg.IndirectProbes, p.target.Host)
	if len(helpers) == 0 {
		m.suspect(now, p)
		return nil
	}
	p.indirect = true
	p.pending = len(helpers)
	// The helper needs a full probe timeout, in addition to the time of the
	// request to it and its reply.
	p.deadline = now.Add(2 * m.cfg.ProbeTimeout)
	var actions []Action
	for _, via := range helpers {
		actions = append(actions, SendIndirectProbe{Number: number, Via: via, Target: p.target})
	}
	return actions
}

// IndirectAnswered processes the outcome of one indirect probe.
func (m *Members) IndirectAnswered(now time.Time, number uint64, reachable bool) {
	p := m.probes[number]
	if p == nil || !p.indirect {
		return
	}
	if reachable {
		delete(m.probes, number)
		return
	}
	p.pending--
	if p.pending == 0 {
		m.suspect(now, p)
	}
}

// expireProbes treats overdue probes as missed.
func (m *Members) expireProbes(now time.Time) []Action {
	var overdue []*probe
	for _, p := range m.probes {
		if !now.Before(p.deadline) {
			overdue = append(overdue, p)
		}
	}
	slices.SortFunc(overdue, func(a, b *probe) int { return int(a.number) - int(b.number) })
	var actions []Action
	for _, p := range overdue {
		if p.indirect {
			m.suspect(now, p)
			continue
		}
		actions = append(actions, m.ProbeMissed(now, p.number)...)
	}
	return actions
}

// suspect marks the target of a failed probe as suspect, unless its record has
// changed since.
func (m *Members) suspect(now time.Time, p *probe) {
	delete(m.probes, p.number)
	r, ok := m.records[p.target.Host]
	if !ok || r.Newer(p.target) || precedence(r.State) > 0 {
		return
	}
	r.State = model.HostSuspect
	m.setRecord(now, r)
}

// Received applies the records of a probe, a push, a reply or an exchange. The
// reply to a probe or push is made by Reply after this.
func (m *Members) Received(now time.Time, message Message) []Action {
	m.apply(now, message.From)
	for _, r := range message.Records {
		m.apply(now, r)
	}
	return m.syncIfDifferent(now, message)
}

// Reply returns the reply to a received message.
func (m *Members) Reply(message Message) Message {
	if message.WantAll {
		reply := m.fullMessage(false)
		if record, ok := m.records[message.From.Host]; ok && deadOrLeft(record.State) {
			reply.Records = append(reply.Records, record)
		}
		return reply
	}
	return m.messageTo(message.From)
}

// syncIfDifferent requests all records if the views still differ while no change
// is being disseminated: a change was lost in transit.
func (m *Members) syncIfDifferent(now time.Time, message Message) []Action {
	if message.Digest == m.Digest() || now.Sub(m.lastChange) < m.cfg.SyncQuietPeriod || now.Before(m.nextSync) {
		return nil
	}
	to, ok := m.records[message.From.Host]
	if !ok || deadOrLeft(to.State) {
		return nil
	}
	m.nextSync = now.Add(m.cfg.SyncInterval)
	return []Action{SendFullExchange{To: to, Message: m.fullMessage(true)}}
}
