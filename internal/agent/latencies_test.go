package agent

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// measuredBlocks is a platform with measurements that change.
type measuredBlocks struct {
	rng  *rand.Rand
	list []platform.Latency
}

func newMeasuredBlocks(n int) *measuredBlocks {
	m := &measuredBlocks{rng: rand.New(rand.NewSource(1))}
	for i := range n {
		block := fmt.Sprintf("10.%d.%d.%d/28", i>>12&255, i>>4&255, i<<4&255)
		m.list = append(m.list, platform.Latency{Block: block, Region: fmt.Sprintf("region-%d", i%25), Millis: 10 + m.rng.Float64()*100})
	}
	return m
}

// read returns measurements of which about one in a hundred changed by half and
// the others didn't change.
func (m *measuredBlocks) read(now time.Time) pollRead {
	for i := range m.list {
		m.list[i].Measured = now.Add(-time.Duration(i%5) * time.Second)
		if m.rng.Intn(100) == 0 {
			m.list[i].Millis *= []float64{0.5, 1.5}[m.rng.Intn(2)]
		}
	}
	return pollRead{measured: true, latencies: m.list}
}

// sharedRegion is the poller of a region and one other agent of it.
func sharedRegion(now time.Time, hosts int) (poller, other *Agent) {
	poller = newAgent(hostSettings(0, "127.0.0.1:1", nil), nil, now)
	other = newAgent(hostSettings(1, "127.0.0.1:1", nil), nil, now)
	var records []model.HostRecord
	for i := range hosts {
		r := other.members.Self()
		r.Host = model.HostID(fmt.Sprintf("host-%d", i))
		records = append(records, r)
	}
	poller.members.Received(now, membership.Message{From: other.members.Self(), Records: records})
	return poller, other
}

// equalTables compares latencies and stops of the entries, but not their versions.
func equalTables(a, b *latencyTable) bool {
	return maps.EqualFunc(a.entries, b.entries, func(x, y latencyEntry) bool {
		return x.tenths == y.tenths && x.stopped.IsZero() == y.stopped.IsZero()
	})
}

// Guards against measurements that exceed the control traffic of a host at the
// design size. The poller sends the most, because its pushes name the most hosts.
// The first read, which sends the whole state, isn't counted.
func TestMeasurementsStayUnderTheControlLimit(t *testing.T) {
	const (
		hosts = 250
		reads = 12
		// allowed and otherControl are in bytes per second.
		allowed = 5000.0
		// otherControl is sent for probes, see TestProbesStayUnderTheControlLimit.
		otherControl = 2000.0
		// pushBytes estimates the frames and headers of a push besides its message.
		pushBytes = 300
	)
	for _, blocks := range []int{200, 10_000, 160_000} {
		t.Run(fmt.Sprintf("blocks=%d", blocks), func(t *testing.T) {
			now := time.Unix(1000, 0)
			poller, other := sharedRegion(now, hosts)
			platform := newMeasuredBlocks(blocks)
			poller.applyPoll(now, platform.read(now))
			whole := poller.sharedSince(0)
			if !other.applyShared(whole) {
				t.Fatal("the whole state was not applied")
			}
			interval := readInterval(blocks)
			sent := 0
			for range reads {
				now = now.Add(interval)
				for i, push := range poller.applyPoll(now, platform.read(now)).shared {
					state := poller.sharedSince(push.base)
					state.Subtree = hostsToWire(push.subtree)
					sent += proto.Size(state) + pushBytes
					if i == 0 && !other.applyShared(state) {
						t.Fatal("a difference from the current version was not applied")
					}
				}
			}
			perSecond := float64(sent) / (reads * interval).Seconds()
			t.Logf("whole state %d bytes, then %.0f B/s sent by the poller", proto.Size(whole), perSecond)
			if perSecond > allowed-otherControl {
				t.Errorf("%.0f B/s, want at most %.0f", perSecond, allowed-otherControl)
			}
			if !equalTables(poller.shared.latencies, other.shared.latencies) || other.shared.latencies.digest != poller.shared.latencies.digest {
				t.Error("the measurements of the two hosts differ")
			}
		})
	}
}

// Guards against a difference that is applied to measurements that it wasn't made
// from: the digest prevents that, and the whole state repairs them. A difference
// that itself restores what is missing is applied.
func TestDifferenceToOtherMeasurementsIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	poller, _ := sharedRegion(now, 2)
	measured := newMeasuredBlocks(200)
	poller.applyPoll(now, measured.read(now))
	first := poller.sharedSince(0)
	later := now.Add(latencyInterval)
	poller.applyPoll(later, measured.read(later))
	difference := poller.sharedSince(first.Version)
	restored := 0
	for key, entry := range poller.shared.latencies.entries {
		_, other := sharedRegion(now, 2)
		if !other.applyShared(first) {
			t.Fatal("the whole state was not applied")
		}
		other.shared.latencies.remove(1, key)
		restores := entry.version > first.Version
		if restores {
			restored++
		}
		if applied := other.applyShared(difference); applied != restores {
			t.Errorf("without %v: applied %v, want %v", key.block, applied, restores)
		} else if applied && !equalTables(poller.shared.latencies, other.shared.latencies) {
			t.Errorf("without %v: the difference was applied and the measurements differ", key.block)
		}
		if !other.applyShared(poller.sharedSince(0)) || !equalTables(poller.shared.latencies, other.shared.latencies) {
			t.Errorf("without %v: the whole state did not repair the measurements", key.block)
		}
	}
	if restored == 0 || restored == len(measured.list) {
		t.Errorf("the difference has %d of %d measurements, want some", restored, len(measured.list))
	}
}

// Guards against measurements that look current although the platform stopped
// updating them, one or all, and against removed measurements that stay.
func TestStoppedAndRemovedMeasurements(t *testing.T) {
	now := time.Unix(1000, 0)
	poller, other := sharedRegion(now, 2)
	list := newMeasuredBlocks(3).read(now).latencies
	transfer := func(measured ...platform.Latency) map[string]int64 {
		base := poller.shared.version
		poller.applyPoll(now, pollRead{measured: true, latencies: measured})
		state := poller.shared.latencies.changesSince(now, base)
		state.Version = poller.shared.version
		if !other.applyShared(state) {
			t.Fatal("difference not applied")
		}
		ages := make(map[string]int64)
		for _, l := range other.shared.latencies.measurements(time.Now()) {
			ages[l.Block] = l.AgeMillis / 1000
		}
		return ages
	}
	transfer(list...)
	now = now.Add(time.Minute)
	list[0].Measured, list[1].Measured = now, now
	ages := transfer(list...)
	if ages[list[0].Block] > 5 || ages[list[2].Block] < 59 {
		t.Errorf("ages %v s, want only the third measurement at 62 s", ages)
	}
	now = now.Add(time.Minute)
	if ages = transfer(list...); ages[list[0].Block] < 59 {
		t.Errorf("ages %v s after all measurements stopped, want at least 60 s", ages)
	}
	now = now.Add(latencyInterval)
	if ages = transfer(list[:1]...); len(ages) != 1 {
		t.Errorf("%d measurements after two were removed, want 1", len(ages))
	}
}

// Guards against a message with inconsistent columns that crashes the agent.
func FuzzUnpackLatencies(f *testing.F) {
	table := newLatencyTable()
	table.update(1, table.compare(time.Unix(1000, 0), newMeasuredBlocks(3).read(time.Unix(1000, 0)).latencies))
	seed, err := proto.Marshal(table.changesSince(time.Unix(1000, 0), 0))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, message []byte) {
		var state wirepb.SharedState
		if proto.Unmarshal(message, &state) == nil {
			newLatencyTable().apply(time.Unix(1000, 0), &state)
		}
	})
}

// BenchmarkMeasurements measures the time per read at the design size.
func BenchmarkMeasurements(b *testing.B) {
	now := time.Unix(1000, 0)
	measured := newMeasuredBlocks(160_000)
	table := newLatencyTable()
	read := measured.read(now).latencies
	table.update(1, table.compare(now, read))
	b.Run("poller", func(b *testing.B) {
		for b.Loop() {
			table.compare(now, read)
		}
	})
	b.Run("local daemons", func(b *testing.B) {
		for b.Loop() {
			table.measurements(now)
		}
	})
}
