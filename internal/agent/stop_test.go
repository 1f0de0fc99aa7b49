package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Guards against an agent that leaves while its entry daemon still completes requests.
func TestAgentAwaitsLongStopOfEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entryStop = 12 * time.Minute
		a := newAgent(hostSettings(0, "127.0.0.1:1", nil), nil, time.Now())
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ; ctx.Err() == nil; sleep(ctx, tickInterval) {
				state := model.HostStopping
				if time.Since(began) >= entryStop {
					state = model.HostLeft
				}
				a.acceptReport(time.Now(), wirepb.Role_ROLE_ENTRY, entryReport(state, 0))
			}
		}()
		synctest.Wait()
		a.shutdown(ctx)
		if took := time.Since(began); took < entryStop || took > entryStop+reportTimeout {
			t.Errorf("the agent left after %v, its entry daemon after %v", took, entryStop)
		}
	})
}

// slowStore delays the reads of one key.
type slowStore struct {
	platform.Platform
	key              string
	arrived, release chan struct{}
}

func (s *slowStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if key == s.key {
		close(s.arrived)
		select {
		case <-s.release:
		case <-ctx.Done():
		}
	}
	return s.Platform.Get(ctx, key)
}

// Guards against a stop that cuts the response to an operator.
func TestStopAnswersOperator(t *testing.T) {
	f := newFleet(t)
	store := &slowStore{Platform: f.client, key: envobject.Key("other"), arrived: make(chan struct{}), release: make(chan struct{})}
	var listeners [2]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
	}
	a := newAgent(hostSettings(0, listeners[0].Addr().String(), nil), store, time.Now())
	ctx, stop := context.WithCancel(t.Context())
	ended, answered := make(chan error, 1), make(chan error, 1)
	go func() { ended <- a.serve(ctx, listeners[0], listeners[1]) }()
	go func() {
		resp, err := http.Get("http://" + listeners[1].Addr().String() + "/v1/documents/other")
		if err == nil && resp.StatusCode != http.StatusNotFound {
			err = errors.New(resp.Status)
		}
		answered <- err
	}()
	<-store.arrived
	stop()
	select {
	case err := <-ended:
		t.Errorf("the agent ended before its response, error %v", err)
		ended <- err
	case <-time.After(100 * time.Millisecond):
	}
	close(store.release)
	if err := <-answered; err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
