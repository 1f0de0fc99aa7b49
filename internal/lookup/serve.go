package lookup

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/listen"
	"github.com/wisteriacrank/wisteriacrank/pkg/steering"
)

const (
	// readTimeout bounds the time to read a whole query, so that a slow sender
	// cannot keep a connection open for longer.
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = time.Minute
	// maxHeaderBytes bounds the header. net/http adds 4 KB.
	maxHeaderBytes = 4 << 10
	// shutdownTimeout bounds the wait for queries that have begun to arrive. It
	// covers the longest time that one query can take.
	shutdownTimeout = readTimeout + writeTimeout
)

// serve answers lookups until ctx ends, then completes those that have begun to
// arrive. http.Server.Shutdown is not used because it closes a connection whose
// header is only partly read, which loses the caller's query.
func serve(ctx context.Context, listener *listen.Limited, current func() *steering.Table) error {
	server := &http.Server{
		Handler:           closeAfter(ctx, NewHandler(current)),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         listener.ConnState,
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() == nil {
		return fmt.Errorf("serve lookups: %w", err)
	}
	listener.Drain(shutdownTimeout)
	return nil
}

// closeAfter ends each connection with its next response once ctx has ended.
func closeAfter(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ctx.Err() != nil {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
