package entry

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/listen"
)

// callerServer serves the connections of callers.
type callerServer struct {
	server   *http.Server
	listener *listen.Limited
	// served is closed when no further connection is accepted.
	served chan struct{}
}

func (d *Daemon) newCallerServer(listener net.Listener) *callerServer {
	limits := d.settings.Limits
	limited := listen.Limit(listener, limits.MaxConnections, d.connectionDropped)
	return &callerServer{
		server: &http.Server{
			Handler:           d.callerHandler(),
			ReadHeaderTimeout: limits.HeaderTimeout,
			ReadTimeout:       limits.BodyTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ConnState:         limited.ConnState,
		},
		listener: limited,
		served:   make(chan struct{}),
	}
}

// serve accepts connections until drain or close is called.
func (s *callerServer) serve() error {
	defer close(s.served)
	err := s.server.Serve(s.listener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve callers: %w", err)
}

// drain accepts no further connection and waits, at most for limit, until the open
// ones are closed. It reports whether they are. A request that has begun to arrive
// gets its response.
func (s *callerServer) drain(limit time.Duration) bool {
	_ = s.listener.Close()
	<-s.served
	return s.listener.Drain(limit)
}

func (s *callerServer) close() { _ = s.server.Close() }
