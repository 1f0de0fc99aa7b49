// Command wisteria-lookup tells callers which entry hosts to use.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/lookup"
)

func main() {
	daemon.Run(daemon.Program{
		Name:  "wisteria-lookup",
		Usage: "tells callers which entry hosts to use",
		Build: func(base daemon.Base) daemon.Runner { return lookup.New(base) },
	})
}
