// Command wisteria-agent talks to the platform's store and feeds the other
// daemons of its host.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/agent"
	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
)

func main() {
	daemon.Main("wisteria-agent", "replicates configuration and membership",
		func(s *settings.Settings) daemon.Runner {
			return agent.New(s, platform.NewClient(s.Store.URL))
		})
}
