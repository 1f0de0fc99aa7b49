package agent

import (
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/configreplica"
	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

func recordsToWire(m membership.Message) []*wirepb.HostRecord {
	records := []*wirepb.HostRecord{wire.RecordToWire(m.From)}
	for _, r := range m.Records {
		records = append(records, wire.RecordToWire(r))
	}
	return records
}

// messageFromWire converts the membership part of a probe or its reply. The first
// record is the sender's.
func messageFromWire(records []*wirepb.HostRecord, digest uint64, wantAll bool) membership.Message {
	m := membership.Message{Digest: digest, WantAll: wantAll}
	for i, r := range records {
		if i == 0 {
			m.From = wire.RecordFromWire(r)
			continue
		}
		m.Records = append(m.Records, wire.RecordFromWire(r))
	}
	return m
}

func metaToWire(m configreplica.Meta) *wirepb.ConfigMeta {
	return &wirepb.ConfigMeta{
		AcceptedUnixMillis: m.AcceptedUnixMillis,
		WeightsBefore:      m.WeightsBefore,
		WriteId:            m.WriteID,
	}
}

func metaFromWire(m *wirepb.ConfigMeta) configreplica.Meta {
	return configreplica.Meta{
		AcceptedUnixMillis: m.GetAcceptedUnixMillis(),
		WeightsBefore:      m.GetWeightsBefore(),
		WriteID:            m.GetWriteId(),
	}
}

func deltaToWire(d configreplica.Delta, subtree []model.HostID) *wirepb.ConfigPush {
	push := &wirepb.ConfigPush{
		BaseGeneration: uint64(d.Base),
		Generation:     uint64(d.Generation),
		Removed:        d.Removed,
		Digest:         d.Digest,
		Meta:           metaToWire(d.Meta),
		Subtree:        hostsToWire(subtree),
	}
	for _, s := range d.Changed {
		push.Changed = append(push.Changed, &wirepb.Section{Name: s.Name, Text: s.Text, After: s.After})
	}
	return push
}

func deltaFromWire(push *wirepb.ConfigPush) configreplica.Delta {
	d := configreplica.Delta{
		Base:       model.Generation(push.GetBaseGeneration()),
		Generation: model.Generation(push.GetGeneration()),
		Removed:    push.GetRemoved(),
		Digest:     push.GetDigest(),
		Meta:       metaFromWire(push.GetMeta()),
	}
	for _, s := range push.GetChanged() {
		d.Changed = append(d.Changed, configreplica.Section{Name: s.Name, Text: s.Text, After: s.After})
	}
	return d
}

func hostsToWire(hosts []model.HostID) []string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = string(h)
	}
	return names
}

func hostsFromWire(names []string) []model.HostID {
	hosts := make([]model.HostID, len(names))
	for i, name := range names {
		hosts[i] = model.HostID(name)
	}
	return hosts
}
