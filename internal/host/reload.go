package host

import (
	"context"
	"errors"
	"os"
	"reflect"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
)

// settingsInterval is how often the settings file is looked at, because it may
// change without a signal.
const settingsInterval = 2 * time.Second

// errNeedsRestart tells operators which settings a running host keeps.
var errNeedsRestart = errors.New("only [peers] and [bounds] change without a restart")

func (h *Host) bounds() Bounds { return *h.inForce.Load() }

// Reload puts the reloadable part of new settings in force.
func (h *Host) Reload(s *Settings) {
	h.inForce.Store(&s.Bounds)
	h.rosterMu.Lock()
	h.roster.AddSeeds(s.Seeds)
	h.rosterMu.Unlock()
	kept := *s
	kept.Bounds, kept.Seeds = h.Settings.Bounds, h.Settings.Seeds
	if !reflect.DeepEqual(kept, *h.Settings) {
		h.Log.Emit(events.SettingsRefused, events.Reason(errNeedsRestart))
	}
	h.Log.Emit(events.SettingsReloaded)
}

// followSettings reloads the settings on a signal, or when the file has
// changed. Settings with faults change nothing.
func (h *Host) followSettings(ctx context.Context, path string, load func() (*Settings, error), hangUp <-chan os.Signal) {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	modified := modifiedAt(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
		case <-tick.C:
			if modifiedAt(path).Equal(modified) {
				continue
			}
		}
		modified = modifiedAt(path)
		s, err := load()
		if err != nil {
			h.Log.Emit(events.SettingsRefused, events.Reason(err))
			continue
		}
		h.Reload(s)
	}
}

// modifiedAt returns the zero time for a file that cannot be read: its return
// is a change.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
