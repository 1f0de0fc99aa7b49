// Command wisteria-host is the only daemon of an entry host on the platform. It
// answers lookups, forwards callers' requests to backend servers, and maintains
// the state that both need.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/host"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/platform"
)

func main() {
	host.Main(host.Program{
		Name:     "wisteria-host",
		Bounds:   platform.ReadBounds,
		Protocol: platform.Protocol{},
		Store:    func(address string) host.Store { return platform.NewClient(address) },
		Decoder:  func(regionOf map[string]string) inventory.Decoder { return platform.Decoder{RegionOf: regionOf} },
	})
}
