package backend

import (
	"context"
	_ "embed"
	"fmt"
	"net/http"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/statechart"
)

// Names of states, events and actions in connection.ini.
const (
	stateUnproven  = "unproven"
	stateProbing   = "probing"
	stateProven    = "proven"
	stateBusy      = "busy"
	stateAbandoned = "abandoned"

	eventProbe    = "probe"
	eventSend     = "send"
	eventSendOnce = "send-once"
	eventAnswered = "answered"
	eventAge      = "age"
	eventFail     = "fail"

	actionStamp = "stamp"
	actionClose = "close"
)

//go:embed connection.ini
var connectionText string

var connectionChart = statechart.MustLoad("connection.ini", connectionText, statechart.Vocabulary{
	States:  []string{stateUnproven, stateProbing, stateProven, stateBusy, stateAbandoned},
	Events:  []string{eventProbe, eventSend, eventSendOnce, eventAnswered, eventAge, eventFail},
	Actions: []string{actionStamp, actionClose},
})

// connection is one HTTP connection. It is used by one goroutine at a time.
type connection struct {
	http         *http.ClientConn
	raw          *trackedConn
	machine      *statechart.Machine
	lastResponse time.Time
}

// newConnection opens a connection, which the calling function has already
// counted in s.open.
func (s *Server) newConnection(ctx context.Context) (*connection, error) {
	raw, err := s.dial(ctx)
	if err != nil {
		return nil, err
	}
	ctx = context.WithValue(ctx, dialedKey{}, raw)
	client, err := s.transport.NewClientConn(ctx, "http", s.spec.Address)
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("connect to %s: %w", s.spec.Name, err)
	}
	return &connection{http: client, raw: raw, machine: connectionChart.New()}, nil
}

// fire applies an event to the state chart and carries out the actions of the
// transition. It reports whether the current state accepts the event.
func (c *connection) fire(event string, now time.Time) bool {
	actions, ok := c.machine.Fire(event)
	for _, action := range actions {
		switch action {
		case actionStamp:
			c.lastResponse = now
		case actionClose:
			_ = c.http.Close()
			c.raw.seal()
		}
	}
	return ok
}

// age makes a connection unproven if its last response is older than
// LivenessWindow.
func (c *connection) age(now time.Time) {
	if now.Sub(c.lastResponse) > LivenessWindow {
		c.fire(eventAge, now)
	}
}

// startRequest makes the connection busy with a request. It reports false if
// the request needs a proven connection and this one is not.
func (c *connection) startRequest(needsProven bool, now time.Time) bool {
	c.age(now)
	if needsProven {
		return c.fire(eventSendOnce, now)
	}
	return c.fire(eventSend, now)
}

// exchange sends a request and reads its response up to the body.
func (c *connection) exchange(req *http.Request) (*http.Response, error) {
	c.raw.expectResponse()
	return c.http.RoundTrip(req)
}
