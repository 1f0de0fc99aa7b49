package standin

import (
	"fmt"
	"io"
	"net/http"
)

// ResponseFault is what a backend server does wrong with one answer.
type ResponseFault string

// Faults of answers. The empty value is a correct answer.
const (
	// ResponseTruncated breaks off half-way.
	ResponseTruncated ResponseFault = "truncated"
	// ResponseMismatched is the answer to another request.
	ResponseMismatched ResponseFault = "crossed"
	// ResponseDuplicated is written twice on the connection.
	ResponseDuplicated ResponseFault = "duplicated"
	// ResponseLost closes the connection after the run, without an answer.
	ResponseLost ResponseFault = "lost"
	// RequestDropped closes the connection without running the request.
	RequestDropped ResponseFault = "dropped"
)

// crossedID is used for a crossed answer while no other request has run.
const crossedID = "another-request"

func (b *Backend) writeAnswer(w http.ResponseWriter, r *http.Request, body []byte, crossedWith string, f BackendFaults) {
	id := r.Header.Get("Wisteria-Request-Id")
	if f.Response == ResponseMismatched {
		id = crossedWith
	}
	answer := ResponseBody(b.cfg.Name, id, r.URL.Path, body)
	w.Header().Set("Wisteria-Request-Id", id)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if f.Draining {
		w.Header().Set("Wisteria-Draining", "1")
	}
	switch f.Response {
	case ResponseTruncated:
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case ResponseDuplicated:
		if conn := connOf(r); conn != nil {
			conn.duplicateNext.Store(true)
		}
	}
	_, _ = io.WriteString(w, answer)
}

// ResponseBody returns the whole answer of a backend server to a request.
func ResponseBody(server, requestID, path string, body []byte) string {
	return fmt.Sprintf("%s ran %s %s: %s", server, requestID, path, body)
}
