package membership

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// probe is one probe that waits for its outcome.
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
	m.counter++
	p := &probe{number: m.counter, target: target, deadline: now.Add(m.cfg.ProbeTimeout)}
	m.probes[p.number] = p
	return []Action{SendProbe{Number: p.number, To: target, Message: m.messageTo(target)}}
}

// nextTarget walks through all members before it probes one again, which
// bounds the time to the first probe of a dead member.
func (m *Members) nextTarget() (model.HostRecord, bool) {
	for range 2 {
		for len(m.order) > 0 {
			host := m.order[len(m.order)-1]
			m.order = m.order[:len(m.order)-1]
			if r, ok := m.records[host]; ok && !gone(r.State) {
				return r, true
			}
		}
		m.order = append(m.order, m.members()...)
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return model.HostRecord{}, false
}

// ProbeAnswered takes the reply to a probe. A reply of another host, which
// has taken over the address, counts as missed.
func (m *Members) ProbeAnswered(now time.Time, number uint64, reply Message) []Action {
	p := m.probes[number]
	if p != nil && reply.From.Host != p.target.Host {
		return m.ProbeMissed(now, number)
	}
	delete(m.probes, number)
	return m.Received(now, reply)
}

// ProbeMissed takes the failure of a probe and starts indirect ones.
func (m *Members) ProbeMissed(now time.Time, number uint64) []Action {
	p := m.probes[number]
	if p == nil || p.indirect {
		return nil
	}
	helpers := m.pick(m.cfg.IndirectProbes, p.target.Host)
	if len(helpers) == 0 {
		m.suspect(now, p)
		return nil
	}
	p.indirect = true
	p.pending = len(helpers)
	// The helper needs a probe timeout of its own, plus the way to it.
	p.deadline = now.Add(2 * m.cfg.ProbeTimeout)
	var actions []Action
	for _, via := range helpers {
		actions = append(actions, SendIndirectProbe{Number: number, Via: via, Target: p.target})
	}
	return actions
}

// IndirectAnswered takes the outcome of one indirect probe.
func (m *Members) IndirectAnswered(now time.Time, number uint64, alive bool) {
	p := m.probes[number]
	if p == nil || !p.indirect {
		return
	}
	if alive {
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

// suspect marks the target of a failed probe unless it has changed since.
func (m *Members) suspect(now time.Time, p *probe) {
	delete(m.probes, p.number)
	r, ok := m.records[p.target.Host]
	if !ok || r.Newer(p.target) || judgement(r.State) > 0 {
		return
	}
	r.State = model.HostSuspect
	m.put(now, r)
}

// Received takes the records of a probe, a push, a reply or an exchange. A
// probe or push is answered with Reply after this.
func (m *Members) Received(now time.Time, message Message) []Action {
	m.apply(now, message.From)
	for _, r := range message.Records {
		m.apply(now, r)
	}
	return m.syncIfDifferent(now, message)
}

// Reply returns the answer to a received message.
func (m *Members) Reply(message Message) Message {
	if message.WantAll {
		reply := m.full(false)
		if held, ok := m.records[message.From.Host]; ok && gone(held.State) {
			reply.Records = append(reply.Records, held)
		}
		return reply
	}
	return m.messageTo(message.From)
}

// syncIfDifferent asks for all records if the views still differ when no
// change is spreading: some change was lost on its way.
func (m *Members) syncIfDifferent(now time.Time, message Message) []Action {
	if message.Digest == m.Digest() || now.Sub(m.lastChange) < m.cfg.SyncQuietPeriod || now.Before(m.nextSync) {
		return nil
	}
	to, ok := m.records[message.From.Host]
	if !ok || gone(to.State) {
		return nil
	}
	m.nextSync = now.Add(m.cfg.SyncInterval)
	return []Action{SendFullExchange{To: to, Message: m.full(true)}}
}
