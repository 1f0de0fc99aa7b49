package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// update is a changed record that is still disseminated.
type update struct {
	host model.HostID
	sent int
}

// queueUpdate queues a record to be piggybacked and pushed.
func (m *Members) queueUpdate(host model.HostID) {
	m.unpushed = append(m.unpushed, host)
	for _, u := range m.updates {
		if u.host == host {
			u.sent = 0
			return
		}
	}
	m.updates = append(m.updates, &update{host: host})
}

// messageTo returns a message with the changed records and, if the receiver is
// suspect or dead in this view, its record, so that it can refute it.
func (m *Members) messageTo(to model.HostRecord) Message {
	message := Message{From: m.self, Digest: m.Digest(), Records: m.piggyback(to.Host)}
	if record, ok := m.records[to.Host]; ok && precedence(record.State) > 0 {
		message.Records = append(message.Records, record)
	}
	return message
}

// piggyback returns the records that were sent the fewest times and counts
// them as sent.
func (m *Members) piggyback(to model.HostID) []model.HostRecord {
	if len(m.updates) == 0 {
		return nil
	}
	slices.SortStableFunc(m.updates, func(a, b *update) int { return cmp.Compare(a.sent, b.sent) })
	var records []model.HostRecord
	for _, u := range m.updates {
		if len(records) == m.cfg.MaxPiggyback {
			break
		}
		u.sent++
		record, ok := m.records[u.host]
		// The sender's own record is in every message, and the receiver
		// has its own.
		if ok && u.host != to {
			records = append(records, record)
		}
	}
	limit := m.cfg.RetransmitFactor * bits.Len(uint(len(m.records)+1))
	m.updates = slices.DeleteFunc(m.updates, func(u *update) bool { return u.sent >= limit })
	return records
}

// push sends the records that changed since the last push to random members.
func (m *Members) push() []Action {
	if len(m.unpushed) == 0 {
		return nil
	}
	hosts := m.unpushed
	m.unpushed = nil
	sortHosts(hosts)
	hosts = slices.Compact(hosts)
	var actions []Action
	for _, to := range m.randomMembers(m.cfg.PushFanout, "") {
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
