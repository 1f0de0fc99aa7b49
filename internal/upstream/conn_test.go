package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
)

// scriptedConn returns scripted bytes and discards what is written.
type scriptedConn struct {
	net.Conn
	io.Reader
}

func (c scriptedConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }
func (scriptedConn) Write(p []byte) (int, error)  { return len(p), nil }
func (scriptedConn) SetDeadline(time.Time) error  { return nil }
func (scriptedConn) Close() error                 { return nil }

func matchID(id string) func(http.Header) Match {
	return func(h http.Header) Match {
		switch h.Get("Id") {
		case id:
			return Matching
		case "":
			return Unmarked
		default:
			return Mismatched
		}
	}
}

// exchangeOn sends a request on a connection that returns the scripted bytes.
func exchangeOn(script []byte, reused bool) (*Response, error) {
	return exchange(newConn(scriptedConn{Reader: bytes.NewReader(script)}, bounded.New(1<<20)), reused)
}

func exchange(c *conn, reused bool) (*Response, error) {
	c.used = reused
	resp, _, err := c.roundTrip(context.Background(), Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MatchResponse: matchID("own")})
	return resp, err
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against a response that cannot be told from a copy of an earlier one.
func TestOnlyTheRequestsResponseIsReturned(t *testing.T) {
	own, other, unmarked := response("Id: own\r\n", "own"), response("Id: other\r\n", "other"), response("", "none")
	for name, c := range map[string]struct {
		script string
		reused bool
		want   string
	}{
		"own":                             {own, true, "own"},
		"own after a copy":                {other + own, true, "own"},
		"only copies":                     {other + other, true, ""},
		"too many copies":                 {other + other + other + own, true, ""},
		"unmarked on a new connection":    {unmarked, false, "none"},
		"unmarked on a reused connection": {unmarked + own, true, ""},
		"unmarked after a copy":           {other + unmarked, false, ""},
		"cut off":                         {own[:len(own)-1], true, ""},
	} {
		resp, err := exchangeOn([]byte(c.script), c.reused)
		got := ""
		if err == nil {
			got = string(resp.Body)
		}
		if got != c.want {
			t.Errorf("%s: %q, %v; want %q", name, got, err, c.want)
		}
	}
}

// Guards against a Keep-Alive timeout that is out of range.
func TestIdleTimeoutIsBounded(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=10": 10*time.Second - idleTimeoutMargin, "timeout=-5": 0, "timeout=9000000000000000000": time.Hour - idleTimeoutMargin, "max=5": defaultIdleTimeout, "": defaultIdleTimeout,
	} {
		if got := idleTimeout(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}

// Guards against responses that make the reader panic, or that end early and look
// complete.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(response("Id: own\r\n", "own")), true)
	f.Add([]byte(response("", "none")), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, script []byte, reused bool) {
		resp, err := exchangeOn(script, reused)
		if err == nil && reused && resp.Header.Get("Id") != "own" {
			t.Errorf("%q gave %+v", script, resp)
		}
	})
}
