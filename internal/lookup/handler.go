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

// Counters of the look-up daemon, published as expvar.
var (
	counters           = expvar.NewMap("lookup")
	countAnswered      = counter("answered")
	countRefused       = counter("refused")
	countDroppedOnFull = counter("connections-over-limit")
)

func counter(name string) *expvar.Int {
	c := new(expvar.Int)
	counters.Set(name, c)
	return c
}

func countDropped() { countDroppedOnFull.Add(1) }

// answerBytes is the initial size of answer buffers.
const answerBytes = 4 << 10

// contentType is shared by all answers, which must not change it.
var contentType = []string{"application/json"}

// handler answers look-ups from the table that current returns. It is safe for
// concurrent use.
type handler struct {
	current func() *steering.Table
	buffers sync.Pool
}

// NewHandler returns the HTTP handler of look-ups, which answers from the table
// that current returns.
func NewHandler(current func() *steering.Table) http.Handler {
	h := &handler{current: current}
	h.buffers.New = func() any {
		buf := make([]byte, 0, answerBytes)
		return &buf
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/lookup", h)
	return mux
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// The library would read the body before it reuses the connection.
		w.Header().Set("Connection", "close")
		refuse(w, result.Errorf(result.BadRequest, "a look-up has no body"))
		return
	}
	answer, refused := h.find(r.URL.RawQuery)
	if refused != nil {
		refuse(w, refused)
		return
	}
	buf := h.buffers.Get().(*[]byte)
	*buf = answer.AppendJSON((*buf)[:0], time.Now())
	w.Header()["Content-Type"] = contentType
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(*buf))}
	_, _ = w.Write(*buf)
	h.buffers.Put(buf)
	countAnswered.Add(1)
}

func (h *handler) find(rawQuery string) (steering.Response, *result.Error) {
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
	answer := table.Lookup(q.block)
	if answer.Len() == 0 {
		return steering.Response{}, result.Errorf(result.NotReady, "no entry host is ready")
	}
	return answer, nil
}

func refuse(w http.ResponseWriter, err *result.Error) {
	countRefused.Add(1)
	w.Header().Set("Wisteria-Result", fmt.Sprint(uint32(err.Code)))
	w.Header().Set("Wisteria-Class", err.Code.Class().String())
	http.Error(w, err.Error(), err.Code.HTTPStatus())
}
