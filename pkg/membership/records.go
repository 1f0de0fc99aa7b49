package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Records returns this host's own record and all others, sorted by host ID. Those
// of dead and left hosts are included until they are pruned.
func (m *Members) Records() []model.HostRecord {
	records := make([]model.HostRecord, 0, len(m.records)+1)
	records = append(records, m.self)
	for _, r := range m.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b model.HostRecord) int { return compareHosts(a.Host, b.Host) })
	return records
}

// Record returns the record of one host.
func (m *Members) Record(host model.HostID) (model.HostRecord, bool) {
	if host == m.self.Host {
		return m.self, true
	}
	r, ok := m.records[host]
	return r, ok
}

// Live returns the records of this host and of all that are neither suspect,
// dead nor left, sorted by host ID.
func (m *Members) Live() []model.HostRecord {
	records := m.Records()
	return slices.DeleteFunc(records, func(r model.HostRecord) bool {
		return r.State == model.HostSuspect || deadOrLeft(r.State)
	})
}

// deadOrLeft reports whether the state is one in which hosts are not probed.
func deadOrLeft(s model.HostState) bool { return s == model.HostDead || s == model.HostLeft }

// precedence orders records of equal incarnation and sequence: a state that other
// hosts assign (suspect, dead) or a leave overrides the state that the host
// announced before. It is 0 for the states that a running host announces.
func precedence(s model.HostState) int {
	switch s {
	case model.HostSuspect:
		return 1
	case model.HostDead:
		return 2
	case model.HostLeft:
		return 3
	default:
		return 0
	}
}

func supersedes(a, b model.HostRecord) bool {
	if a.Newer(b) || b.Newer(a) {
		return a.Newer(b)
	}
	return precedence(a.State) > precedence(b.State)
}

// apply merges one record and reports whether it changed the view.
func (m *Members) apply(now time.Time, r model.HostRecord) bool {
	if r.Host == "" {
		return false
	}
	if r.Host == m.self.Host {
		m.applySelf(now, r)
		return false
	}
	old, known := m.records[r.Host]
	if known && !supersedes(r, old) {
		return false
	}
	m.setRecord(now, r)
	return true
}

// applySelf handles a record of this host in the view of another.
func (m *Members) applySelf(now time.Time, r model.HostRecord) {
	switch {
	case r.Incarnation > m.self.Incarnation:
		m.superseded = true
	case r.Incarnation < m.self.Incarnation || m.self.State == model.HostLeft:
	case r.Sequence > m.self.Sequence, r.Sequence == m.self.Sequence && precedence(r.State) > 0:
		m.refute(now, r.Sequence)
	}
}

// refute announces this host with a sequence above that of the refuted record.
func (m *Members) refute(now time.Time, sequence uint64) {
	m.self.Sequence = max(sequence, m.self.Sequence) + 1
	m.selfChanged(now)
}

// setRecord stores a record and starts or stops its timers.
func (m *Members) setRecord(now time.Time, r model.HostRecord) {
	old, known := m.records[r.Host]
	if known && !deadOrLeft(old.State) {
		m.digest ^= hash(old)
	}
	if !deadOrLeft(r.State) {
		m.digest ^= hash(r)
	}
	if !known || deadOrLeft(old.State) != deadOrLeft(r.State) {
		m.liveStale = true
	}
	m.records[r.Host] = r
	delete(m.suspects, r.Host)
	delete(m.tombstones, r.Host)
	switch {
	case r.State == model.HostSuspect:
		m.suspects[r.Host] = now.Add(m.cfg.SuspectTimeout)
	case deadOrLeft(r.State):
		m.tombstones[r.Host] = now.Add(m.cfg.DeadRetention)
	}
	m.changed(now, r.Host)
}

func (m *Members) changed(now time.Time, host model.HostID) {
	m.version++
	m.lastChange = now
	m.queueUpdate(host)
}

func (m *Members) selfChanged(now time.Time) { m.changed(now, m.self.Host) }

// expireSuspects declares suspects dead that did not refute in time.
func (m *Members) expireSuspects(now time.Time) {
	var overdue []model.HostID
	for host, deadline := range m.suspects {
		if !now.Before(deadline) {
			overdue = append(overdue, host)
		}
	}
	sortHosts(overdue)
	for _, host := range overdue {
		r := m.records[host]
		r.State = model.HostDead
		m.setRecord(now, r)
	}
}

// prune removes the records of hosts that have been dead or left for DeadRetention.
func (m *Members) prune(now time.Time) {
	for host, deadline := range m.tombstones {
		if !now.Before(deadline) {
			delete(m.tombstones, host)
			delete(m.records, host)
			m.version++
		}
	}
}

// fullMessage returns a message with the records of all hosts that are not dead
// and have not left. The others are omitted: forwarded at every join, they would
// never be pruned on all hosts.
func (m *Members) fullMessage(wantAll bool) Message {
	message := Message{From: m.self, Digest: m.Digest(), WantAll: wantAll}
	for _, host := range m.members() {
		message.Records = append(message.Records, m.records[host])
	}
	return message
}

// Digest returns a summary of the records of all hosts that are not dead and have
// not left; equal views have equal digests.
func (m *Members) Digest() uint64 { return m.digest ^ hash(m.self) }

func hash(r model.HostRecord) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(r.Host))
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[0:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint64(numbers[8:], r.Sequence)
	binary.LittleEndian.PutUint64(numbers[16:], uint64(r.State))
	_, _ = d.Write(numbers[:])
	return d.Sum64()
}

// members returns the other hosts that are not dead and have not left, sorted.
func (m *Members) members() []model.HostID {
	if m.liveStale {
		m.liveStale = false
		m.live = m.live[:0]
		for host, r := range m.records {
			if !deadOrLeft(r.State) {
				m.live = append(m.live, host)
			}
		}
		sortHosts(m.live)
	}
	return m.live
}

// randomMembers returns up to n random members other than the excluded one.
func (m *Members) randomMembers(n int, except model.HostID) []model.HostRecord {
	members := m.members()
	var picked []model.HostRecord
	chosen := make(map[model.HostID]bool, n)
	// Random draws are cheaper than a shuffle of all members because n is small.
	for draws := 0; len(picked) < n && draws < 8*n && len(members) > 0; draws++ {
		host := members[m.rng.Intn(len(members))]
		if host == except || chosen[host] {
			continue
		}
		chosen[host] = true
		picked = append(picked, m.records[host])
	}
	return picked
}

func sortHosts(hosts []model.HostID) { slices.SortFunc(hosts, compareHosts) }

func compareHosts(a, b model.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
