package statechart

import (
	"strings"
	"testing"
)

var known = Vocabulary{
	States:  []string{"closed", "opened"},
	Events:  []string{"open", "close"},
	Actions: []string{"ring"},
}

// Guards against a transition that loses its target or its actions.
func TestMachineFollowsChart(t *testing.T) {
	chart, err := Load("door.ini", "[chart]\nname = door\ninitial = closed\n[closed]\nopen = opened: ring\n[opened]\nclose = closed\nopen = opened: ring\n", known)
	if err != nil {
		t.Fatal(err)
	}
	m := chart.New()
	if _, ok := m.Fire("close"); ok || m.State() != "closed" {
		t.Errorf("close in state closed was accepted, state %s", m.State())
	}
	for range 2 {
		actions, ok := m.Fire("open")
		if !ok || m.State() != "opened" || len(actions) != 1 || actions[0] != "ring" {
			t.Errorf("open: actions %v, ok %v, state %s", actions, ok, m.State())
		}
	}
}

// Guards against a chart with a name that the code does not define, which fails
// only when the transition is made.
func TestUnknownNamesAreRejectedWithTheirLine(t *testing.T) {
	text := "[chart]\nname = door\ninitial = ajar\n[closed]\nopen = opened: sing\nkick = opened\n[broken]\n"
	_, err := Load("door.ini", text, known)
	if err == nil {
		t.Fatal("the chart was accepted")
	}
	for _, want := range []string{`door.ini:3: unknown state "ajar"`, `door.ini:5: unknown action "sing"`, `door.ini:6: unknown event "kick"`, `door.ini:7: unknown state "broken"`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
}
