// Command wisteria-host is the one program of an entry host on the users'
// platform: look-ups, requests of callers and the state they need.
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
