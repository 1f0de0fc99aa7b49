package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// startServer serves requests with the handler and returns the address.
func startServer(t *testing.T, handler Handler) net.Addr {
	t.Helper()
	_, address := startStoppableServer(t, handler)
	return address
}

func startStoppableServer(t *testing.T, handler Handler) (*Server, net.Addr) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Second}
	server := NewServer(handler, func() Limits { return limits }, 1<<20)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-ended; err != nil {
			t.Errorf("server ended: %v", err)
		}
	})
	return server, listener.Addr()
}

func dialServer(t *testing.T, address net.Addr) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// Guards against forwarding a request with an empty body after the caller closed
// the connection in the middle of the body (test scenario Céu Ligado
// silent-beside-roll, seed 330328408509: broke the rule UNASKED).
func TestBodyThatIsNotWholeIsNotServed(t *testing.T) {
	const sized = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
	const chunked = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	requests := map[string]string{
		"sized, no byte":       sized,
		"sized, half":          sized + "12345",
		"chunked, no byte":     chunked,
		"chunked, in a chunk":  chunked + "a\r\n12345",
		"chunked, after one":   chunked + "5\r\n12345\r\n",
		"chunked, no trailer":  chunked + "5\r\n12345\r\n0\r\n",
		"chunked, wrong frame": chunked + "zz\r\n12345\r\n0\r\n\r\n",
	}
	ends := map[string]func(*net.TCPConn){
		"closes":      func(c *net.TCPConn) { _ = c.Close() },
		"half-closes": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"resets":      func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	}
	for what, text := range requests {
		for how, end := range ends {
			t.Run(what+" "+how, func(t *testing.T) {
				t.Parallel()
				var served atomic.Int32
				address := startServer(t, func(context.Context, *Request) Response {
					served.Add(1)
					return Response{Status: http.StatusOK, Header: http.Header{}}
				})
				conn := dialServer(t, address)
				if _, err := io.WriteString(conn, text); err != nil {
					t.Fatal(err)
				}
				const seen = 50 * time.Millisecond // for the server to read what has been sent
				time.Sleep(seen)
				end(conn)
				time.Sleep(seen)
				if served.Load() > 0 {
					t.Error("the request was served")
				}
			})
		}
	}
}

// Guards against an error response that is final for a request whose head did not
// arrive in time.
func TestHeadThatArrivesTooLateTimesOut(t *testing.T) {
	for _, head := range []string{"POST /p", "POST /p HTTP/1.1", "POST /p HTTP/1.1\r\nHost", "POST /p HTTP/1.1\r\nHost: h\r\n", "POST /p HTTP/1.1\r\nHost: h\r\n\r"} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			conn := dialServer(t, startServer(t, respondOK))
			send(t, conn, head)
			if resp := receive(t, bufio.NewReader(conn)); resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("status %d, want %d", resp.StatusCode, http.StatusRequestTimeout)
			}
		})
	}
}

// Guards against a caller that waits in vain for the 100 response because an
// earlier response was not written yet.
func TestContinueFollowsEarlierResponses(t *testing.T) {
	release := make(chan struct{})
	conn := dialServer(t, startServer(t, func(ctx context.Context, r *Request) Response {
		<-release
		return respondOK(ctx, r)
	}))
	replies := bufio.NewReader(conn)
	send(t, conn, shortRequest+"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
	time.Sleep(settleTime)
	close(release)
	for _, want := range []int{http.StatusOK, http.StatusContinue, http.StatusOK} {
		if resp := receive(t, replies); resp.StatusCode != want {
			t.Fatalf("status %d, want %d", resp.StatusCode, want)
		}
		if want == http.StatusContinue {
			send(t, conn, "12345")
		}
	}
}

// Guards against refusing or changing a whole body.
func TestWholeBodiesAreServed(t *testing.T) {
	for what, text := range map[string]string{
		"sized":   "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345",
		"chunked": "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n2\r\n45\r\n0\r\n\r\n",
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			address := startServer(t, func(_ context.Context, r *Request) Response {
				return Response{Status: http.StatusOK, Header: http.Header{}, Body: r.Body}
			})
			conn := dialServer(t, address)
			if _, err := io.WriteString(conn, text); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "12345" {
				t.Errorf("body %q, %v", body, err)
			}
		})
	}
}

// Guards against a planned stop that ends connections on which a request is on its
// way, has begun to arrive, or has arrived on a connection that was just accepted.
func TestRequestsInTransitAreServedAtAStop(t *testing.T) {
	const text = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345"
	serveOK := func(_ context.Context, r *Request) Response {
		return Response{Status: http.StatusOK, Header: http.Header{}, Body: r.Body}
	}
	write := func(t *testing.T, conn net.Conn, text string) {
		t.Helper()
		if _, err := io.WriteString(conn, text); err != nil {
			t.Error(err)
		}
	}
	const transit = 30 * time.Millisecond // a round trip of a caller
	for what, stop := range map[string]func(*testing.T, *Server, net.Conn){
		"on its way": func(t *testing.T, s *Server, conn net.Conn) {
			time.Sleep(transit)
			s.CloseIdle()
			time.Sleep(transit)
			write(t, conn, text)
		},
		"begun": func(t *testing.T, s *Server, conn net.Conn) {
			write(t, conn, text[:20])
			time.Sleep(transit)
			s.CloseIdle()
			time.Sleep(2 * lastRequestWait)
			write(t, conn, text[20:])
		},
		"just accepted": func(t *testing.T, s *Server, conn net.Conn) {
			s.CloseIdle()
			write(t, conn, text)
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			server, address := startStoppableServer(t, serveOK)
			conn := dialServer(t, address)
			idle := dialServer(t, address)
			stop(t, server, conn)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "12345" || !resp.Close {
				t.Errorf("body %q, %v, close %v; want the whole response and the end of the connection", body, err, resp.Close)
			}
			_ = resp.Body.Close()
			if !server.Wait(5 * time.Second) {
				t.Error("a connection without a request stays open")
			}
			_ = idle.Close()
		})
	}
}
