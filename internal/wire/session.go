package wire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const (
	// greetingTimeout bounds the greeting on both sides. Together with
	// dialTimeout, a peer that never replies is abandoned within 3 s.
	greetingTimeout   = 1900 * time.Millisecond
	keepAliveInterval = time.Second
	// keepAliveTimeout closes a session whose peer does not respond to a
	// keepalive. Together with the interval, an unresponsive peer is abandoned
	// within 3 s.
	keepAliveTimeout = 1900 * time.Millisecond
	// streamCloseTimeout resets a stream that this side has closed and the peer
	// has not. Otherwise a peer that is still writing would wait forever for
	// space in the window. It exceeds the 3 s within which an unresponsive peer
	// is abandoned.
	streamCloseTimeout = 5 * time.Second
)

// Identity is what a process sends in the greeting of a connection.
type Identity struct {
	Environment string
	Role        wirepb.Role
	Host        model.HostID
	Incarnation model.Incarnation
}

func (id Identity) hello() *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: &wirepb.Hello{
		Environment: id.Environment,
		Role:        id.Role,
		Host:        string(id.Host),
		Incarnation: uint64(id.Incarnation),
	}}}
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = keepAliveTimeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// quietConfig returns the configuration of sessions without keepalives. TCP
// keepalive ends the session of a lost peer.
func quietConfig() *yamux.Config {
	cfg := yamuxConfig()
	cfg.EnableKeepAlive = false
	return cfg
}

// openSession exchanges the greeting and starts the client side of a session.
func openSession(conn net.Conn, self Identity) (*yamux.Session, error) {
	if err := conn.SetDeadline(time.Now().Add(greetingTimeout)); err != nil {
		return nil, fmt.Errorf("set greeting deadline: %w", err)
	}
	if err := WriteFrame(conn, self.hello()); err != nil {
		return nil, err
	}
	if err := readGreetingReply(conn); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clear greeting deadline: %w", err)
	}
	return yamux.Client(&coalescingConn{Conn: conn}, yamuxConfig())
}

// openQuietSession starts a session whose greeting is sent with its first call.
func openQuietSession(conn net.Conn, self Identity) (*yamux.Session, error) {
	quiet, err := newQuietConn(conn, self)
	if err != nil {
		return nil, err
	}
	return yamux.Client(quiet, quietConfig())
}

func readGreetingReply(conn net.Conn) error {
	reply, err := ReadFrame(conn, maxGreetingBytes)
	if err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	if failure := reply.GetFailure(); failure != nil {
		return &result.Error{Code: result.Code(failure.Code), Detail: failure.Detail}
	}
	if reply.GetHelloReply() == nil {
		return result.Errorf(result.BadGreeting, "peer replied to the greeting with another message")
	}
	return nil
}

// acceptSession checks the dialer's greeting and starts the server side of a
// session. A peer of another environment is refused.
func acceptSession(conn net.Conn, self Identity) (*yamux.Session, *wirepb.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(greetingTimeout)); err != nil {
		return nil, nil, fmt.Errorf("set greeting deadline: %w", err)
	}
	hello, err := readGreeting(conn, self.Environment)
	if err != nil {
		var refused *result.Error
		if errors.As(err, &refused) {
			_ = WriteFrame(conn, FailureEnvelope(refused.Code, refused.Detail))
		}
		return nil, nil, err
	}
	reply := &wirepb.Envelope{Body: &wirepb.Envelope_HelloReply{HelloReply: &wirepb.HelloReply{
		Host:        string(self.Host),
		Incarnation: uint64(self.Incarnation),
	}}}
	config := yamuxConfig()
	coalescing := &coalescingConn{Conn: conn}
	if hello.Quiet {
		config = quietConfig()
		coalescing.quiet = true
		coalescing.pending, err = encodeFrame(reply)
	} else {
		err = WriteFrame(conn, reply)
	}
	if err != nil {
		return nil, nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, nil, fmt.Errorf("clear greeting deadline: %w", err)
	}
	session, err := yamux.Server(coalescing, config)
	return session, hello, err
}

func readGreeting(conn net.Conn, environment string) (*wirepb.Hello, error) {
	env, err := ReadFrame(conn, maxGreetingBytes)
	var malformed *result.Error
	if errors.As(err, &malformed) {
		return nil, result.Errorf(result.BadGreeting, "first frame: %v", err)
	}
	if err != nil {
		return nil, err
	}
	hello := env.GetHello()
	if hello == nil {
		return nil, result.Errorf(result.BadGreeting, "first frame is not a greeting")
	}
	if hello.Environment != environment {
		return nil, result.Errorf(result.BadGreeting, "environment %q, this host is in %q", hello.Environment, environment)
	}
	return hello, nil
}
