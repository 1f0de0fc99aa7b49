package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// maxChangeDelay is the time within which a change has to be applied.
const maxChangeDelay = 6 * time.Second

// Guards against a watch on an unresponsive store that is still waiting when a
// change has to be applied.
func TestWatchOnASilentStoreEndsBeforeAChangeIsDue(t *testing.T) {
	t.Parallel()
	unblock := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-unblock:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(unblock) })
	ctx, cancel := context.WithTimeout(t.Context(), maxChangeDelay)
	defer cancel()
	_, err := NewClient(server.URL).Watch(ctx, "environments/", 1)
	if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
		t.Errorf("watch returned %v, want ErrUnavailable within %v", err, maxChangeDelay)
	}
}
