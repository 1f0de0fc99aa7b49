package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
)

// delayedWriteConn delivers what is written at once, and returns from the write
// only when the connection is closed. Its server closes after the first bytes.
type delayedWriteConn struct {
	net.Conn
	delivered, closed chan struct{}
	deliver, shut     sync.Once
}

func (c *delayedWriteConn) Write(p []byte) (int, error) {
	c.deliver.Do(func() { close(c.delivered) })
	<-c.closed
	return len(p), nil
}

func (c *delayedWriteConn) Read([]byte) (int, error) {
	<-c.delivered
	return 0, io.EOF
}

func (c *delayedWriteConn) Close() error {
	c.shut.Do(func() { close(c.closed) })
	return nil
}

func (*delayedWriteConn) SetDeadline(time.Time) error { return nil }

// Guards against a request that is reported as not sent, and sent again, because its
// connection ended before the write of its header had been counted.
func TestRequestThatIsBeingWrittenMayHaveBeenSent(t *testing.T) {
	raw := &delayedWriteConn{delivered: make(chan struct{}), closed: make(chan struct{})}
	defer raw.Close()
	c := newConn(raw, bounded.New(1<<20))
	body := make([]byte, concurrentWriteBytes)
	_, _, err := c.roundTrip(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body, MatchResponse: matchID("own")})
	var failure *Failure
	if !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("%+v, want a failure that may have reached the server", failure)
	}
}

// failingWriteConn accepts a part of what is written, and then fails.
type failingWriteConn struct{ scriptedConn }

func (failingWriteConn) Write(p []byte) (int, error) { return len(p) / 2, io.ErrClosedPipe }

// Guards against another request on a connection whose server has only a part of the
// last one.
func TestConnectionWithAPartOfARequestIsNotReused(t *testing.T) {
	raw := failingWriteConn{scriptedConn{Reader: &wholeReader{text: response("Id: own\r\n", "own")}}}
	c := newConn(raw, bounded.New(1<<20))
	resp, reusable, err := c.roundTrip(context.Background(), Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MatchResponse: matchID("own")})
	if err != nil || string(resp.Body) != "own" || reusable {
		t.Errorf("%+v, %v, reusable %v; want the response and the end of the connection", resp, err, reusable)
	}
}

// wholeReader returns a text and then waits for no end.
type wholeReader struct{ text string }

func (r *wholeReader) Read(p []byte) (int, error) {
	n := copy(p, r.text)
	r.text = r.text[n:]
	return n, nil
}

// Guards against a request without end, or one that counts as not sent, whose server
// responds before it has read the body.
func TestResponseBeforeTheEndOfTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		script   string
		repeated string
		whole    bool
	}{
		"whole":         {response("Id: own\r\n", "own"), "", true},
		"cut off":       {"HTTP/1.1 200 OK\r\nId: own\r\nContent-Le", "", false},
		"endless line":  {"HTTP/1.1 200 ", strings.Repeat("O", readBuffer), false},
		"endless body":  {"HTTP/1.1 200 OK\r\nId: own\r\n\r\n", strings.Repeat("b", readBuffer), false},
		"endless other": {"", response("Id: other\r\n", "other"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				raw, err := listener.Accept()
				if err != nil {
					return
				}
				defer raw.Close()
				_, _ = raw.Read(make([]byte, 10))
				_, err = io.WriteString(raw, c.script)
				for err == nil && c.repeated != "" {
					_, err = io.WriteString(raw, c.repeated)
				}
				if c.whole {
					// The connection is closed although the body is not written yet.
					_, _ = io.Copy(io.Discard, raw)
				}
			}()
			memory := bounded.New(64 << 20)
			pool := NewPool(listener.Addr().String(), memory)
			defer pool.Close()
			req := Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20), MatchResponse: matchID("own")}
			resp, err := pool.Do(context.Background(), req, func(time.Duration) {})
			var failure *Failure
			if c.whole && (err != nil || string(resp.Body) != "own") || !c.whole && (!errors.As(err, &failure) || !failure.Sent) {
				t.Errorf("%+v, %v", resp, err)
			}
			if resp != nil {
				if reserved := 64<<20 - memory.Free(); reserved != int64(cap(resp.Body)) {
					t.Errorf("%d bytes are reserved for a capacity of %d", reserved, cap(resp.Body))
				}
				resp.Memory.Release()
			}
			<-ended
			if memory.Free() != 64<<20 {
				t.Errorf("%d bytes stay reserved", 64<<20-memory.Free())
			}
		})
	}
}
