package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// configBound is the time within which a change has to be in force.
const configBound = 6 * time.Second

// Guards against a watch that waits for an answer which is lost, while changes
// become due.
func TestWatchOnASilentStoreEndsBeforeAChangeIsDue(t *testing.T) {
	t.Parallel()
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-silent:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(silent) })
	ctx, cancel := context.WithTimeout(t.Context(), configBound)
	defer cancel()
	_, err := NewClient(server.URL).Watch(ctx, "environments/", 1)
	if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
		t.Errorf("%v after %v", err, configBound)
	}
}
