// Package operator serves the operators' HTTP API of an agent.
package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const maxDocumentBytes = 1 << 20

// Handler serves the operators' API. It is safe for concurrent use.
type Handler struct {
	store platform.Store
	mux   *http.ServeMux
}

// NewHandler returns the API on top of the store.
func NewHandler(store platform.Store) *Handler {
	h := &Handler{store: store, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /v1/documents/{environment}", h.getDocument)
	h.mux.HandleFunc("PUT /v1/documents/{environment}", h.putDocument)
	return h
}

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) getDocument(w http.ResponseWriter, r *http.Request) {
	object, err := h.store.Get(r.Context(), envobject.Key(r.PathValue("environment")))
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(object)
}

func (h *Handler) putDocument(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		refuse(w, result.Errorf(result.DocumentInvalid, "%v", err))
		return
	}
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("if-version"), 10, 64)
	if err != nil {
		refuse(w, result.Errorf(result.BadRequest, "if-version: %v", err))
		return
	}
	if _, err := document.Parse(string(text)); err != nil {
		refuse(w, result.Errorf(result.DocumentInvalid, "%v", err))
		return
	}
	value, err := envobject.Object{
		Document:           string(text),
		AcceptedUnixMillis: time.Now().UnixMilli(),
	}.Encode()
	if err != nil {
		refuse(w, err)
		return
	}
	version, err := h.store.Put(r.Context(), envobject.Key(r.PathValue("environment")), value, ifVersion)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]uint64{"version": version})
}

func refuse(w http.ResponseWriter, err error) {
	code := codeOf(err)
	w.Header().Set("Wisteria-Result", strconv.Itoa(int(code)))
	http.Error(w, err.Error(), code.HTTPStatus())
}

func codeOf(err error) result.Code {
	var coded *result.Error
	switch {
	case errors.As(err, &coded):
		return coded.Code
	case errors.Is(err, platform.ErrNotFound):
		return result.NotFound
	case errors.Is(err, platform.ErrConflict):
		return result.Conflict
	case errors.Is(err, platform.ErrUncertain):
		return result.WriteUnresolved
	default:
		return result.StoreUnavailable
	}
}
