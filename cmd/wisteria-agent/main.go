// Command wisteria-agent talks to the platform's store and feeds the other
// daemons of its host.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/agent"
	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
)

func main() {
	daemon.Run(daemon.Program{
		Name:  "wisteria-agent",
		Usage: "replicates configuration and membership",
		Build: func(base daemon.Base) daemon.Runner {
			return agent.New(base, platform.NewClient(base.Settings.Store.URL))
		},
	})
}
