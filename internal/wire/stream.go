package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const (
	// chunkBytes is the longest part of a frame that is written at once, so that
	// frames of other streams can be sent in between.
	chunkBytes = 32 << 10
	// chunkTimeout bounds the wait for a peer that does not read. It is shorter
	// than streamCloseTimeout, so that a refusal that the peer sent without
	// reading the call can still be read.
	chunkTimeout = 4 * time.Second
)

// pastDeadline makes reads and writes time out at once.
var pastDeadline = time.Unix(1, 0)

// Stream is the stream of one call. It is not safe for concurrent sends.
type Stream struct {
	conn     *yamux.Stream
	maxFrame int
	stop     func() bool
	// onInvalid is called for received frames that are refused.
	onInvalid func(*result.Error)
	// onClose is called when the stream is closed.
	onClose   func()
	cancelled atomic.Bool
}

func newStream(conn *yamux.Stream, maxFrame int) *Stream {
	return &Stream{conn: conn, maxFrame: maxFrame}
}

// Send writes one envelope. An envelope over the limit is not sent and yields
// a result.Error with code FrameTooLarge.
func (s *Stream) Send(env *wirepb.Envelope) error {
	buf, err := encodeFrame(env)
	if err != nil {
		return err
	}
	if size := len(buf) - lengthPrefixBytes; size > s.maxFrame {
		return result.Errorf(result.FrameTooLarge, "frame of %d bytes, limit %d", size, s.maxFrame)
	}
	for len(buf) > 0 {
		chunk := buf[:min(len(buf), chunkBytes)]
		buf = buf[len(chunk):]
		s.setWriteDeadline(time.Now().Add(chunkTimeout))
		if _, err := s.conn.Write(chunk); err != nil {
			return fmt.Errorf("write frame: %w", err)
		}
	}
	return nil
}

// refusal returns the failure that the peer has already sent, or nil.
func (s *Stream) refusal() *result.Error {
	_ = s.conn.SetReadDeadline(pastDeadline)
	reply, err := ReadFrame(s.conn, s.maxFrame)
	if err != nil || reply.GetFailure() == nil {
		return nil
	}
	return &result.Error{Code: result.Code(reply.GetFailure().Code), Detail: reply.GetFailure().Detail}
}

// setWriteDeadline sets a write deadline, unless the stream is cancelled.
func (s *Stream) setWriteDeadline(at time.Time) {
	_ = s.conn.SetWriteDeadline(at)
	if s.cancelled.Load() {
		_ = s.conn.SetWriteDeadline(pastDeadline)
	}
}

// cancel makes pending and later reads and writes fail.
func (s *Stream) cancel() {
	s.cancelled.Store(true)
	_ = s.conn.SetDeadline(pastDeadline)
}

// Receive reads one envelope.
func (s *Stream) Receive() (*wirepb.Envelope, error) {
	env, err := ReadFrame(s.conn, s.maxFrame)
	var refused *result.Error
	if errors.As(err, &refused) && s.onInvalid != nil {
		s.onInvalid(refused)
	}
	return env, err
}

// CancelOnClose returns a context that ends when the peer closes the stream or
// is lost. The handler must not receive from the stream afterwards, and must call
// the returned function when it no longer needs the context.
func (s *Stream) CancelOnClose(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		_, _ = s.conn.Read(make([]byte, 1))
	}()
	return ctx, func() {
		cancel()
		_ = s.conn.SetReadDeadline(pastDeadline)
	}
}

// discard reads and drops the remainder of an oversized frame, so that the peer
// reads the failure instead of waiting for space in the window.
func (s *Stream) discard() {
	_ = s.conn.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	_, _ = io.CopyN(io.Discard, s.conn, int64(s.maxFrame))
}

// Close closes the stream and ends the call.
func (s *Stream) Close() {
	if s.stop != nil {
		s.stop()
	}
	_ = s.conn.Close()
	if s.onClose != nil {
		s.onClose()
	}
}
