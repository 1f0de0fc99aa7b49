package host

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
)

// Guards against isolated hosts that each take themselves for one of those that share a cold server.
func TestHostsThatShareAColdServerStayWithinItsBound(t *testing.T) {
	const bound = 2*4 + 10 // ColdRate * ColdOver + ColdSlack
	server := fleet.BackendServer{ID: "i-0", Service: fleetService, Region: "r-0"}
	view := &inventory.View{Config: fleet.NewConfig(1, nil, map[string]*fleet.Service{fleetService: {Name: fleetService, ColdRate: 4}}, fleet.Limits{})}
	for _, c := range []struct {
		name     string
		isolated func(i int) bool
		used     bool
	}{
		{"calm", func(int) bool { return false }, true},
		{"a failure domain isolated", isInFirstDomain, true},
		{"one of three hosts isolated", func(i int) bool { return i/(fleetRegions*fleetDomains)%3 == 1 }, true},
		{"all isolated", func(int) bool { return true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			forEachFleetSize(t, func(t *testing.T, hosts int) {
				f := newHostFleet(hosts, Bounds{ColdOver: 2, ColdSlack: 10})
				f.isolate(c.isolated)
				for range 60 {
					f.step(time.Second)
					sum := 0
					for _, h := range f.hosts {
						if h.sharesColdServers(f.now) {
							sum += h.coldLimit(view, server)
						}
					}
					if sum > bound {
						t.Fatalf("%d requests a second, the bound is %d", sum, bound)
					}
					if sum == 0 && c.used {
						t.Fatal("no host uses the server")
					}
				}
			})
		})
	}
}
