package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	shortRequest = "GET /p HTTP/1.1\r\nHost: h\r\n\r\n"
	// settleTime is the time in which the server sees what was sent to it.
	settleTime = 50 * time.Millisecond
)

func respondOK(_ context.Context, r *Request) Response {
	return Response{Status: http.StatusOK, Header: http.Header{}, Body: r.Body}
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Error(err)
	}
}

// receive reads a response with its body.
func receive(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatalf("no whole response: %v", err)
	}
	_ = resp.Body.Close()
	return resp
}

// gatedListener delays accepted connections, or the accepting, until the gate is
// open.
type gatedListener struct {
	*net.TCPListener
	beforeAccept, afterAccept chan struct{}
	accepted                  chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.beforeAccept
	conn, err := l.TCPListener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.afterAccept
	}
	return conn, err
}

func startGated(t *testing.T) (*Server, *gatedListener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &gatedListener{
		TCPListener:  inner.(*net.TCPListener),
		beforeAccept: make(chan struct{}), afterAccept: make(chan struct{}), accepted: make(chan struct{}, 64),
	}
	limits := Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Second}
	server := NewServer(respondOK, func() Limits { return limits }, 1<<20)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-ended; err != nil {
			t.Errorf("server ended: %v", err)
		}
	})
	return server, listener
}

// Guards against a process that exits while it holds a connection that it has just
// accepted.
func TestWaitCoversAConnectionBeingAccepted(t *testing.T) {
	server, listener := startGated(t)
	close(listener.beforeAccept)
	conn := dialServer(t, listener.Addr())
	<-listener.accepted
	_ = listener.Close()
	server.CloseIdle()
	waited := make(chan bool, 1)
	go func() { waited <- server.Wait(5 * time.Second) }()
	select {
	case <-waited:
		t.Error("Wait returned before the accepted connection was served")
	case <-time.After(settleTime):
	}
	close(listener.afterAccept)
	send(t, conn, shortRequest)
	receive(t, bufio.NewReader(conn))
}

// Guards against a stop that resets the connections in the kernel's queue.
func TestQueuedConnectionsAreServedAtAStop(t *testing.T) {
	const queued = 20
	server, listener := startGated(t)
	close(listener.afterAccept)
	var conns []net.Conn
	for range queued {
		conn := dialServer(t, listener.Addr())
		send(t, conn, shortRequest)
		conns = append(conns, conn)
	}
	server.CloseIdle()
	close(listener.beforeAccept)
	for _, conn := range conns {
		if resp := receive(t, bufio.NewReader(conn)); !resp.Close {
			t.Error("the connection stays open")
		}
	}
	if !server.Wait(5 * time.Second) {
		t.Error("the server does not end")
	}
}

// socketError returns the pending error of the caller's socket.
func socketError(t *testing.T, conn *net.TCPConn) (failure error) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		failure = err
		if code != 0 {
			failure = unix.Errno(code)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return failure
}

// Guards against a close of an idle connection that reads a request in transit and
// leaves its caller without a sign that it was not run.
func TestIdleCloseReadsNoRequest(t *testing.T) {
	server, address := startStoppableServer(t, respondOK)
	conn := dialServer(t, address)
	replies := bufio.NewReader(conn)
	server.CloseIdle()
	if _, err := replies.Peek(1); !errors.Is(err, io.EOF) {
		t.Fatalf("%v, want the end of the connection", err)
	}
	send(t, conn, shortRequest)
	for until := time.Now().Add(2 * time.Second); socketError(t, conn) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no reset: the request was read and not answered")
		}
	}
}

// Guards against closing a connection as idle on which a request has arrived just
// before.
func TestRequestThatArrivedBeforeTheIdleCloseIsServed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server, _ := startStoppableServer(t, respondOK)
	conn := dialServer(t, listener.Addr())
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	send(t, conn, shortRequest)
	served := newConn(server, raw)
	for !hasInput(raw.(*net.TCPConn)) {
		time.Sleep(time.Millisecond)
	}
	served.finishBy = time.Now()
	go served.serve()
	receive(t, bufio.NewReader(conn))
}

// Guards against a stop after which callers go on using a connection because the
// response to a request that was read before does not announce the end.
func TestResponsesInProgressAnnounceTheEndAtAStop(t *testing.T) {
	for what, stop := range map[string]func(*Server){
		"drain":                      (*Server).Drain,
		"close idle":                 (*Server).CloseIdle,
		"close idle, slow responses": func(s *Server) { s.CloseIdle(); time.Sleep(2 * lastRequestWait) },
	} {
		for _, c := range []struct {
			what, before, after string
			responses           int
		}{
			{"one request", shortRequest, "", 1},
			{"two requests", shortRequest + shortRequest, "", 2},
			{"second one begun", shortRequest + shortRequest[:9], shortRequest[9:], 2},
		} {
			t.Run(what+" "+c.what, func(t *testing.T) {
				t.Parallel()
				entered, release := make(chan struct{}), make(chan struct{})
				server, address := startStoppableServer(t, func(ctx context.Context, r *Request) Response {
					entered <- struct{}{}
					<-release
					return respondOK(ctx, r)
				})
				conn := dialServer(t, address)
				replies := bufio.NewReader(conn)
				send(t, conn, c.before)
				for range strings.Count(c.before, "\r\n\r\n") {
					<-entered
				}
				go func() {
					for range entered {
					}
				}()
				stop(server)
				close(release)
				for i := range c.responses {
					if i == 1 {
						send(t, conn, c.after)
					}
					if resp := receive(t, replies); resp.Close != (i == c.responses-1) {
						t.Errorf("response %d of %d: Connection: close is %v", i+1, c.responses, resp.Close)
					}
				}
				if _, err := replies.Peek(1); !errors.Is(err, io.EOF) {
					t.Errorf("%v, want the end of the connection", err)
				}
			})
		}
	}
}

// Guards against a connection that is closed as idle right after a response that
// took long.
func TestIdleTimeCountsFromTheLastResponse(t *testing.T) {
	t.Parallel()
	const idleTimeout = time.Second // of startStoppableServer
	_, address := startStoppableServer(t, func(ctx context.Context, r *Request) Response {
		time.Sleep(idleTimeout * 8 / 10)
		return respondOK(ctx, r)
	})
	conn := dialServer(t, address)
	replies := bufio.NewReader(conn)
	send(t, conn, shortRequest)
	receive(t, replies)
	time.Sleep(idleTimeout / 2)
	send(t, conn, shortRequest)
	receive(t, replies)
}

// Guards against a stop that cuts requests which are still arriving, instead of
// telling their callers that they have not run.
func TestUnreadRequestsAreRefusedAtTheEndOfAStop(t *testing.T) {
	const sized = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
	const chunked = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	const slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	for what, c := range map[string]struct {
		text     string
		statuses []int
	}{
		"in the head":         {sized[:9], []int{503}},
		"body, no byte":       {sized, []int{503}},
		"in the body":         {sized + "12345", []int{503}},
		"in a chunk":          {chunked + "a\r\n12345", []int{503}},
		"after a chunk":       {chunked + "5\r\n12345\r\n", []int{503}},
		"in flight":           {slow, []int{200}},
		"in flight and begun": {slow + sized + "12345", []int{200, 503}},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			server, address := startStoppableServer(t, func(ctx context.Context, r *Request) Response {
				if r.URL.Path != "/slow" {
					t.Error("a request that was not whole was served")
				}
				<-release
				return respondOK(ctx, r)
			})
			idle := dialServer(t, address)
			conn := dialServer(t, address)
			send(t, conn, c.text)
			time.Sleep(settleTime)
			server.CloseIdle()
			server.RefuseUnread()
			time.AfterFunc(settleTime, func() { close(release) })
			replies := bufio.NewReader(conn)
			for i, want := range c.statuses {
				resp := receive(t, replies)
				last := i == len(c.statuses)-1
				if resp.StatusCode != want || resp.Close != last || (want == 503) != (resp.Header.Get("Retry-After") != "") {
					t.Errorf("response %d: %d, close %v, %v", i+1, resp.StatusCode, resp.Close, resp.Header)
				}
			}
			_ = conn.Close()
			if !server.Wait(5 * time.Second) {
				t.Error("a connection stays open")
			}
			if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("idle connection: %v, want its end", err)
			}
			if free := server.memory.Free(); free != 1<<20 {
				t.Errorf("%d bytes of memory are not released", 1<<20-free)
			}
		})
	}
}

// Guards against a stop under load that cuts a request which was passed to the
// handler, or lets a caller send another one behind the last response.
func TestEveryServedRequestIsAnsweredAtAStopUnderLoad(t *testing.T) {
	var mu sync.Mutex
	unanswered := make(map[string]bool)
	server, address := startStoppableServer(t, func(ctx context.Context, r *Request) Response {
		mu.Lock()
		unanswered[r.Target] = true
		mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		resp := respondOK(ctx, r)
		resp.Header.Set("Target", r.Target)
		return resp
	})
	var running sync.WaitGroup
	for caller := range 64 {
		running.Go(func() {
			for connection := 0; ; connection++ {
				conn, err := net.Dial("tcp", address.String())
				if err != nil {
					return // the server has stopped
				}
				replies := bufio.NewReader(conn)
				for sent, kept := 0, true; kept; {
					pipelined := 1 + rand.IntN(3)
					for range pipelined {
						text := fmt.Sprintf("POST /%d-%d-%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n", caller, connection, sent)
						sent++
						half := rand.IntN(len(text))
						_, _ = io.WriteString(conn, text[:half])
						if rand.IntN(4) == 0 {
							time.Sleep(time.Millisecond)
						}
						_, _ = io.WriteString(conn, text[half:])
					}
					for range pipelined {
						resp, err := http.ReadResponse(replies, nil)
						if err != nil {
							kept = false
							break
						}
						if _, err := io.ReadAll(resp.Body); err != nil {
							t.Errorf("no whole response: %v", err)
						}
						mu.Lock()
						delete(unanswered, resp.Header.Get("Target"))
						mu.Unlock()
						if kept = !resp.Close; !kept {
							break
						}
					}
					time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
				}
				_ = conn.Close()
			}
		})
	}
	const phase = 100 * time.Millisecond
	time.Sleep(phase)
	server.Drain()
	time.Sleep(phase)
	server.CloseIdle()
	time.Sleep(phase)
	server.RefuseUnread()
	if !server.Wait(10 * time.Second) {
		t.Error("a connection stays open")
	}
	running.Wait()
	if len(unanswered) > 0 {
		t.Errorf("%d requests were passed to the handler and not answered: %v", len(unanswered), unanswered)
	}
}

// Guards against serving a request that was sent behind the last response, which
// its caller sends again elsewhere.
func TestRequestBehindTheLastResponseIsNotRead(t *testing.T) {
	server, _ := startStoppableServer(t, respondOK)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn := dialServer(t, listener.Addr())
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	served := newConn(server, raw)
	served.beginRequest()
	server.Drain()
	if !served.chooseLastResponse() {
		t.Fatal("the response is not the last one")
	}
	send(t, conn, shortRequest)
	if reason, ended := served.awaitRequest(server.limits()); !ended || reason != afterResponse {
		t.Errorf("end %v, %v; want the end after the response", reason, ended)
	}
}
