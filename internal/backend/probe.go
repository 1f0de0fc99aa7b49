package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// probeTimeout is far above the time of a health response inside a region
	// and leaves time for another connection within a deadline of 2 s.
	probeTimeout = 500 * time.Millisecond
	// PollInterval is the interval between the polls of Watch.
	PollInterval = time.Second
	// maxProbeBytes bounds the response of a health or load endpoint.
	maxProbeBytes = 64 << 10
	healthPath    = "/healthz"
	loadPath      = "/load"
)

// Status is what the endpoints of a backend server report. It may be stale or
// wrong.
type Status struct {
	Draining bool
	Slots    int
	Busy     int
}

type healthResponse struct {
	State string `json:"state"`
}

type loadResponse struct {
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
}

// Poll queries the health and load endpoints of the server.
func (s *Server) Poll(ctx context.Context) (Status, error) {
	// Polling on the oldest idle connection proves each in turn, and detects an
	// unresponsive one before it gets work.
	if conn := s.takeIdle(true); conn != nil {
		if status, err := s.pollOn(ctx, conn); err == nil {
			return status, nil
		}
	}
	conn, refused := s.checkOut(ctx, true)
	if refused != nil {
		return Status{}, refused
	}
	return s.pollOn(ctx, conn)
}

// Watch polls once per second until ctx ends.
func (s *Server) Watch(ctx context.Context, report func(Status, error)) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		report(s.Poll(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) pollOn(ctx context.Context, conn *connection) (Status, error) {
	status, err := s.statusOn(ctx, conn)
	if err != nil {
		s.abandon(conn)
		return Status{}, err
	}
	s.putIdle(conn)
	return status, nil
}

func (s *Server) statusOn(ctx context.Context, conn *connection) (Status, error) {
	health, err := s.probe(ctx, conn)
	if err != nil {
		return Status{}, err
	}
	var load loadResponse
	if err := s.get(ctx, conn, loadPath, &load); err != nil {
		return Status{}, err
	}
	draining := health.State == "draining"
	s.reportDraining(draining)
	return Status{Draining: draining, Slots: load.Slots, Busy: load.Busy}, nil
}

func (s *Server) reportDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportsDraining = draining
}

// announceDraining records the draining header of a response. It applies until
// the server refuses a connection, because the health endpoint may be stale.
func (s *Server) announceDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcedDraining = true
}

// probe queries the health endpoint on this connection, which proves it.
func (s *Server) probe(ctx context.Context, conn *connection) (healthResponse, error) {
	var health healthResponse
	err := s.get(ctx, conn, healthPath, &health)
	return health, err
}

// get fetches an endpoint and decodes its JSON. After an error the calling
// function must abandon the connection.
func (s *Server) get(ctx context.Context, conn *connection, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.spec.Address+path, nil)
	if err != nil {
		return err
	}
	if !conn.fire(eventProbe, time.Now()) {
		return fmt.Errorf("connection to %s is %s", s.spec.Name, conn.machine.State())
	}
	resp, err := conn.exchange(req)
	if err != nil {
		return fmt.Errorf("get %s%s: %w", s.spec.Name, path, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes))
	if err != nil {
		return fmt.Errorf("get %s%s: %w", s.spec.Name, path, err)
	}
	// A late response to an abandoned request is not the response to the probe.
	if resp.Header.Get(HeaderRequestID) != "" || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s%s: response to another request, or status %d", s.spec.Name, path, resp.StatusCode)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("get %s%s: %w", s.spec.Name, path, err)
	}
	conn.fire(eventAnswered, time.Now())
	return nil
}
