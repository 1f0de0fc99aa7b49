// Command wisteria-entry accepts callers' requests and forwards them to backend
// servers.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/entry"
)

func main() {
	daemon.Run(daemon.Program{
		Name:  "wisteria-entry",
		Usage: "forward callers' requests to backend servers",
		Build: func(base daemon.Base) daemon.Runner { return entry.New(base) },
	})
}
