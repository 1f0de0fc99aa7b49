package standin

import (
	"context"
	"fmt"
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
	// Silent stops answers on the connections that are open now, while new
	// connections work.
	Silent bool `json:"silent"`
	// Truncate breaks off answers half-way.
	Truncate bool `json:"truncate"`
}

// CrashMarker in a body makes the backend server stop serving and reset all
// its connections, as a crashed process does.
const CrashMarker = "CRASH"

// Run is one request that the backend server ran.
type Run struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
}

// Backend is a stand-in backend server. It is safe for concurrent use.
type Backend struct {
	cfg BackendConfig

	mu      sync.Mutex
	faults  BackendFaults
	busy    int
	shed    int
	crashes int
	runs    []Run
	conns   map[net.Conn]bool // value: the connection is silent
	onCrash func()
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

// SetFaults replaces the injected faults. Silent applies to the connections
// that are open at this moment.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	for conn := range b.conns {
		b.conns[conn] = f.Silent
	}
}

type connKey struct{}

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
	})
	mux.HandleFunc("POST /", b.run)
	return &http.Server{
		Handler: b.withSilence(mux),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState:         b.track,
		ReadHeaderTimeout: time.Minute,
	}
}

func (b *Backend) track(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[conn] = false
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, conn)
	}
}

func (b *Backend) withSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		b.mu.Lock()
		silent := b.conns[conn]
		b.mu.Unlock()
		if silent && !strings.HasPrefix(r.URL.Path, "/control/") {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
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
		w.Header().Set("Wisteria-Shed", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer b.freeSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, crash := b.record(r, body)
	if crash {
		b.onCrash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.cfg.ServiceTime):
	case <-r.Context().Done():
		return
	}
	if faults.Draining {
		w.Header().Set("Wisteria-Draining", "1")
	}
	answer := fmt.Sprintf("%s ran %s %s: %s", b.cfg.Name, r.Header.Get("Wisteria-Request-Id"), r.URL.Path, body)
	w.Header().Set("Wisteria-Request-Id", r.Header.Get("Wisteria-Request-Id"))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if faults.Truncate {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
	if faults.Truncate {
		panic(http.ErrAbortHandler)
	}
}

func (b *Backend) record(r *http.Request, body []byte) (BackendFaults, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, Run{RequestID: r.Header.Get("Wisteria-Request-Id"), Path: r.URL.Path})
	crash := b.onCrash != nil && strings.Contains(string(body), CrashMarker)
	if crash {
		b.crashes++
	}
	return b.faults, crash
}

func (b *Backend) takeSlot() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy >= b.cfg.Slots {
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
