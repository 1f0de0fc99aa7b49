// Command wisteria-entry accepts callers' requests and carries them to backend
// servers.
package main

import (
	"github.com/wisteriacrank/wisteriacrank/internal/daemon"
	"github.com/wisteriacrank/wisteriacrank/internal/entry"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
)

func main() {
	daemon.Main("wisteria-entry", "carries callers' requests to backend servers",
		func(s *settings.Settings) daemon.Runner { return entry.New(s) })
}
