package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

// BenchmarkApplyView measures the cost of a change of one server on a host of a
// fleet of 120 hosts and 400 servers.
func BenchmarkApplyView(b *testing.B) {
	const hosts, servers, regions = 120, 400, 3
	s := &Settings{ID: "h-0", Region: "r-0", Domain: "d-0", RegionOf: map[string]string{"d-0": "r-0", "d-1": "r-1", "d-2": "r-2"}}
	h := New(Base{Settings: s, Metrics: metrics.New()})
	for i := range hosts {
		region := fmt.Sprint("r-", i%regions)
		h.roster.Receive(time.Now(), roster.Heartbeat{ID: fmt.Sprint("h-", i), Region: region, Domain: "d", PeerAddress: fmt.Sprint(i), State: roster.Ready, Capacity: 12}, 0)
	}
	h.started = time.Now().Add(-2 * coldStartupDelay)
	services := map[string]*fleet.Service{"desk": {Name: "desk", ColdRate: 3}}
	view := &inventory.View{Config: fleet.NewConfig(1, nil, services, fleet.Limits{}), Servers: make(map[string]fleet.BackendServer)}
	for i := range servers {
		id := fmt.Sprint("i-", i)
		view.Servers[id] = fleet.BackendServer{ID: id, Service: "desk", Region: fmt.Sprint("r-", i%regions), Slots: 5, State: fleet.Ready, Address: "127.0.0.1:1"}
	}
	b.ResetTimer()
	for range b.N {
		h.applyView(view)
	}
}
