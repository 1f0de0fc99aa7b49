// Command wisteria-lookup answers callers' lookups with the entry hosts to use.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/lookup"
)

func main() {
	daemon.Run(daemon.Program{
		Name:  "wisteria-lookup",
		Usage: "answer callers' lookups with the entry hosts to use",
		Build: func(base daemon.Base) daemon.Runner { return lookup.New(base) },
	})
}
