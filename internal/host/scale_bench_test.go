package host

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

// fleetSize is a size at which the costs of a host are measured.
type fleetSize struct{ hosts, servers int }

var fleetSizes = []fleetSize{{22, 32}, {107, 192}, {195, 900}, {1000, 4600}}

func (s fleetSize) String() string { return fmt.Sprintf("hosts=%d", s.hosts) }

// newSizedHost returns a host of a fleet of that size, with its view applied.
func newSizedHost(size fleetSize) (*Host, *inventory.View) {
	const regions = 3
	h := newTestHost(nil)
	h.Settings.ID, h.Settings.Region, h.Settings.Domain = "h-0", "r-0", "d-0"
	h.Settings.RegionOf = map[string]string{"d-0": "r-0", "d-1": "r-1", "d-2": "r-2"}
	for i := range size.hosts {
		capacity := 17
		if i%7 == 0 {
			capacity = 86
		}
		h.roster.Receive(time.Now().Add(time.Hour), roster.Heartbeat{ID: fmt.Sprint("h-", i), Region: fmt.Sprint("r-", i%regions), Domain: "d", PeerAddress: fmt.Sprint(i), State: roster.Ready, Capacity: capacity}, 0)
	}
	h.chosenForColdSince = time.Now().Add(-2 * coldSettleDelay)
	services := map[string]*fleet.Service{"desk": {Name: "desk", ColdRate: 3, ColdStart: 3 * time.Second}}
	view := &inventory.View{Config: fleet.NewConfig(1, nil, services, fleet.Limits{}), Servers: make(map[string]fleet.BackendServer)}
	for i := range size.servers {
		id := fmt.Sprint("i-", i)
		view.Servers[id] = fleet.BackendServer{ID: id, Service: "desk", Region: fmt.Sprint("r-", i%regions), Slots: 3, State: fleet.Ready, Address: "127.0.0.1:1"}
	}
	h.applyView(view)
	return h, view
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, size fleetSize)) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) { run(b, size) })
	}
}

// BenchmarkRequest measures the choice of a server for a request.
func BenchmarkRequest(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, size fleetSize) {
		h, _ := newSizedHost(size)
		for i := range b.N {
			job := &scheduler.Job{Class: "read", Service: "desk", Sticky: true, Target: time.Second, TargetAt: time.Now().Add(time.Second), Deadline: time.Now().Add(3 * time.Second),
				Object: placement.Object{Key: fmt.Sprint("object-", i%500), Origin: "r-0"}}
			if v, _ := h.dispatch(context.Background(), job); v.Server != "" {
				h.releaseJob(job)
			}
		}
	})
}

// BenchmarkHousekeep measures one round of housekeeping.
func BenchmarkHousekeep(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, size fleetSize) {
		h, _ := newSizedHost(size)
		for range b.N {
			h.housekeep(time.Now())
		}
	})
}

// BenchmarkHousekeepCold measures it while a tenth of the servers is cold.
func BenchmarkHousekeepCold(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, size fleetSize) {
		h, _ := newSizedHost(size)
		for i := range size.servers / 10 {
			h.scheduler.SetCold(fmt.Sprint("i-", i), time.Now().Add(time.Hour))
		}
		for range b.N {
			h.housekeep(time.Now())
		}
	})
}

// BenchmarkChange measures a pushed change of one server.
func BenchmarkChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, size fleetSize) {
		h, view := newSizedHost(size)
		batch := &wirepb.CollectionSnapshot{Collection: uint32(inventory.Servers), AsOf: 1}
		for id := range view.Servers {
			batch.Objects = append(batch.Objects, &wirepb.StoredObject{Name: id, Revision: 1})
		}
		h.applySnapshots(&wirepb.SnapshotReply{Collections: []*wirepb.CollectionSnapshot{batch}}, "x", nil)
		b.ResetTimer()
		for i := range b.N {
			before := h.reader.Mark(inventory.Servers)
			h.handleHeartbeat(&wirepb.Heartbeat{Self: beat("h-1"), Changes: []*wirepb.CollectionChange{{Collection: uint32(inventory.Servers), FromDigest: before.Digest, AsOf: uint64(i + 2),
				Objects: []*wirepb.StoredObject{{Name: fmt.Sprint("i-", i%size.servers), Revision: uint64(i + 2)}}}}})
		}
	})
}

// BenchmarkHeartbeat measures the receipt of a heartbeat and of a use report.
func BenchmarkHeartbeat(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, size fleetSize) {
		h, _ := newSizedHost(size)
		message := &wirepb.Heartbeat{Self: beat("h-1"), Collections: h.collectionStates(), Uses: []*wirepb.ServerUse{{Server: "i-1", Running: 1}}}
		for range b.N {
			h.handleHeartbeat(message)
		}
	})
}

// BenchmarkUseReport measures a report of the use of servers.
func BenchmarkUseReport(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, size fleetSize) {
		h, _ := newSizedHost(size)
		for range b.N {
			h.takeUseReport(time.Now())
		}
	})
}

// BenchmarkSendHeartbeats measures the messages of one interval.
func BenchmarkSendHeartbeats(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, size fleetSize) {
		h, _ := newSizedHost(size)
		for range b.N {
			h.nextHeartbeats(time.Now(), false)
		}
	})
}

// BenchmarkLookup measures the choice of the entry hosts for a lookup.
func BenchmarkLookup(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, size fleetSize) {
		h, _ := newSizedHost(size)
		for range b.N {
			h.entryAddresses(Lookup{Region: "r-0"})
		}
	})
}
