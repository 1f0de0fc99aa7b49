// Command wisteria-lookup tells callers which entry hosts to use.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/lookup"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
)

func main() {
	daemon.Main("wisteria-lookup", "tells callers which entry hosts to use",
		func(s *settings.Settings) daemon.Runner { return lookup.New(s) })
}
