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

func logged(change func(*events.Log)) []string {
	var out bytes.Buffer
	change(events.New(&out, logrus.InfoLevel, time.Now))
	var names []string
	for _, m := range messageOf.FindAllStringSubmatch(out.String(), -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return names
}

// Guards against a host that acts on a belief which its log does not show, and
// against lines that repeat what has not changed.
func TestChangedBeliefsAreLoggedOnce(t *testing.T) {
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
		what          string
		before, after *inventory.View
		want          []string
	}{
		{"start", nil, first, []string{"config-in-force", "domain-evacuated", "server-draining"}},
		{"nothing", first, first, nil},
		{"everything", first, second, []string{"config-in-force", "domain-evacuated", "domain-released", "server-draining"}},
	} {
		if got := logged(func(log *events.Log) { logChanges(log, c.before, c.after) }); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// Guards against a line that does not tell a version read from the store from
// one that a peer sent.
func TestSenderOfAConfigurationIsLogged(t *testing.T) {
	view := &inventory.View{Config: fleet.NewConfig(1, nil, nil, fleet.Limits{}), Sender: "west-2"}
	var out bytes.Buffer
	logChanges(events.New(&out, logrus.InfoLevel, time.Now), nil, view)
	if !strings.Contains(out.String(), "peer=west-2") {
		t.Errorf("%q does not name the sender", out.String())
	}
}

// Guards against hosts that come and go without a line.
func TestPeersAreLoggedAsTheyComeAndGo(t *testing.T) {
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
		if got := logged(func(log *events.Log) { peers.note(log, self, c.live) }); !slices.Equal(got, c.want) {
			t.Errorf("%v: %v, want %v", c.live, got, c.want)
		}
	}
}
