package agent

import (
	"bytes"
	"context"
	"errors"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/pkg/configreplica"
	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

var eventName = regexp.MustCompile(`msg=([a-z-]+)`)

// loggedAgent returns an agent with metrics, and a function that returns the names
// of the events that were logged since its last call.
func loggedAgent() (*Agent, func() []string) {
	var log bytes.Buffer
	a := newAgent(hostSettings(1, "127.0.0.1:1", nil), nil, time.Unix(1000, 0))
	a.log = events.New(&log, logrus.InfoLevel, time.Now)
	a.metrics = metrics.New()
	return a, func() []string {
		defer log.Reset()
		if strings.Contains(log.String(), "undeclared") {
			return []string{log.String()}
		}
		var names []string
		for _, match := range eventName.FindAllStringSubmatch(log.String(), -1) {
			names = append(names, match[1])
		}
		return names
	}
}

func expectEvents(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: events %v, want %v", what, got, want)
	}
}

// Guards against a membership change that isn't logged, and against one that is
// logged again at each tick.
func TestMembershipChangesAreLogged(t *testing.T) {
	a, logged := loggedAgent()
	now := time.Unix(1000, 0)
	peer := a.selfRecord()
	peer.Host, peer.State = "host-2", model.HostReady
	step := func(what string, state model.HostState, want ...string) {
		peer.State = state
		a.members.Received(now, membership.Message{From: peer})
		a.syncMembers()
		a.syncMembers()
		expectEvents(t, what, logged(), want...)
	}
	a.syncMembers()
	expectEvents(t, "start", logged(), "host-state")
	step("host appears", model.HostReady, "host-state")
	step("suspicion", model.HostSuspect, "host-suspected")
	peer.Sequence++
	step("refutation", model.HostReady, "suspicion-refuted", "host-state")
	step("suspicion", model.HostSuspect, "host-suspected")
	step("declared dead", model.HostDead, "host-dead")
}

// Guards against an outage of the store that isn't logged, and against a refused
// conditional write that is logged as an outage.
func TestStoreOutageIsLoggedAndCounted(t *testing.T) {
	a, logged := loggedAgent()
	for _, err := range []error{nil, platform.ErrNotFound, platform.ErrConflict, context.Canceled} {
		_ = a.recordStoreCall(err)
	}
	expectEvents(t, "store works", logged())
	_ = a.recordStoreCall(platform.ErrUnavailable)
	_ = a.recordStoreCall(platform.ErrUncertain)
	_ = a.recordStoreCall(nil)
	_ = a.recordStoreCall(nil)
	expectEvents(t, "outage", logged(), "store-call-failed", "store-call-failed", "store-reached")
	for _, want := range []string{`"store_operations": 8`, `"store_operations_failed": 2`} {
		if !strings.Contains(a.metrics.String(), want) {
			t.Errorf("metrics %s lack %s", a.metrics, want)
		}
	}
	now := time.Unix(1000, 0)
	a.recordHostListRead(now, nil)
	a.recordHostListRead(now.Add(time.Second), errors.New("down"))
	expectEvents(t, "one missed read", logged())
	a.recordHostListRead(now.Add(4*time.Second), errors.New("down"))
	expectEvents(t, "stale host list", logged(), "host-list-stale")
}

// Guards against a generation whose arrival, repair or refusal is not logged.
func TestGenerationsAreLogged(t *testing.T) {
	a, logged := loggedAgent()
	now := time.Unix(1000, 0)
	bad, err := envobject.Object{Document: "[nonsense]\n"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	a.applyObject(t.Context(), platform.Object{Key: envobject.Key(environment), Version: 2, Value: bad})
	expectEvents(t, "faulty document", logged(), "config-refused")

	receive := func(g model.Generation, from configSource) {
		a.replica.FromStore(now, configreplica.Snapshot{Generation: g, Text: "[a]\n"})
		a.observeConfig(now, from, "host-2")
	}
	receive(3, fromStore)
	expectEvents(t, "from the store", logged(), "config-in-force")
	receive(4, fromPush)
	expectEvents(t, "by push", logged(), "config-in-force")
	receive(5, fromPull)
	receive(5, fromPull)
	expectEvents(t, "by pull", logged(), "config-in-force", "config-repaired")

	other, otherLogged := loggedAgent()
	other.replica.FromStore(now, configreplica.Snapshot{Generation: 3, Text: "[a]\n"})
	other.observeConfig(now, fromPull, "host-2")
	expectEvents(t, "start from peers", otherLogged(), "config-in-force", "config-from-peers")
}

// Guards against refused input of peers that isn't logged.
func TestRefusedInputIsLogged(t *testing.T) {
	a, logged := loggedAgent()
	a.InvalidInput(result.BadGreeting)
	a.InvalidInput(result.UnknownMessage)
	a.InvalidInput(result.FrameTooLarge)
	expectEvents(t, "refused input", logged(), "greeting-refused", "message-unknown", "frame-too-large")
}
