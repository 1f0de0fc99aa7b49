package backend

import (
	"context"
	_ "embed"
	"fmt"
	"net/http"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/statechart"
)

// Names of the connection's state chart.
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
	http       *http.ClientConn
	raw        *trackedConn
	machine    *statechart.Machine
	answeredAt time.Time
}

// newConnection dials. The caller has counted the connection in s.open.
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

// fire takes a transition and carries out its actions. It reports whether the
// state has the event.
func (c *connection) fire(event string, now time.Time) bool {
	actions, ok := c.machine.Fire(event)
	for _, action := range actions {
		switch action {
		case actionStamp:
			c.answeredAt = now
		case actionClose:
			_ = c.http.Close()
			c.raw.seal()
		}
	}
	return ok
}

// age withdraws the proof of a connection that has not answered recently.
func (c *connection) age(now time.Time) {
	if now.Sub(c.answeredAt) > LivenessWindow {
		c.fire(eventAge, now)
	}
}

// startRequest reserves the connection for a request. It fails for a request
// that needs a proven connection on one that is not.
func (c *connection) startRequest(needsProof bool, now time.Time) bool {
	c.age(now)
	if needsProof {
		return c.fire(eventSendOnce, now)
	}
	return c.fire(eventSend, now)
}
