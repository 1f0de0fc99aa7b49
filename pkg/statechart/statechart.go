// Package statechart parses state charts, checks them against the names that the
// code defines, and runs them.
//
// A chart is an INI text. The section [chart] has its name and initial state.
// Every other section is a state; its keys are events, each with the target
// state and, after a colon, the actions of the transition:
//
//	[chart]
//	name = door
//	initial = closed
//
//	[closed]
//	open = opened: ring
//
//	[opened]
//	close = closed
package statechart

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/looplab/fsm"

	"github.com/wisteriacrank/wisteriacrank/pkg/inidoc"
)

// Vocabulary is the states, events and actions that the code defines.
type Vocabulary struct {
	States  []string
	Events  []string
	Actions []string
}

// Chart is a checked state chart. It is immutable.
type Chart struct {
	name    string
	initial string
	events  fsm.Events
	actions map[transition][]string
}

// transition identifies a transition by its source state and event.
type transition struct{ state, event string }

// chartSection is the section that describes the chart itself.
const chartSection = "chart"

// Load parses and checks a chart. The error has the file and line of every fault.
func Load(file, text string, known Vocabulary) (*Chart, error) {
	sections, duplicates, err := inidoc.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	l := &loader{file: file, known: known, chart: &Chart{actions: make(map[transition][]string)}}
	for _, d := range duplicates {
		l.addFault(d.Line, "section [%s] key %q is given twice, first on line %d", d.Section, d.Key, d.FirstLine)
	}
	for _, section := range sections {
		l.parseSection(section)
	}
	if l.chart.initial == "" {
		l.addFault(1, "section [chart] has no initial state")
	}
	if len(l.faults) > 0 {
		return nil, fmt.Errorf("state chart: %s", strings.Join(l.faults, "; "))
	}
	return l.chart, nil
}

// MustLoad is Load for a chart that is embedded in the program. It panics if the
// chart is invalid.
func MustLoad(file, text string, known Vocabulary) *Chart {
	chart, err := Load(file, text, known)
	if err != nil {
		panic(err)
	}
	return chart
}

type loader struct {
	file   string
	known  Vocabulary
	chart  *Chart
	faults []string
}

func (l *loader) addFault(line int, format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf("%s:%d: %s", l.file, line, fmt.Sprintf(format, args...)))
}

func (l *loader) parseSection(section inidoc.Section) {
	if section.Name == chartSection {
		l.parseHeader(section)
		return
	}
	l.checkState(section.Line, section.Name)
	for _, key := range section.Keys {
		l.parseTransition(section.Name, key)
	}
}

func (l *loader) parseHeader(section inidoc.Section) {
	for _, key := range section.Keys {
		switch key.Name {
		case "name":
			l.chart.name = key.Value
		case "initial":
			l.checkState(key.Line, key.Value)
			l.chart.initial = key.Value
		default:
			l.addFault(key.Line, "unknown key %q, want name or initial", key.Name)
		}
	}
}

func (l *loader) parseTransition(state string, key inidoc.Key) {
	target, actions, _ := strings.Cut(key.Value, ":")
	target = strings.TrimSpace(target)
	l.checkState(key.Line, target)
	if !slices.Contains(l.known.Events, key.Name) {
		l.addFault(key.Line, "unknown event %q, want one of %s", key.Name, strings.Join(l.known.Events, ", "))
	}
	from := transition{state, key.Name}
	for _, action := range strings.Split(actions, ",") {
		action = strings.TrimSpace(action)
		if action == "" {
			continue
		}
		if !slices.Contains(l.known.Actions, action) {
			l.addFault(key.Line, "unknown action %q, want one of %s", action, strings.Join(l.known.Actions, ", "))
		}
		l.chart.actions[from] = append(l.chart.actions[from], action)
	}
	l.chart.events = append(l.chart.events, fsm.EventDesc{Name: key.Name, Src: []string{state}, Dst: target})
}

func (l *loader) checkState(line int, state string) {
	if !slices.Contains(l.known.States, state) {
		l.addFault(line, "unknown state %q, want one of %s", state, strings.Join(l.known.States, ", "))
	}
}

// Machine is one running instance of a chart. It is not safe for concurrent
// use.
type Machine struct {
	chart *Chart
	fsm   *fsm.FSM
}

// New returns a machine in the chart's initial state.
func (c *Chart) New() *Machine {
	return &Machine{chart: c, fsm: fsm.NewFSM(c.initial, c.events, nil)}
}

// State returns the current state.
func (m *Machine) State() string { return m.fsm.Current() }

// Fire makes the transition of the event and returns its actions, which the
// caller performs. If the current state does not have the event, ok is false and
// nothing changes.
func (m *Machine) Fire(event string) (actions []string, ok bool) {
	from := m.fsm.Current()
	if !m.fsm.Can(event) {
		return nil, false
	}
	// The library reports a transition from a state to itself as an error; it is
	// valid here.
	_ = m.fsm.Event(context.Background(), event)
	return m.chart.actions[transition{from, event}], true
}
