// Command wisteria-agent replicates configuration and membership. It reads the
// platform's store and pushes state to the other daemons of its host.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/agent"
	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
)

func main() {
	daemon.Run(daemon.Program{
		Name:  "wisteria-agent",
		Usage: "replicate configuration and membership",
		Build: func(base daemon.Base) daemon.Runner {
			return agent.New(base, platform.NewClient(base.Settings.Store.URL))
		},
	})
}
