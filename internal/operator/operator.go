// Package operator serves the operators' HTTP API of an agent: documents,
// promotion and status.
package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Handler is the HTTP handler of the operators' API. It is safe for concurrent
// use.
type Handler struct {
	store  platform.Store
	status StatusSource
	log    *events.Log
	now    func() time.Time
	mux    *http.ServeMux
}

// Option configures a Handler.
type Option func(*Handler)

// WithStatus sets the source of the status that the handler serves.
func WithStatus(source StatusSource) Option { return func(h *Handler) { h.status = source } }

// WithLog sets the log of accepted and refused changes.
func WithLog(log *events.Log) Option { return func(h *Handler) { h.log = log } }

// WithClock replaces time.Now as the source of acceptance times.
func WithClock(now func() time.Time) Option { return func(h *Handler) { h.now = now } }

// NewHandler returns a handler that reads and writes the documents in store.
func NewHandler(store platform.Store, options ...Option) *Handler {
	h := &Handler{store: store, now: time.Now, mux: http.NewServeMux()}
	for _, option := range options {
		option(h)
	}
	h.mux.HandleFunc("GET /v1/documents/{environment}", h.getDocument)
	h.mux.HandleFunc("PUT /v1/documents/{environment}", h.putDocument)
	h.mux.HandleFunc("POST /v1/promotions", h.promote)
	h.mux.HandleFunc("GET /v1/status", h.getStatus)
	return h
}

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) getStatus(w http.ResponseWriter, r *http.Request) {
	if h.status == nil {
		writeProblem(w, problem(result.NotFound, "this agent has no status"))
		return
	}
	status, err := h.status.Status(r.Context())
	if err != nil {
		writeProblem(w, toProblem(err))
		return
	}
	writeJSON(w, status)
}

func (h *Handler) getDocument(w http.ResponseWriter, r *http.Request) {
	environment := r.PathValue("environment")
	p := newPromotion(h.store, envobject.Key(environment), 0, envobject.Change{})
	if err := p.read(r.Context()); err != nil {
		writeProblem(w, toProblem(err))
		return
	}
	if p.object == nil {
		writeProblem(w, problem(result.NotFound, "environment %q has no document", environment))
		return
	}
	writeJSON(w, describe(environment, p.object, p.version))
}

func describe(environment string, object *envobject.Object, version uint64) Document {
	return Document{
		Environment: environment,
		Version:     version,
		Author:      object.Latest().Author,
		Accepted:    object.Accepted().UTC().Format(time.RFC3339),
		Source:      object.Latest().Source,
		Text:        object.Document,
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Wisteria-Result", strconv.Itoa(int(p.Code)))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.Code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(p)
}

// toProblem maps an error of the store to a result code.
func toProblem(err error) *Problem {
	var coded *result.Error
	switch {
	case errors.As(err, &coded):
		return problem(coded.Code, "%s", coded.Detail)
	case errors.Is(err, platform.ErrNotFound):
		return problem(result.NotFound, "%v", err)
	case errors.Is(err, platform.ErrUncertain):
		return problem(result.WriteUnresolved, "%v", err)
	default:
		return problem(result.StoreUnavailable, "%v", err)
	}
}
