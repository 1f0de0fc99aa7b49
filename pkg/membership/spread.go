package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// rumor is a changed record that is still passed on.
type rumor struct {
	host model.HostID
	sent int
}

// announce queues a record to be piggybacked and pushed.
func (m *Members) announce(host model.HostID) {
	m.unsent = append(m.unsent, host)
	for _, r := range m.spread {
		if r.host == host {
			r.sent = 0
			return
		}
	}
	m.spread = append(m.spread, &rumor{host: host})
}

// messageTo returns a message with the changed records and, if the receiver
// is judged suspect or dead here, that judgement, so that it can refute it.
func (m *Members) messageTo(to model.HostRecord) Message {
	message := Message{From: m.self, Digest: m.Digest(), Records: m.piggyback(to.Host)}
	if held, ok := m.records[to.Host]; ok && judgement(held.State) > 0 {
		message.Records = append(message.Records, held)
	}
	return message
}

// piggyback returns the records that were sent the fewest times and counts
// them as sent.
func (m *Members) piggyback(to model.HostID) []model.HostRecord {
	if len(m.spread) == 0 {
		return nil
	}
	slices.SortStableFunc(m.spread, func(a, b *rumor) int { return cmp.Compare(a.sent, b.sent) })
	var records []model.HostRecord
	for _, r := range m.spread {
		if len(records) == m.cfg.MaxPiggyback {
			break
		}
		r.sent++
		record, ok := m.records[r.host]
		// The sender's own record is in every message, and the receiver
		// knows its own.
		if ok && r.host != to {
			records = append(records, record)
		}
	}
	limit := m.cfg.RetransmitFactor * bits.Len(uint(len(m.records)+1))
	m.spread = slices.DeleteFunc(m.spread, func(r *rumor) bool { return r.sent >= limit })
	return records
}

// push sends the records that changed since the last push to random members.
func (m *Members) push() []Action {
	if len(m.unsent) == 0 {
		return nil
	}
	hosts := m.unsent
	m.unsent = nil
	sortHosts(hosts)
	hosts = slices.Compact(hosts)
	var actions []Action
	for _, to := range m.pick(m.cfg.PushFanout, "") {
		message := Message{From: m.self, Digest: m.Digest()}
		for _, host := range hosts {
			if r, ok := m.records[host]; ok && len(message.Records) < m.cfg.MaxPiggyback {
				message.Records = append(message.Records, r)
			}
		}
		actions = append(actions, SendRecords{To: to, Message: message})
	}
	return actions
}
