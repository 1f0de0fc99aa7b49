package host

import (
	"testing"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Guards against hosts that no other finds since the store has lost their entries, and
// against writes of entries that it still has.
func TestEntryIsWrittenOnceInEachEraOfTheStore(t *testing.T) {
	var entry registration
	writes := 0
	for _, check := range []struct {
		era     model.Era
		fails   bool
		written int // up to this check
	}{
		{era: 0, fails: true, written: 0}, {era: 3, written: 1}, {era: 3, written: 1},
		{era: 4, fails: true, written: 1}, {era: 4, written: 2}, {era: 4, written: 2}, {era: 6, written: 3},
	} {
		if entry.isDue(check.era) {
			entry.record(check.era, !check.fails)
			if !check.fails {
				writes++
			}
		}
		if writes != check.written {
			t.Errorf("era %d: %d writes, want %d", check.era, writes, check.written)
		}
	}
}
