package wire

import (
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// RecordToWire converts a host record to its message.
func RecordToWire(r model.HostRecord) *wirepb.HostRecord {
	return &wirepb.HostRecord{
		Host:             string(r.Host),
		Region:           string(r.Region),
		FailureDomain:    string(r.FailureDomain),
		CallerAddress:    r.CallerAddress,
		PeerAddress:      r.PeerAddress,
		AgentAddress:     r.AgentAddress,
		LookupAddress:    r.LookupAddress,
		Incarnation:      uint64(r.Incarnation),
		Sequence:         r.Sequence,
		State:            wirepb.HostState(r.State),
		EntryIncarnation: uint64(r.EntryIncarnation),
	}
}

// RecordFromWire converts a message to a host record.
func RecordFromWire(r *wirepb.HostRecord) model.HostRecord {
	return model.HostRecord{
		Host:             model.HostID(r.GetHost()),
		Region:           model.Region(r.GetRegion()),
		FailureDomain:    model.FailureDomain(r.GetFailureDomain()),
		CallerAddress:    r.GetCallerAddress(),
		PeerAddress:      r.GetPeerAddress(),
		AgentAddress:     r.GetAgentAddress(),
		LookupAddress:    r.GetLookupAddress(),
		Incarnation:      model.Incarnation(r.GetIncarnation()),
		Sequence:         r.GetSequence(),
		State:            model.HostState(r.GetState()),
		EntryIncarnation: model.Incarnation(r.GetEntryIncarnation()),
	}
}
