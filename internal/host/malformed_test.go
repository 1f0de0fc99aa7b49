package host

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
)

// textDecoder takes every entry for a server whose ID is its name.
type textDecoder struct{}

func (textDecoder) Config(o inventory.Object) (*fleet.Config, error) {
	if len(o.Body) == 0 {
		return nil, errors.New("no body")
	}
	return fleet.NewConfig(o.Position.Revision, nil, nil, fleet.Limits{}), nil
}

func (textDecoder) Server(o inventory.Object) (fleet.BackendServer, error) {
	if string(o.Body) == "panic" {
		panic("odd entry")
	}
	return fleet.BackendServer{ID: o.Name, Service: "desk", Slots: 1, Address: "127.0.0.1:1"}, nil
}

func newTestHost(protocol Protocol) *Host {
	s := &Settings{ID: "h-0", Region: "west", Domain: "west-a", RegionOf: map[string]string{"west-a": "west"}}
	return New(Base{Settings: s, Decoder: textDecoder{}, Protocol: protocol, Metrics: metrics.New(),
		Log: events.New(io.Discard, logrus.InfoLevel, time.Now)})
}

func beat(id string) *wirepb.HostBeat {
	return &wirepb.HostBeat{Id: id, Incarnation: 1, Region: "west", FailureDomain: "west-a", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", State: wirepb.BeatState_BEAT_STATE_READY}
}

// malformedHeartbeats are messages that no host of this version sends.
func malformedHeartbeats() map[string]*wirepb.Heartbeat {
	const odd = math.MaxUint32
	return map[string]*wirepb.Heartbeat{
		"empty":              {},
		"unknown collection": {Self: beat("h-1"), Collections: []*wirepb.CollectionState{{Collection: odd, AsOf: 7, Digest: 7}, {Collection: 3, AsOf: 7}}},
		"unknown change":     {Self: beat("h-1"), Changes: []*wirepb.CollectionChange{{Collection: odd, AsOf: 7, Objects: []*wirepb.StoredObject{{Name: "a"}}}}},
		"unknown state":      {Self: &wirepb.HostBeat{Id: "h-1", PeerAddress: "x", State: odd / 2, Capacity: odd, AgeMillis: odd}},
		"unknown server":     {Self: beat("h-1"), Uses: []*wirepb.ServerUse{{Server: "none", Running: odd, Held: []uint64{1}}}},
		"nothing inside":     {Self: beat("h-1"), Others: []*wirepb.HostBeat{nil, {}}, Suspects: []*wirepb.SuspectNotice{nil, {ContentHash: []byte{1}}}},
	}
}

// Guards against a malformed message of a peer that ends the process.
func TestMalformedMessagesEndNothing(t *testing.T) {
	for name, message := range malformedHeartbeats() {
		t.Run(name, func(t *testing.T) {
			h := newTestHost(nil)
			h.handleHeartbeat(&wirepb.Heartbeat{Self: beat("h-1")})
			h.handleHeartbeat(message)
			due, _ := h.duePulls(time.Now().Add(time.Minute))
			for _, pulls := range due {
				for _, p := range pulls {
					t.Errorf("%s is pulled", p.collection)
				}
			}
		})
	}
	t.Run("unknown collection in a snapshot", func(t *testing.T) {
		h := newTestHost(nil)
		h.applySnapshots(&wirepb.SnapshotReply{Collections: []*wirepb.CollectionSnapshot{
			{Collection: math.MaxUint32, AsOf: 9, Objects: []*wirepb.StoredObject{{Name: "a"}}},
			{Collection: uint32(inventory.Servers), AsOf: 9, Objects: []*wirepb.StoredObject{{Name: "good", Revision: 3}}},
		}}, "127.0.0.1:1", nil)
		if len(h.reader.View().Servers) != 1 {
			t.Error("the other collection of the reply is not applied")
		}
	})
}

// Guards against an entry that makes the decoder panic: it is skipped like any
// other odd entry, and the others are applied.
func TestPanicOfTheDecoderSkipsTheEntry(t *testing.T) {
	h := newTestHost(nil)
	h.applySnapshots(&wirepb.SnapshotReply{Collections: []*wirepb.CollectionSnapshot{
		{Collection: uint32(inventory.Servers), AsOf: 9, Objects: []*wirepb.StoredObject{{Name: "odd", Revision: 2, Body: []byte("panic")}, {Name: "good", Revision: 3}}},
	}}, "127.0.0.1:1", nil)
	if servers := h.reader.View().Servers; len(servers) != 1 || servers["good"].ID != "good" {
		t.Errorf("servers %v, want the good one", servers)
	}
}

// panickingProtocol panics on every call.
type panickingProtocol struct{ Protocol }

func (panickingProtocol) DecodeCall(*http.Request) (Call, error) { panic("unexpected") }

func (panickingProtocol) DecodeLookup(*http.Request) (Lookup, bool) { panic("unexpected") }

// Guards against a fault in the handling of one request that ends the process or
// leaves the caller without a response.
func TestPanicInOneRequestEndsOnlyThatRequest(t *testing.T) {
	h := newTestHost(panickingProtocol{})
	h.applySnapshots(&wirepb.SnapshotReply{Collections: []*wirepb.CollectionSnapshot{
		{Collection: uint32(inventory.Configuration), AsOf: 9, Objects: []*wirepb.StoredObject{{Name: "main", Revision: 1, Body: []byte("x")}}},
	}}, "127.0.0.1:1", nil)
	req := &callers.Request{Request: httptest.NewRequest(http.MethodGet, "/", nil), Received: time.Now()}
	if resp := h.serveCall(context.Background(), req); resp.Status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", resp.Status)
	}
	if resp := h.serveLookup(context.Background(), req); resp.Status != http.StatusInternalServerError {
		t.Errorf("status %d for a lookup, want 500", resp.Status)
	}
}

// Guards against datagrams that end the process or the loop that receives them.
func FuzzReceiveDatagram(f *testing.F) {
	for _, message := range malformedHeartbeats() {
		seed, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	h := newTestHost(nil)
	// Without a log, a panic is not recovered and fails the test.
	h.Log = nil
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		var message wirepb.Heartbeat
		if proto.Unmarshal(datagram, &message) == nil {
			h.handleHeartbeat(&message)
		}
	})
}
