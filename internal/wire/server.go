package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Stream is one call. It is not safe for concurrent sends.
type Stream struct {
	conn     *yamux.Stream
	maxFrame int
	stop     func() bool
}

func newStream(conn *yamux.Stream, maxFrame int) *Stream {
	return &Stream{conn: conn, maxFrame: maxFrame}
}

// Send writes one envelope.
func (s *Stream) Send(env *wirepb.Envelope) error {
	return WriteFrame(s.conn, env)
}

// Receive reads one envelope.
func (s *Stream) Receive() (*wirepb.Envelope, error) {
	return ReadFrame(s.conn, s.maxFrame)
}

// Close ends the call.
func (s *Stream) Close() {
	if s.stop != nil {
		s.stop()
	}
	_ = s.conn.Close()
}

// Handler answers calls. Implementations are called concurrently, once per
// stream; the stream is closed when Handle returns.
type Handler interface {
	Handle(ctx context.Context, peer *wirepb.Hello, env *wirepb.Envelope, stream *Stream)
}

// Counters are called when the server meets invalid input.
type Counters interface {
	InvalidInput(code result.Code)
}

// Server accepts sessions of peers.
type Server struct {
	self     Identity
	handler  Handler
	maxFrame int
	counters Counters
	// MaxSessions bounds the sessions that are open at the same time.
	MaxSessions int
	sessions    sync.WaitGroup
}

// defaultMaxSessions leaves room for every host of a large region.
const defaultMaxSessions = 1024

// firstFrameTimeout bounds the wait for the request frame of an open stream.
const firstFrameTimeout = 5 * time.Second

// NewServer returns a server that hands calls to handler.
func NewServer(self Identity, handler Handler, maxFrameBytes int, counters Counters) *Server {
	return &Server{
		self:        self,
		handler:     handler,
		maxFrame:    maxFrameBytes,
		counters:    counters,
		MaxSessions: defaultMaxSessions,
	}
}

// Serve accepts connections until ctx ends or the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.sessions.Wait()
	tokens := make(chan struct{}, s.MaxSessions)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case tokens <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		s.sessions.Go(func() {
			defer func() { <-tokens }()
			s.serveConn(ctx, conn)
		})
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	session, hello, err := acceptSession(conn, s.self)
	if err != nil {
		s.count(err)
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		calls.Go(func() { s.serveStream(ctx, hello, newStream(conn, s.maxFrame)) })
	}
}

func (s *Server) serveStream(ctx context.Context, hello *wirepb.Hello, stream *Stream) {
	defer stream.Close()
	_ = stream.conn.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	env, err := stream.Receive()
	if err != nil {
		s.refuse(err, stream)
		return
	}
	_ = stream.conn.SetReadDeadline(time.Time{})
	s.handler.Handle(ctx, hello, env, stream)
}

func (s *Server) refuse(err error, stream *Stream) {
	s.count(err)
	var refused *result.Error
	if errors.As(err, &refused) {
		_ = stream.Send(FailureEnvelope(refused.Code, refused.Detail))
	}
}

func (s *Server) count(err error) {
	var refused *result.Error
	if s.counters != nil && errors.As(err, &refused) {
		s.counters.InvalidInput(refused.Code)
	}
}
