package host

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
)

const goodSettings = `[host]
id = west-1
region = west
failure-domain = west-a
[listen]
callers = 127.0.0.1:7710
ready = 127.0.0.1:7711
lookup = 127.0.0.1:7712
peers = 127.0.0.1:7713
[store]
address = 127.0.0.1:7600
[peers]
seeds = 127.0.0.1:7714
[limits]
memory = 200 MB
cores = 0.224
link = 700 Mbit/s
[domains]
west-a = west
[bounds]
grace = 6
`

// graceOnly reads grace, the only bound that these tests use.
func graceOnly(values map[string]string) (Bounds, error) {
	grace, err := time.ParseDuration(values["grace"] + "s")
	if err != nil {
		return Bounds{}, errors.New("grace is not a number")
	}
	return Bounds{Grace: grace}, nil
}

// Guards against settings with faults that are applied in part, and against
// faults of which only the first is reported.
func TestSettingsFaultsAreAllReported(t *testing.T) {
	s, faults := CheckSettings("host.ini", goodSettings, graceOnly)
	if len(faults) > 0 || s.Domain != "west-a" || s.Bounds.Grace != 6*time.Second || len(s.Seeds) != 1 {
		t.Fatalf("%+v, %v", s, faults)
	}
	if got := capacityOf(s); got != 24 {
		t.Errorf("capacity %d of 0.224 cores, want 24", got)
	}
	bad := strings.NewReplacer("0.224", "some", "700 Mbit/s", "700", "127.0.0.1:7710", "here", "200 MB", "many", "west-a = west", "west-a = east", "id = west-1", "name = west-1").Replace(goodSettings)
	_, faults = CheckSettings("host.ini", bad, graceOnly)
	for _, want := range []string{"callers", "memory", "cores", "link", "failure-domain", "name", "id"} {
		if !strings.Contains(faults.Error(), want) {
			t.Errorf("no fault names %q:\n%v", want, faults)
		}
	}
	if _, faults = CheckSettings("host.ini", "[host]\nid = a\n", graceOnly); len(faults) != len(sectionNames)-1 {
		t.Errorf("missing sections: %v", faults)
	}
}

// Guards against a host that terminates on SIGHUP, ignores changed settings, or
// applies settings with faults, as seen in the test scenario
// clocks-and-reload (broke the rule LOST).
func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(goodSettings)
	load := func() (*Settings, error) { return LoadSettings(path, graceOnly) }
	s, err := load()
	if err != nil {
		t.Fatal(err)
	}
	h := New(Base{Settings: s, Log: events.New(io.Discard, logrus.InfoLevel, time.Now)})
	ctx, cancel := context.WithCancel(context.Background())
	hangUp := make(chan os.Signal)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.followSettings(ctx, path, load, hangUp)
	}()
	write("[host]\n")
	hangUp <- syscall.SIGHUP
	write(strings.Replace(goodSettings, "grace = 6", "grace = 9", 1))
	hangUp <- syscall.SIGHUP
	hangUp <- syscall.SIGHUP // received only after the previous signal was handled
	if got := h.bounds().Grace; got != 9*time.Second {
		t.Errorf("grace %v, want the changed value", got)
	}
	cancel()
	<-ended
}
