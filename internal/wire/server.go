package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Handler replies to calls. Handle is called concurrently, once per stream; the
// stream is closed when it returns.
type Handler interface {
	Handle(ctx context.Context, peer *wirepb.Hello, env *wirepb.Envelope, stream *Stream)
}

// Counters are notified when the server receives invalid input.
type Counters interface {
	InvalidInput(code result.Code)
}

// Server accepts sessions of peers.
type Server struct {
	self     Identity
	handler  Handler
	maxFrame int
	counters Counters
	// MaxSessions bounds the sessions that are open at the same time, and
	// MaxStreams the concurrent calls on each. Set them before Serve.
	MaxSessions int
	MaxStreams  int
	sessions    sync.WaitGroup
	stats       serverStats
}

type serverStats struct{ sessions, streams, invalid atomic.Int64 }

// Stats holds the numbers of refusals since the start of the server.
type Stats struct {
	// RefusedSessions and RefusedStreams count those over the limits.
	RefusedSessions, RefusedStreams int64
	// InvalidInput counts the greetings and frames that were refused.
	InvalidInput int64
}

// Stats returns the counters. It is safe for concurrent use.
func (s *Server) Stats() Stats {
	return Stats{
		RefusedSessions: s.stats.sessions.Load(),
		RefusedStreams:  s.stats.streams.Load(),
		InvalidInput:    s.stats.invalid.Load(),
	}
}

// defaultMaxSessions allows for every host of a large region.
const defaultMaxSessions = 1024

// defaultMaxStreams allows for the calls of one busy host, each of which
// occupies a stream while its request waits.
const defaultMaxStreams = 2048

// acceptPause lets file descriptors be closed if the process is out of them.
const acceptPause = 20 * time.Millisecond

// firstFrameTimeout bounds the wait for the request frame of an open stream.
const firstFrameTimeout = 5 * time.Second

// NewServer returns a server that calls handler for each call.
func NewServer(self Identity, handler Handler, maxFrameBytes int, counters Counters) *Server {
	return &Server{
		self:        self,
		handler:     handler,
		maxFrame:    maxFrameBytes,
		counters:    counters,
		MaxSessions: defaultMaxSessions,
		MaxStreams:  defaultMaxStreams,
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
		var temporary net.Error
		if errors.As(err, &temporary) && !errors.Is(err, net.ErrClosed) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return err
		}
		select {
		case tokens <- struct{}{}:
		default:
			s.stats.sessions.Add(1)
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
	s.serveCalls(ctx, session, hello)
}

func (s *Server) serveCalls(ctx context.Context, session *yamux.Session, hello *wirepb.Hello) {
	var calls sync.WaitGroup
	defer calls.Wait()
	tokens := make(chan struct{}, s.MaxStreams)
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		stream := newStream(conn, s.maxFrame)
		stream.onInvalid = s.countInvalid
		select {
		case tokens <- struct{}{}:
		default:
			s.refuseStream(stream)
			continue
		}
		calls.Go(func() {
			defer func() { <-tokens }()
			s.serveStream(ctx, hello, stream)
		})
	}
}

// refuseStream refuses a call over the limit without reading its request.
func (s *Server) refuseStream(stream *Stream) {
	s.stats.streams.Add(1)
	_ = stream.Send(FailureEnvelope(result.NotReady, "too many calls on this connection"))
	stream.Close()
}

func (s *Server) serveStream(ctx context.Context, hello *wirepb.Hello, stream *Stream) {
	defer stream.Close()
	_ = stream.conn.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	env, err := stream.Receive()
	if err != nil {
		refuse(err, stream)
		return
	}
	_ = stream.conn.SetReadDeadline(time.Time{})
	s.handler.Handle(ctx, hello, env, stream)
}

// refuse reports to the peer why its frame is not accepted. The session stays
// open.
func refuse(err error, stream *Stream) {
	var refused *result.Error
	if !errors.As(err, &refused) {
		return
	}
	_ = stream.Send(FailureEnvelope(refused.Code, refused.Detail))
	if refused.Code == result.FrameTooLarge {
		stream.discard()
	}
}

func (s *Server) count(err error) {
	var refused *result.Error
	if errors.As(err, &refused) {
		s.countInvalid(refused)
	}
}

func (s *Server) countInvalid(refused *result.Error) {
	s.stats.invalid.Add(1)
	if s.counters != nil {
		s.counters.InvalidInput(refused.Code)
	}
}
