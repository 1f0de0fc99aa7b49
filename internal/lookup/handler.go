package lookup

import (
	"expvar"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/steering"
)

// Counters of the lookup daemon, published as expvar.
var (
	counters       = expvar.NewMap("lookup")
	countAnswered  = counter("answered")
	countRefused   = counter("refused")
	countOverLimit = counter("connections-over-limit")
)

func counter(name string) *expvar.Int {
	c := new(expvar.Int)
	counters.Set(name, c)
	return c
}

func countDropped() { countOverLimit.Add(1) }

// responseBytes is the initial capacity of response buffers.
const responseBytes = 4 << 10

// contentType is shared by all responses and must not be modified.
var contentType = []string{"application/json"}

// handler answers lookups from the table that current returns. It is safe for
// concurrent use.
type handler struct {
	current func() *steering.Table
	buffers sync.Pool
}

// NewHandler returns the HTTP handler of lookups, which answers from the table
// that current returns.
func NewHandler(current func() *steering.Table) http.Handler {
	h := &handler{current: current}
	h.buffers.New = func() any {
		buf := make([]byte, 0, responseBytes)
		return &buf
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/lookup", h)
	return mux
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// Without this header, net/http would read the body and reuse the
		// connection.
		w.Header().Set("Connection", "close")
		refuse(w, result.Errorf(result.BadRequest, "a lookup must not have a body"))
		return
	}
	response, refused := h.lookup(r.URL.RawQuery)
	if refused != nil {
		refuse(w, refused)
		return
	}
	buf := h.buffers.Get().(*[]byte)
	*buf = response.AppendJSON((*buf)[:0], time.Now())
	w.Header()["Content-Type"] = contentType
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(*buf))}
	_, _ = w.Write(*buf)
	h.buffers.Put(buf)
	countAnswered.Add(1)
}

func (h *handler) lookup(rawQuery string) (steering.Response, *result.Error) {
	table := h.current()
	if table == nil {
		return steering.Response{}, result.Errorf(result.NotReady, "no configuration yet")
	}
	q, refused := parseQuery(rawQuery)
	if refused != nil {
		return steering.Response{}, refused
	}
	if !table.HasService(q.service) {
		return steering.Response{}, result.Errorf(result.UnknownService, "%q", q.service)
	}
	response := table.Lookup(q.block)
	if response.Len() == 0 {
		return steering.Response{}, result.Errorf(result.NotReady, "no entry host is ready")
	}
	return response, nil
}

func refuse(w http.ResponseWriter, err *result.Error) {
	countRefused.Add(1)
	w.Header().Set("Wisteria-Result", fmt.Sprint(uint32(err.Code)))
	w.Header().Set("Wisteria-Class", err.Code.Class().String())
	http.Error(w, err.Error(), err.Code.HTTPStatus())
}
