package standin

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// BackendConfig describes a stand-in backend server.
type BackendConfig struct {
	Name        string        `json:"name"`
	Slots       int           `json:"slots"`
	ServiceTime time.Duration `json:"service_time"`
}

// BackendFaults are the faults that a backend server injects.
type BackendFaults struct {
	// Draining is reported by the health endpoint and in every response.
	Draining bool `json:"draining"`
	// ReportedBusy replaces the true load if it is not negative.
	ReportedBusy int `json:"reported_busy"`
	// Unresponsive stops responses on the connections that are open now, while new
	// connections work.
	Unresponsive bool `json:"silent"`
	// Response is the fault of every response.
	Response ResponseFault `json:"answer"`
	// Delay is added to the run time of a request.
	Delay time.Duration `json:"delay"`
	// Shed refuses every request as if no slot were free.
	Shed bool `json:"shed"`
}

// CrashMarker in a body makes the backend server stop serving and reset all
// its connections, as a crashed process does.
const CrashMarker = "CRASH"

// Run is one request that the backend server ran.
type Run struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Busy is the number of slots in use when the run began, including its own.
	Busy int `json:"busy"`
}

// Backend is a stand-in backend server. It is safe for concurrent use.
type Backend struct {
	cfg BackendConfig

	mu      sync.Mutex
	faults  BackendFaults
	busy    int
	shed    int
	crashes int
	// cancelled counts runs whose connection was closed before their response.
	cancelled int
	runs      []Run
	lastID    string
	conns     map[net.Conn]bool
	onCrash   func()
	// responseFault, if set, returns the fault of the response to a request and
	// overrides faults.Response.
	responseFault func(requestID string) ResponseFault
}

// NewBackend returns a backend server. onCrash runs when a request carries
// the crash marker.
func NewBackend(cfg BackendConfig, onCrash func()) *Backend {
	return &Backend{
		cfg:     cfg,
		faults:  BackendFaults{ReportedBusy: -1},
		conns:   make(map[net.Conn]bool),
		onCrash: onCrash,
	}
}

// Runs returns the requests that the backend server has run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Crashes returns the number of requests that carried the crash marker.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// Cancelled returns the number of runs whose connection was closed before their
// response.
func (b *Backend) Cancelled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cancelled
}

func (b *Backend) countCancelled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancelled++
}

// SetFaults replaces the injected faults. Unresponsive applies to the connections
// that are open at this time.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	for conn := range b.conns {
		if c, ok := conn.(*faultConn); ok {
			c.unresponsive.Store(f.Unresponsive)
		}
	}
}

// UnresponsiveConnections returns the number of open connections that are
// unresponsive.
func (b *Backend) UnresponsiveConnections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for conn := range b.conns {
		if c, ok := conn.(*faultConn); ok && c.unresponsive.Load() {
			n++
		}
	}
	return n
}

// SetResponseFaults sets the function that chooses the fault of each response by
// its request ID. It takes precedence over BackendFaults.Response; nil removes it.
func (b *Backend) SetResponseFaults(choose func(requestID string) ResponseFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responseFault = choose
}

// Serve serves connections of the listener until it is closed. Faults of
// connections need it; Server alone does not inject them.
func (b *Backend) Serve(listener net.Listener) error {
	return b.Server().Serve(FaultListener(listener))
}

// FaultListener returns a listener on whose connections the faults of connections
// are injected, for a server that Server has returned.
func FaultListener(listener net.Listener) net.Listener { return faultListener{listener} }

// resetConnections resets all open connections.
func (b *Backend) resetConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		if c, ok := conn.(*faultConn); ok {
			c.reset()
		}
	}
}

// Server returns an HTTP server for the backend server.
func (b *Backend) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", b.health)
	mux.HandleFunc("GET /load", b.load)
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Runs()) })
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		faults := BackendFaults{ReportedBusy: -1}
		if readJSON(w, r, &faults) {
			b.SetFaults(faults)
		}
		if conn := connOf(r); conn != nil {
			conn.unresponsive.Store(false)
		}
	})
	mux.HandleFunc("POST /", b.run)
	return &http.Server{
		Handler:           mux,
		ConnContext:       withConn,
		ConnState:         b.track,
		ReadHeaderTimeout: time.Minute,
	}
}

func (b *Backend) track(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, conn)
	}
}

func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := "ok"
	if b.faults.Draining {
		state = "draining"
	}
	writeJSON(w, map[string]string{"state": state})
}

func (b *Backend) load(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	busy := b.busy
	if b.faults.ReportedBusy >= 0 {
		busy = b.faults.ReportedBusy
	}
	writeJSON(w, map[string]int{"slots": b.cfg.Slots, "busy": busy})
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	if !b.acquireSlot() {
		w.Header().Set("Wisteria-Request-Id", r.Header.Get("Wisteria-Request-Id"))
		w.Header().Set("Wisteria-Shed", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, otherID := b.recordRun(r)
	if b.onCrash != nil && strings.Contains(string(body), CrashMarker) {
		b.crash()
	}
	select {
	case <-time.After(b.cfg.ServiceTime + faults.Delay):
	case <-r.Context().Done():
		b.countCancelled()
		return
	}
	if faults.Response == ResponseLost || faults.Response == RequestDropped {
		panic(http.ErrAbortHandler)
	}
	b.writeResponse(w, r, body, otherID, faults)
}

// crash ends the handler of a request after the process was killed.
func (b *Backend) crash() {
	b.mu.Lock()
	b.crashes++
	b.mu.Unlock()
	b.onCrash()
	panic(http.ErrAbortHandler)
}

// recordRun records the run and returns the faults of its response and the ID of
// another request.
func (b *Backend) recordRun(r *http.Request) (BackendFaults, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := r.Header.Get("Wisteria-Request-Id")
	faults := b.faults
	if b.responseFault != nil {
		faults.Response = b.responseFault(id)
	}
	if faults.Response != RequestDropped {
		b.runs = append(b.runs, Run{RequestID: id, Path: r.URL.Path, Busy: b.busy})
	}
	otherID := b.lastID
	if otherID == "" || otherID == id {
		otherID = mismatchedID
	}
	b.lastID = id
	return faults, otherID
}

func (b *Backend) acquireSlot() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy >= b.cfg.Slots || b.faults.Shed {
		b.shed++
		return false
	}
	b.busy++
	return true
}

func (b *Backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
}
