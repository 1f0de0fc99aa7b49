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
	// Draining is reported by the health endpoint and by every answer.
	Draining bool `json:"draining"`
	// ReportedBusy replaces the true load if it is not negative.
	ReportedBusy int `json:"reported_busy"`
	// Unresponsive stops answers on the connections that are open now, while new
	// connections work.
	Unresponsive bool `json:"silent"`
	// Response is the fault of every answer.
	Response ResponseFault `json:"answer"`
	// Delay is added to the run time of a request.
	Delay time.Duration `json:"delay"`
	// Shed refuses every request.
	Shed bool `json:"shed"`
}

// CrashMarker in a body makes the backend server stop serving and reset all
// its connections, as a crashed process does.
const CrashMarker = "CRASH"

// Run is one request that the backend server ran.
type Run struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Busy is the number of slots in use when the run began, with its own.
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
	// cancelled counts runs whose connection ended before their answer.
	cancelled int
	runs      []Run
	lastID    string
	conns     map[net.Conn]bool
	onCrash   func()
	// answerFault overrides the fault of the answer to one request.
	answerFault func(requestID string) ResponseFault
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

// Runs returns what the backend server ran so far.
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

// Cancelled returns the number of runs whose connection ended before their
// answer.
func (b *Backend) Cancelled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cancelled
}

func (b *Backend) noteCancelled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancelled++
}

// SetFaults replaces the injected faults. Silent applies to the connections
// that are open at this moment.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	for conn := range b.conns {
		if c, ok := conn.(*faultConn); ok {
			c.silent.Store(f.Unresponsive)
		}
	}
}

// SetResponseFaults chooses the fault of each answer by its request ID. It
// takes precedence over BackendFaults.Answer; nil removes it.
func (b *Backend) SetResponseFaults(choose func(requestID string) ResponseFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answerFault = choose
}

// Serve serves connections of the listener until it is closed. Faults of
// connections need it; Server alone does not inject them.
func (b *Backend) Serve(listener net.Listener) error {
	return b.Server().Serve(faultListener{listener})
}

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
			conn.silent.Store(false)
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
	if !b.takeSlot() {
		w.Header().Set("Wisteria-Request-Id", r.Header.Get("Wisteria-Request-Id"))
		w.Header().Set("Wisteria-Shed", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer b.freeSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, crossedWith := b.record(r)
	if b.onCrash != nil && strings.Contains(string(body), CrashMarker) {
		b.crash()
	}
	select {
	case <-time.After(b.cfg.ServiceTime + faults.Delay):
	case <-r.Context().Done():
		b.noteCancelled()
		return
	}
	if faults.Response == ResponseLost || faults.Response == RequestDropped {
		panic(http.ErrAbortHandler)
	}
	b.writeAnswer(w, r, body, crossedWith, faults)
}

// crash ends the handler of a request after the process was killed.
func (b *Backend) crash() {
	b.mu.Lock()
	b.crashes++
	b.mu.Unlock()
	b.onCrash()
	panic(http.ErrAbortHandler)
}

// record notes the run and returns the faults of its answer and the ID of
// another request.
func (b *Backend) record(r *http.Request) (BackendFaults, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := r.Header.Get("Wisteria-Request-Id")
	faults := b.faults
	if b.answerFault != nil {
		faults.Response = b.answerFault(id)
	}
	if faults.Response != RequestDropped {
		b.runs = append(b.runs, Run{RequestID: id, Path: r.URL.Path, Busy: b.busy})
	}
	crossedWith := b.lastID
	if crossedWith == "" || crossedWith == id {
		crossedWith = crossedID
	}
	b.lastID = id
	return faults, crossedWith
}

func (b *Backend) takeSlot() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy >= b.cfg.Slots || b.faults.Shed {
		b.shed++
		return false
	}
	b.busy++
	return true
}

func (b *Backend) freeSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
}
