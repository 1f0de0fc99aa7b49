package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// readyWithoutCache makes the host ready without cached lookup responses, so that
// it refuses requests as soon as it stops.
func (h *testHost) readyWithoutCache() {
	h.lifecycle.mu.Lock()
	defer h.lifecycle.mu.Unlock()
	h.lifecycle.host = drain.NewHost(0)
	h.lifecycle.host.Configured(0, time.Now())
}

// beginStop stops the host. Its daemon ends when the lifecycle does.
func (h *testHost) beginStop() {
	h.lifecycle.stop()
	h.lifecycle.tick()
	go func() {
		<-h.lifecycle.exited
		h.stop()
	}()
}

// Guards against a stop that cuts the reply to another host.
func TestStopSendsReplyToOtherHost(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1})
	h := f.hosts[0]
	h.readyWithoutCache()
	stored := make(chan struct{})
	h.setOnStep(func(at requestStep, _ Request) {
		if at == stepStored {
			h.beginStop()
			close(stored)
		}
	})
	client := wire.NewClient(wire.Identity{Environment: "test", Host: "owner"}, wire.DefaultMaxFrameBytes)
	defer client.Close()
	req := Request{
		ID: "forwarded", Service: "desk", Path: "run", Rank: "check", HomeRegion: "r", FromRegion: "r",
		Deadline: time.Now().Add(20 * time.Second), Body: make([]byte, 1<<20),
	}
	stream, err := client.Open(t.Context(), h.peers, &wirepb.Envelope{Body: &wirepb.Envelope_ForwardRequest{
		ForwardRequest: requestToWire(req, wirepb.Stage_STAGE_DISPATCH, time.Now()),
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	<-stored
	select {
	case <-h.lifecycle.exited:
		t.Error("the stop ended before the reply was read")
	case <-time.After(50 * time.Millisecond):
	}
	reply, err := stream.Receive()
	if err != nil {
		t.Fatalf("no reply to a request that ran %d times: %v", f.runs("forwarded"), err)
	}
	if got := responseFromWire(req, reply.GetForwardReply()); got.Code != result.Served {
		t.Errorf("result %v, want %v", got.Code, result.Served)
	}
	<-h.lifecycle.exited
}

// sendHeader sends the header of a request with a body of bodyBytes.
func sendHeader(t *testing.T, h *testHost, id string, idempotent bool, bodyBytes int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /v1/requests/desk/run HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nExpect: 100-continue\r\n"+
		"%s: %s\r\n%s: check\r\n%s: 20000\r\n%s: %t\r\n\r\n", bodyBytes, HeaderRequestID, id, HeaderRank, HeaderDeadline, HeaderIdempotent, idempotent)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a stop that cuts a request whose body is still arriving.
func TestStopAwaitsBodyThatBeganToArrive(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1})
	h := f.hosts[0]
	h.readyWithoutCache()
	conn := sendHeader(t, h, h.id("late-body"), false, 2048)
	reader := bufio.NewReader(conn)
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("response %v, error %v", resp, err)
	}
	h.lifecycle.stop()
	h.lifecycle.tick()
	select {
	case <-h.lifecycle.exited:
		t.Error("the stop ended before the body arrived")
	case <-time.After(50 * time.Millisecond):
	}
	_, _ = conn.Write(make([]byte, 1024))
	_, _ = conn.Write(make([]byte, 1024))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if got := resp.Header.Get(HeaderClass); got != result.ClassServed.String() {
		t.Errorf("class %q, result %s", got, resp.Header.Get(HeaderResult))
	}
	<-h.lifecycle.exited
}

// Guards against a refusal that waits for a body, which the stop does not await.
func TestRefusalAwaitsNoBody(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1})
	h := f.hosts[0]
	h.readyWithoutCache()
	if !h.lifecycle.begin() {
		t.Fatal("a ready host refused")
	}
	h.lifecycle.stop()
	h.lifecycle.tick()
	const bodyBytes = 1 << 20 // more than net/http reads of a body that a handler leaves unread
	conn := sendHeader(t, h, "refused", true, bodyBytes)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Errorf("read response: %v", err)
	}
	if got := resp.Header.Get(HeaderResult); got != fmt.Sprint(uint32(result.Stopping)) || !resp.Close {
		t.Errorf("result %s, close %v", got, resp.Close)
	}
	if _, err := conn.Write(make([]byte, bodyBytes)); err != nil {
		t.Errorf("the connection was reset while the body was sent: %v", err)
	}
}

// pipeListener accepts in-memory connections, whose writes return when the server has
// read them.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a stop that cuts a request whose header is still arriving on a kept connection.
func TestStopAnswersHeaderThatBeganToArrive(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1})
	h := f.hosts[0]
	h.settings.Limits.MaxConnections = 2
	h.readyWithoutCache()
	conn, serverSide := net.Pipe()
	defer conn.Close()
	listener := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	listener.conns <- serverSide
	server := h.newCallerServer(listener)
	ended := make(chan error, 1)
	go func() { ended <- server.serve() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	const line = "POST /v1/requests/desk/run HTTP/1.1\r\n"
	header := fmt.Sprintf("Host: x\r\nContent-Length: 0\r\n%s: late\r\n%s: check\r\n%s: 20000\r\n%s: true\r\n\r\n",
		HeaderRequestID, HeaderRank, HeaderDeadline, HeaderIdempotent)
	go func() { _, _ = io.WriteString(conn, line+header) }()
	first, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, first.Body)
	_, _ = io.WriteString(conn, line)
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- h.awaitShutdown(ctx, t.Context(), server) }()
	stop()
	for h.lifecycle.state() != model.HostLeft {
		time.Sleep(time.Millisecond)
		h.lifecycle.tick()
	}
	<-ended
	go func() { _, _ = io.WriteString(conn, header) }()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if got := resp.Header.Get(HeaderResult); got != fmt.Sprint(uint32(result.Stopping)) {
		t.Errorf("result %s", got)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a panic that leaves a caller's request without an answer.
func TestPanicAnswersCaller(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1})
	h := f.hosts[0]
	h.setOnStep(func(at requestStep, _ Request) {
		if at == stepDispatched {
			panic("injected")
		}
	})
	for _, idempotent := range []bool{false, true} {
		got, err := f.send(h, h.id(fmt.Sprint(idempotent)), idempotent, "b")
		if err != nil || got.Class != result.ClassUnknown.String() {
			t.Errorf("idempotent %t: %+v, %v, want an unknown outcome", idempotent, got, err)
		}
	}
}

// Guards against a panic in one forwarded request that ends the daemon without a drain.
func TestPanicEndsOnlyItsForwardedRequest(t *testing.T) {
	f := newFleet(t, 1, 1, standin.BackendConfig{Slots: 1})
	h := f.hosts[0]
	h.readyWithoutCache()
	h.setOnStep(func(at requestStep, req Request) {
		if at == stepDispatched && req.ID == "panics" {
			panic("injected")
		}
	})
	client := wire.NewClient(wire.Identity{Environment: "test", Host: "owner"}, wire.DefaultMaxFrameBytes)
	defer client.Close()
	for _, id := range []string{"panics", "follows"} {
		req := Request{
			ID: id, Service: "desk", Path: "run", Rank: "check", HomeRegion: "r", FromRegion: "r",
			Deadline: time.Now().Add(20 * time.Second),
		}
		reply, err := client.Call(t.Context(), h.peers, &wirepb.Envelope{Body: &wirepb.Envelope_ForwardRequest{
			ForwardRequest: requestToWire(req, wirepb.Stage_STAGE_DISPATCH, time.Now()),
		}})
		if failed := err != nil; failed != (id == "panics") {
			t.Errorf("%s: reply %v, error %v", id, reply, err)
		}
	}
	h.beginStop()
	<-h.lifecycle.exited
}
