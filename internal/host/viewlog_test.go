package host

import (
	"bytes"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

var messageOf = regexp.MustCompile(`msg=(\S+)`)

func loggedEvents(change func(*events.Log)) []string {
	var out bytes.Buffer
	change(events.New(&out, logrus.InfoLevel, time.Now))
	var names []string
	for _, m := range messageOf.FindAllStringSubmatch(out.String(), -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return names
}

// Guards against changes of the view that are not logged, and against lines that
// repeat state that has not changed.
func TestViewChangesAreLoggedOnce(t *testing.T) {
	config := fleet.NewConfig(1, nil, nil, fleet.Limits{})
	first := &inventory.View{
		Config:    config,
		Servers:   map[string]fleet.BackendServer{"i-1": {State: fleet.Ready}, "i-2": {State: fleet.Draining}},
		Evacuated: map[string]bool{"a": true},
	}
	second := &inventory.View{
		Config:    fleet.NewConfig(2, nil, nil, fleet.Limits{}),
		Servers:   map[string]fleet.BackendServer{"i-1": {State: fleet.Draining}, "i-2": {State: fleet.Draining}},
		Evacuated: map[string]bool{"b": true},
	}
	for _, c := range []struct {
		name          string
		before, after *inventory.View
		want          []string
	}{
		{"start", &inventory.View{}, first, []string{"config-in-force", "domain-evacuated", "server-draining"}},
		{"nothing", first, first, nil},
		{"everything", first, second, []string{"config-in-force", "domain-evacuated", "domain-released", "server-draining"}},
	} {
		if got := loggedEvents(func(log *events.Log) { logViewChanges(log, c.before, c.after, []string{"i-1", "i-2"}) }); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a line that does not show whether a version was read from the
// store or sent by a peer.
func TestSenderOfConfigurationIsLogged(t *testing.T) {
	view := &inventory.View{Config: fleet.NewConfig(1, nil, nil, fleet.Limits{}), Sender: "west-2"}
	var out bytes.Buffer
	logViewChanges(events.New(&out, logrus.InfoLevel, time.Now), &inventory.View{}, view, nil)
	if !strings.Contains(out.String(), "peer=west-2") {
		t.Errorf("%q does not name the sender", out.String())
	}
}

// Guards against hosts that become live or unresponsive without a log line.
func TestPeerArrivalAndLossAreLogged(t *testing.T) {
	self := roster.Heartbeat{ID: "me", Region: "west"}
	near, far := roster.Heartbeat{ID: "near", Region: "west"}, roster.Heartbeat{ID: "far", Region: "east"}
	var peers peerLog
	for _, c := range []struct {
		live []roster.Heartbeat
		want []string
	}{
		{[]roster.Heartbeat{self}, nil},
		{[]roster.Heartbeat{self, near, far}, []string{"peer-seen"}},
		{[]roster.Heartbeat{self, near}, nil},
		{[]roster.Heartbeat{self}, []string{"peer-silent"}},
	} {
		if got := loggedEvents(func(log *events.Log) { peers.update(log, self, c.live) }); !slices.Equal(got, c.want) {
			t.Errorf("%v: %v, want %v", c.live, got, c.want)
		}
	}
}
