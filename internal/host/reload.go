package host

import (
	"context"
	"errors"
	"os"
	"reflect"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
)

// settingsInterval is the interval between checks of the settings file, which
// may change without a signal.
const settingsInterval = 2 * time.Second

// errNeedsRestart names the sections that a running host reloads; changes of
// other sections are refused.
var errNeedsRestart = errors.New("only [peers] and [bounds] change without a restart")

func (h *Host) bounds() Bounds { return *h.activeBounds.Load() }

// Reload applies the reloadable part of new settings.
func (h *Host) Reload(s *Settings) {
	h.activeBounds.Store(&s.Bounds)
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
// changed. Settings with faults are not applied.
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

// modifiedAt returns the modification time of a file, or the zero time if it
// cannot be read, so that a file that becomes readable again counts as changed.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
