package drain

import (
	_ "embed" // for the state chart
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/statechart"
)

// Action is an operation that the daemon performs after a transition.
type Action string

// Actions of the host's state chart.
const (
	// Announce notifies the agent of the new state.
	Announce Action = "announce"
	// HandOver moves the host's backend servers to other dispatchers.
	HandOver Action = "hand-over"
	// Refuse answers new requests with result code Stopping.
	Refuse Action = "refuse"
	// Exit ends the process.
	Exit Action = "exit"
)

const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateStopping = "stopping"
	stateRefusing = "refusing"
	stateLeft     = "left"

	eventConfigured       = "configured"
	eventStop             = "stop"
	eventResponsesExpired = "answers-expired"
	eventIdle             = "idle"
)

//go:embed host.ini
var hostChart string

var chart = statechart.MustLoad("host.ini", hostChart, statechart.Vocabulary{
	States:  []string{stateStarting, stateReady, stateStopping, stateRefusing, stateLeft},
	Events:  []string{eventConfigured, eventStop, eventResponsesExpired, eventIdle},
	Actions: []string{string(Announce), string(HandOver), string(Refuse), string(Exit)},
})

// Host is the lifecycle of one host from start to graceful shutdown. Its methods
// return the actions that the daemon performs, in order.
type Host struct {
	machine *statechart.Machine
	grace   time.Duration
	running int

	cacheTime time.Duration
	// cachedUntil is when lookup responses with an earlier cache time expire.
	cachedUntil time.Time
	// acceptUntil is when a stopping host begins to refuse.
	acceptUntil time.Time
}

// NewHost returns a starting host. grace is added to the cache time of lookup
// responses: lookup hosts still return a stopping host until they learn of it.
func NewHost(grace time.Duration) *Host {
	return &Host{machine: chart.New(), grace: grace}
}

// Configured applies a configuration with the cache time of lookup responses.
// Responses that were sent with a longer cache time keep it.
func (h *Host) Configured(cacheTime time.Duration, now time.Time) []Action {
	if until := now.Add(h.cacheTime); until.After(h.cachedUntil) {
		h.cachedUntil = until
	}
	h.cacheTime = cacheTime
	return h.fire(eventConfigured)
}

// Stop begins the graceful shutdown. A repeated call changes nothing.
func (h *Host) Stop(now time.Time) []Action {
	actions := h.fire(eventStop)
	if len(actions) == 0 {
		return nil
	}
	h.acceptUntil = now.Add(h.cacheTime)
	if h.cachedUntil.After(h.acceptUntil) {
		h.acceptUntil = h.cachedUntil
	}
	h.acceptUntil = h.acceptUntil.Add(h.grace)
	return actions
}

// Tick makes the transitions whose time has come. The daemon calls it at
// AcceptUntil or at least once per second while the host stops.
func (h *Host) Tick(now time.Time) []Action {
	var actions []Action
	if h.machine.State() == stateStopping && !now.Before(h.acceptUntil) {
		actions = h.fire(eventResponsesExpired)
	}
	return append(actions, h.exitIfIdle()...)
}

// AcceptUntil returns when a stopping host begins to refuse requests.
func (h *Host) AcceptUntil() time.Time { return h.acceptUntil }

// Begin admits a request. If it returns true, End must follow.
func (h *Host) Begin() bool {
	if state := h.machine.State(); state != stateReady && state != stateStopping {
		return false
	}
	h.running++
	return true
}

// End records that an admitted request is complete: its response is being sent.
func (h *Host) End() []Action {
	h.running--
	return h.exitIfIdle()
}

// State returns the state that other hosts see.
func (h *Host) State() model.HostState {
	switch h.machine.State() {
	case stateReady:
		return model.HostReady
	case stateStopping, stateRefusing:
		return model.HostStopping
	case stateLeft:
		return model.HostLeft
	}
	return model.HostStarting
}

func (h *Host) exitIfIdle() []Action {
	if h.running > 0 {
		return nil
	}
	return h.fire(eventIdle)
}

func (h *Host) fire(event string) []Action {
	names, _ := h.machine.Fire(event)
	actions := make([]Action, len(names))
	for i, name := range names {
		actions[i] = Action(name)
	}
	return actions
}
