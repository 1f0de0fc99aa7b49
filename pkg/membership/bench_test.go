package membership_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

var sizes = []int{20, 100, 250, 1000, 6100}

// encodedBytes is the size of the message as a probe on the wire.
func encodedBytes(m membership.Message) int {
	probe := &wirepb.Probe{Generation: 1 << 40, WantAll: m.WantAll, Records: []*wirepb.HostRecord{wire.RecordToWire(m.From)}}
	for _, r := range m.Records {
		probe.Records = append(probe.Records, wire.RecordToWire(r))
	}
	const digestBytes = 10
	return proto.Size(probe) + digestBytes
}

// view returns a view of n hosts without changes that are still disseminated.
func view(n int) *membership.Members {
	f := newFleet(0, membership.DefaultConfig())
	m := membership.New(record(0, f.now), f.cfg, f.now, rand.New(rand.NewSource(1)))
	var all []model.HostRecord
	for i := 1; i < n; i++ {
		all = append(all, record(i, f.now))
	}
	m.Received(f.now, membership.Message{From: record(1, f.now), Records: all})
	for range 40 * (n/20 + 1) {
		m.Reply(membership.Message{From: record(1, f.now)})
	}
	return m
}

// BenchmarkProbe measures one probe interval of one host in a fleet without
// changes: five ticks, one probe sent and answered, one received and answered.
func BenchmarkProbe(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m, now := view(n), newFleet(0, membership.DefaultConfig()).now
			incoming := membership.Message{From: record(1, now), Digest: m.Digest()}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				for range 5 {
					now = now.Add(tickInterval)
					for _, a := range m.Tick(now) {
						if p, ok := a.(membership.SendProbe); ok {
							reply := membership.Message{From: p.To, Digest: m.Digest()}
							bytes += encodedBytes(p.Message) + encodedBytes(reply)
							m.ProbeAnswered(now, p.Number, reply)
						}
					}
				}
				m.Received(now, incoming)
				bytes += encodedBytes(incoming) + encodedBytes(m.Reply(incoming))
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
		})
	}
}

// BenchmarkChange measures the bytes that the fleet sends, per member, for one
// change of a host's state until its dissemination ends.
func BenchmarkChange(b *testing.B) {
	for _, n := range sizes[:3] {
		for _, fanout := range []int{1, 3, 5} {
			b.Run(fmt.Sprintf("members=%d/fanout=%d", n, fanout), func(b *testing.B) { benchChange(b, n, fanout) })
		}
	}
}

func benchChange(b *testing.B, n, fanout int) {
	cfg := membership.DefaultConfig()
	cfg.PushFanout = fanout
	f := newFleet(n, cfg)
	const settle = 30 * time.Second
	// Dissemination of the starts has to end before the idle traffic is measured.
	f.advance(time.Duration(n) * time.Second)
	bytes := 0
	f.onSend = func(_ string, m membership.Message) { bytes += encodedBytes(m) }
	f.advance(settle)
	idle := bytes
	bytes = 0
	changes := 0
	for b.Loop() {
		changes++
		changed := f.hosts[changes%n]
		changed.m.Update(f.now, func(r *model.HostRecord) { r.EntryIncarnation++ })
		f.advance(settle)
	}
	b.ReportMetric(float64(bytes/changes-idle)/float64(n), "bytes/op")
}
