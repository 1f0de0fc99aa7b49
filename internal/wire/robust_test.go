package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// handlerFunc adapts a function to Handler.
type handlerFunc func(ctx context.Context, env *wirepb.Envelope, stream *Stream)

func (f handlerFunc) Handle(ctx context.Context, _ *wirepb.Hello, env *wirepb.Envelope, stream *Stream) {
	f(ctx, env, stream)
}

func echo(_ context.Context, env *wirepb.Envelope, stream *Stream) { _ = stream.Send(env) }

// pair is a client and a server in a synctest bubble, with in-memory connections
// that drop the client's writes while dropWrites is set.
type pair struct {
	client     *Client
	server     *Server
	accept     chan net.Conn
	dropWrites atomic.Bool
	// longestWrite is the length of the client's longest write in bytes.
	longestWrite atomic.Int64
}

// Accept, Close and Addr make the pair the server's listener.
func (p *pair) Accept() (net.Conn, error) {
	if conn, ok := <-p.accept; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (p *pair) Close() error   { return nil }
func (p *pair) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pair) dial() net.Conn {
	near, far := net.Pipe()
	p.accept <- far
	return near
}

// pairConn is the client's side of a connection of a pair.
type pairConn struct {
	net.Conn
	pair *pair
	// dropping stays set after the first dropped write: a later write would
	// leave a gap in the byte stream.
	dropping atomic.Bool
}

func (c *pairConn) Write(b []byte) (int, error) {
	c.pair.longestWrite.Store(max(c.pair.longestWrite.Load(), int64(len(b))))
	if c.pair.dropWrites.Load() || c.dropping.Load() {
		c.dropping.Store(true)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// withPair runs a test on a fake clock. yamux keeps timers in a pool that all
// sessions share, and a timer must not be used outside its bubble. Two garbage
// collections empty the pool.
func withPair(t *testing.T, handler handlerFunc, test func(t *testing.T, p *pair)) {
	t.Helper()
	emptyPools := func() { runtime.GC(); runtime.GC() }
	emptyPools()
	defer emptyPools()
	synctest.Test(t, func(t *testing.T) {
		const maxFrame = 1 << 20
		p := &pair{accept: make(chan net.Conn)}
		p.client = NewClient(Identity{Environment: "trial"}, maxFrame)
		p.client.connect = func(string) (net.Conn, error) { return &pairConn{Conn: p.dial(), pair: p}, nil }
		p.server = NewServer(Identity{Environment: "trial"}, handler, maxFrame, nil)
		p.server.MaxSessions, p.server.MaxStreams = 2, 3
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- p.server.Serve(ctx, p) }()
		test(t, p)
		p.client.Close()
		cancel()
		close(p.accept)
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
	})
}

func (p *pair) call(ctx context.Context, id string) error {
	_, err := p.client.Call(ctx, "peer", recall(id))
	return err
}

func wantCode(t *testing.T, err error, want result.Code) {
	t.Helper()
	var refused *result.Error
	if !errors.As(err, &refused) || refused.Code != want {
		t.Errorf("error %v, want code %v", err, want)
	}
}

// Guards against calls that hang on a connection whose peer stopped responding,
// and against a client that does not open a new one.
func TestSilentPeerIsAbandoned(t *testing.T) {
	withPair(t, echo, func(t *testing.T, p *pair) {
		if err := p.call(t.Context(), "before"); err != nil {
			t.Fatal(err)
		}
		p.dropWrites.Store(true)
		began := time.Now()
		var lost *CallError
		if err := p.call(t.Context(), "during"); !errors.As(err, &lost) || !lost.Sent {
			t.Errorf("error %v, want a call that may have been received", err)
		}
		if waited := time.Since(began); waited > 3*time.Second {
			t.Errorf("the call waited %v", waited)
		}
		p.dropWrites.Store(false)
		if err := p.call(t.Context(), "after"); err != nil {
			t.Errorf("call on a new connection: %v", err)
		}
	})
}

// Guards against waiting for a peer that accepts connections and never replies
// to the greeting.
func TestPeerWithoutGreetingIsAbandoned(t *testing.T) {
	withPair(t, echo, func(t *testing.T, p *pair) {
		p.client.connect = func(string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		}
		began := time.Now()
		var lost *CallError
		if err := p.call(t.Context(), "x"); !errors.As(err, &lost) || lost.Sent {
			t.Errorf("error %v, want a call that was not sent", err)
		}
		if waited := time.Since(began) + dialTimeout; waited > 3*time.Second {
			t.Errorf("the call waits up to %v", waited)
		}
	})
}

// Guards against a peer that occupies one of the limited sessions by sending its
// greeting one byte at a time, and against an unbounded number of sessions.
func TestSlowGreetingTimesOut(t *testing.T) {
	withPair(t, echo, func(t *testing.T, p *pair) {
		conn, began := p.dial(), time.Now()
		for _, slow := range []net.Conn{conn, p.dial()} {
			go func() {
				for _, err := slow.Write([]byte{0}); err == nil; _, err = slow.Write([]byte{0}) {
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
		synctest.Wait()
		if err := p.call(t.Context(), "x"); err == nil || p.server.Stats().RefusedSessions != 1 {
			t.Errorf("session over the limit: error %v, counted %d", err, p.server.Stats().RefusedSessions)
		}
		_, _ = io.Copy(io.Discard, conn)
		if held := time.Since(began); held > 2*time.Second {
			t.Errorf("the session was occupied for %v", held)
		}
		if err := p.call(t.Context(), "y"); err != nil {
			t.Errorf("call after the session was freed: %v", err)
		}
	})
}

// rawCall opens a stream, writes bytes that are not a valid frame, and returns
// the failure in the reply.
func (p *pair) rawCall(t *testing.T, raw []byte) error {
	t.Helper()
	session, err := p.client.session(t.Context(), "peer")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := session.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	// The server frees the stream of a call after its reply.
	defer synctest.Wait()
	defer conn.Close()
	if _, err := conn.Write(raw); err != nil {
		return err
	}
	reply, err := ReadFrame(conn, maxGreetingBytes)
	if err != nil {
		return err
	}
	return &result.Error{Code: result.Code(reply.GetFailure().GetCode())}
}

// Guards against an invalid frame that breaks other calls on the connection, is
// not counted, or gets no reply.
func TestInvalidFramesCloseOnlyTheirStream(t *testing.T) {
	release := make(chan struct{})
	wait := func(ctx context.Context, env *wirepb.Envelope, stream *Stream) {
		<-release
		echo(ctx, env, stream)
	}
	withPair(t, wait, func(t *testing.T, p *pair) {
		release = make(chan struct{})
		done := make(chan error)
		go func() { done <- p.call(t.Context(), "long") }()
		synctest.Wait()
		wantCode(t, p.rawCall(t, []byte{0, 0, 0, 2, 0xff, 0xff}), result.UnknownMessage)
		wantCode(t, p.rawCall(t, []byte{0, 0, 0, 0}), result.UnknownMessage)
		oversized := make([]byte, 1<<20+lengthPrefixBytes)
		binary.BigEndian.PutUint32(oversized, 1<<20+1)
		wantCode(t, p.rawCall(t, oversized), result.FrameTooLarge)
		if got := p.server.Stats().InvalidInput; got != 3 {
			t.Errorf("%d frames counted, want 3", got)
		}
		close(release)
		if err := <-done; err != nil {
			t.Errorf("the other call failed: %v", err)
		}
	})
}

// Guards against sending a frame that the peer must refuse. Its call would count
// as sent, which forbids a retry.
func TestOversizedCallIsNotSent(t *testing.T) {
	withPair(t, echo, func(t *testing.T, p *pair) {
		err := p.call(t.Context(), strings.Repeat("x", 1<<20))
		var unsent *CallError
		if !errors.As(err, &unsent) || unsent.Sent {
			t.Errorf("error %v, want a call that was not sent", err)
		}
		wantCode(t, err, result.FrameTooLarge)
	})
}

// Guards against an unbounded number of calls on one connection.
func TestStreamsPerSessionAreBounded(t *testing.T) {
	var running atomic.Int64
	hold := func(ctx context.Context, _ *wirepb.Envelope, stream *Stream) {
		running.Add(1)
		defer running.Add(-1)
		ctx, stop := stream.CancelOnClose(ctx)
		defer stop()
		<-ctx.Done()
	}
	withPair(t, hold, func(t *testing.T, p *pair) {
		ctx, cancel := context.WithCancel(t.Context())
		for range 3 {
			go func() { _ = p.call(ctx, "held") }()
		}
		synctest.Wait()
		bounded, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		wantCode(t, p.call(bounded, "over"), result.NotReady)
		// Longer than the peer accepts without reading.
		wantCode(t, p.call(bounded, strings.Repeat("x", 1<<19)), result.NotReady)
		if running.Load() != 3 || p.server.Stats().RefusedStreams != 2 {
			t.Errorf("%d calls run, %d refused", running.Load(), p.server.Stats().RefusedStreams)
		}
		cancel()
		synctest.Wait()
		session := p.client.cachedSession("peer")
		if running.Load() != 0 || session == nil || session.NumStreams() != 0 {
			t.Errorf("%d calls run after their callers cancelled them", running.Load())
		}
	})
}

// Guards against a handler that waits forever for a peer that does not read.
func TestUnreadRepliesTimeOut(t *testing.T) {
	ended := make(chan error, 1)
	flood := func(_ context.Context, env *wirepb.Envelope, stream *Stream) {
		for {
			if err := stream.Send(env); err != nil {
				ended <- err
				return
			}
		}
	}
	withPair(t, flood, func(t *testing.T, p *pair) {
		ended = make(chan error, 1)
		stream, err := p.client.Open(t.Context(), "peer", recall(strings.Repeat("x", 1000)))
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		select {
		case <-ended:
		case <-time.After(time.Minute):
		}
		if waited := time.Since(began); waited > chunkTimeout {
			t.Errorf("the handler waited %v", waited)
		}
		stream.Close()
	})
}

// Guards against a long frame that delays other streams because it is written at
// once.
func TestLargeFramesAreSentInChunks(t *testing.T) {
	withPair(t, echo, func(t *testing.T, p *pair) {
		if err := p.call(t.Context(), strings.Repeat("x", 1<<19)); err != nil {
			t.Fatal(err)
		}
		if longest := p.longestWrite.Load(); longest > chunkBytes {
			t.Errorf("a single write of %d bytes, want at most %d", longest, chunkBytes)
		}
	})
}

// Guards against a client that opens connections after it was closed.
func TestClosedClientKeepsNoSession(t *testing.T) {
	withPair(t, echo, func(t *testing.T, p *pair) {
		p.client.Close()
		if err := p.call(t.Context(), "x"); !errors.Is(err, net.ErrClosed) || p.client.cachedSession("peer") != nil {
			t.Errorf("error %v", err)
		}
	})
}

// Guards against sessions that stay open after a process has called every peer
// once, and against closing one during a call.
func TestIdleSessionsAreClosed(t *testing.T) {
	withPair(t, echo, func(t *testing.T, p *pair) {
		p.client.IdleTimeout = 3 * time.Second
		for range 5 {
			if err := p.call(t.Context(), "x"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
		watch, err := p.client.Open(t.Context(), "peer", recall("watch"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		session := p.client.cachedSession("peer")
		if session == nil {
			t.Fatal("the session of an open call was closed")
		}
		watch.Close()
		time.Sleep(2900 * time.Millisecond)
		if session.IsClosed() {
			t.Error("the session was closed before IdleTimeout")
		}
		time.Sleep(200 * time.Millisecond)
		if !session.IsClosed() || p.client.cachedSession("peer") != nil {
			t.Error("the idle session is still open")
		}
		if err := p.call(t.Context(), "again"); err != nil {
			t.Error(err)
		}
	})
}

// Guards against allocating memory for bytes that a peer announces and does not
// send.
func TestAnnouncedLengthAllocatesNoMemory(t *testing.T) {
	frame := binary.BigEndian.AppendUint32(nil, 9<<20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := ReadFrame(bytes.NewReader(frame), DefaultMaxFrameBytes)
	runtime.ReadMemStats(&after)
	if grown := after.TotalAlloc - before.TotalAlloc; err == nil || grown > 1<<20 {
		t.Errorf("error %v, %d bytes allocated", err, grown)
	}
}

// FuzzReadFrame guards against bytes that crash the decoder, and against an
// envelope that changes when it is written and read again.
func FuzzReadFrame(f *testing.F) {
	for _, id := range []string{"", "a", strings.Repeat("b", 300)} {
		var buf bytes.Buffer
		if err := WriteFrame(&buf, recall(id)); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Add([]byte{0, 0, 0, 2, 0xff, 0xff})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		env, err := ReadFrame(bytes.NewReader(raw), 1<<16)
		if err != nil {
			return
		}
		var buf bytes.Buffer
		if err := WriteFrame(&buf, env); err != nil {
			t.Fatal(err)
		}
		again, err := ReadFrame(&buf, 1<<17)
		if err != nil || !proto.Equal(env, again) {
			t.Fatalf("error %v, envelope %v became %v", err, env, again)
		}
	})
}

// failingListener fails the first Accept as a process without free descriptors does.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a temporary failure to accept that ends the daemon without a drain.
func TestServerSurvivesTemporaryAcceptError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	server := NewServer(Identity{Environment: "trial", Host: "server"}, echoHandler{}, DefaultMaxFrameBytes, nil)
	go func() { done <- server.Serve(ctx, &failingListener{Listener: listener}) }()
	client := NewClient(Identity{Environment: "trial"}, DefaultMaxFrameBytes)
	defer client.Close()
	if _, err := client.Call(t.Context(), listener.Addr().String(), recall("x")); err != nil {
		t.Errorf("call after the failure: %v", err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("the server ended: %v", err)
	}
}
