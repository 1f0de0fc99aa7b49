package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// respondRaw returns a server that gets the bytes of response for each request, after
// which the connection closes.
func respondRaw(t *testing.T, response string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	server := NewServer(document.Server{Name: "s", Address: listener.Addr().String(), Slots: 1, Connections: 1})
	t.Cleanup(func() { server.Close(); _ = listener.Close() })
	return server
}

// Guards against a head without end that is kept in memory.
func TestLongHeadIsRefused(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": x\r\nContent-Length: 0\r\n"
	padding := strings.Repeat(fmt.Sprintf("Padding: %s\r\n", strings.Repeat("a", 1000)), 1000)
	if got := respondRaw(t, head+"\r\n").Do(t.Context(), request("x", true), long); got.Code != result.Served {
		t.Fatalf("a short head: %+v", got)
	}
	if got := respondRaw(t, head+padding+"\r\n").Do(t.Context(), request("x", true), long); got.Code.Class() != result.ClassUnknown {
		t.Errorf("a head of %d bytes: %v, want an unknown outcome", len(head+padding), got.Code)
	}
}

// Guards against a response that is passed on although its status is not that of a
// final response.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000 ", "000 OK", "099 OK", "+20 OK", "101 Switching Protocols"} {
		response := "HTTP/1.1 " + status + "\r\n" + HeaderRequestID + ": x\r\nContent-Length: 2\r\n\r\nok"
		if got := respondRaw(t, response).Do(t.Context(), request("x", true), long); got.Code != result.AnswerTruncated || got.Body != nil {
			t.Errorf("status %q: %+v, want %v", status, got, result.AnswerTruncated)
		}
	}
}

// Guards against a response that is passed on although the name of one of its header
// lines is not valid, so that another recipient finds the end of the body elsewhere.
func TestInvalidHeadIsNotPassedOn(t *testing.T) {
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	head := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": x\r\nContent-Type: text/plain\r\n"
	const rest = "Content-Length: 2\r\n\r\nok"
	for _, sound := range []string{head + rest, informational + head + rest, head + "Folded: a\r\n b\r\n" + rest} {
		if got := respondRaw(t, sound).Do(t.Context(), request("x", true), long); got.Code != result.Served || string(got.Body) != "ok" || got.ContentType != "text/plain" {
			t.Errorf("%q: %+v", sound, got)
		}
	}
	for _, line := range []string{
		"X More: a", "X-More : a", " X-More: a", "\tX-More: a", "X\x00More: a", "X\x7fMore: a", ": a",
		"Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "Transfer-Encoding\t: chunked",
	} {
		for _, text := range []string{head + line + "\r\n" + rest, informational + head + line + "\r\n" + rest, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n\r\n" + head + rest} {
			if got := respondRaw(t, text).Do(t.Context(), request("x", true), long); got.Code.Class() != result.ClassUnknown || got.Body != nil {
				t.Errorf("%q: %+v, want an unknown outcome", text, got)
			}
		}
	}
	chunksInOldVersion := strings.Replace(head, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n" + rest
	if got := respondRaw(t, chunksInOldVersion).Do(t.Context(), request("x", true), long); got.Code.Class() != result.ClassUnknown {
		t.Errorf("%q: %+v, want an unknown outcome", chunksInOldVersion, got)
	}
}
