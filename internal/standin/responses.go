package standin

import (
	"fmt"
	"io"
	"net/http"
)

// ResponseFault is the fault of one response of a backend server.
type ResponseFault string

// Faults of responses. The empty value is a correct response.
const (
	// ResponseTruncated ends the response half-way.
	ResponseTruncated ResponseFault = "truncated"
	// ResponseMismatched sends the response to another request.
	ResponseMismatched ResponseFault = "crossed"
	// ResponseDuplicated writes the response twice on the connection.
	ResponseDuplicated ResponseFault = "duplicated"
	// ResponseInvalidStatus sends a whole response whose status is 000.
	ResponseInvalidStatus ResponseFault = "invalid-status"
	// ResponseLost closes the connection after the run, without a response.
	ResponseLost ResponseFault = "lost"
	// RequestDropped closes the connection without running the request.
	RequestDropped ResponseFault = "dropped"
)

// mismatchedID is the request ID of a mismatched response while no other request
// has run.
const mismatchedID = "another-request"

func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, otherID string, faults BackendFaults) {
	id := r.Header.Get("Wisteria-Request-Id")
	if faults.Response == ResponseMismatched {
		id = otherID
	}
	response := ResponseBody(b.cfg.Name, id, r.URL.Path, body)
	if faults.Response == ResponseInvalidStatus {
		// The HTTP library refuses to write such a status.
		if conn := connOf(r); conn != nil {
			fmt.Fprintf(conn, "HTTP/1.1 000 \r\nWisteria-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(response), response)
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Wisteria-Request-Id", id)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(response)))
	if faults.Draining {
		w.Header().Set("Wisteria-Draining", "1")
	}
	switch faults.Response {
	case ResponseTruncated:
		_, _ = io.WriteString(w, response[:len(response)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case ResponseDuplicated:
		if conn := connOf(r); conn != nil {
			conn.duplicateNext.Store(true)
		}
	}
	_, _ = io.WriteString(w, response)
}

// ResponseBody returns the body of a backend server's response to a request.
func ResponseBody(server, requestID, path string, body []byte) string {
	return fmt.Sprintf("%s ran %s %s: %s", server, requestID, path, body)
}
