package wire

import (
	"encoding/binary"
	"net"
	"time"
)

const (
	// maxCoalescedBytes fits in one TCP segment. Joining more writes saves nothing.
	maxCoalescedBytes = 1400

	// Fields of the yamux frame header.
	yamuxHeaderBytes  = 12
	yamuxData         = 0
	yamuxWindowUpdate = 1
	yamuxSYN          = 1
	yamuxACK          = 2
	yamuxFIN          = 4
)

// coalescingConn joins the short writes of a yamux session, each of which would
// be a TCP segment. The session writes the header and the body of a frame
// separately, and opens and accepts a stream with a separate frame. That frame
// is delayed until the one that always follows it: the call or the reply.
// Only the session's send loop calls Write.
type coalescingConn struct {
	net.Conn
	pending []byte
	// bodyNext is set if the next write is the body of the last header.
	bodyNext bool
	// quiet sessions also delay the frame that ends the stream whose data was
	// sent last, which is dataStream.
	quiet      bool
	dataStream uint32
	// finishGreeting, if set, reads the peer's reply to the greeting, which
	// precedes the first frame of the session.
	finishGreeting func() error
}

// Read implements net.Conn.
func (c *coalescingConn) Read(p []byte) (int, error) {
	if finish := c.finishGreeting; finish != nil {
		c.finishGreeting = nil
		if err := finish(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if c.expectsMore(p) && len(c.pending)+len(p) <= maxCoalescedBytes {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(p)
	}
	if len(c.pending)+len(p) > maxCoalescedBytes {
		if _, err := c.Conn.Write(c.pending); err != nil {
			return 0, err
		}
		c.pending = c.pending[:0]
		return c.Conn.Write(p)
	}
	joined := append(c.pending, p...)
	c.pending = c.pending[:0]
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(p), nil
}

// expectsMore reports whether p is a frame header that another write follows.
func (c *coalescingConn) expectsMore(p []byte) bool {
	if c.bodyNext {
		c.bodyNext = false
		return false
	}
	if len(p) != yamuxHeaderBytes {
		return false
	}
	kind, flags := p[1], binary.BigEndian.Uint16(p[2:])
	stream, length := binary.BigEndian.Uint32(p[4:]), binary.BigEndian.Uint32(p[8:])
	if kind == yamuxData {
		c.bodyNext = length > 0
		c.dataStream = stream
		return c.bodyNext
	}
	if kind != yamuxWindowUpdate {
		return false
	}
	if flags&yamuxFIN != 0 {
		return c.quiet && flags == yamuxFIN && stream == c.dataStream
	}
	return flags == yamuxSYN || flags == yamuxACK
}

// newQuietConn returns a connection whose greeting is sent with the first call.
func newQuietConn(conn net.Conn, self Identity) (*coalescingConn, error) {
	hello := self.hello()
	hello.GetHello().Quiet = true
	frame, err := encodeFrame(hello)
	if err != nil {
		return nil, err
	}
	c := &coalescingConn{Conn: conn, pending: frame, quiet: true}
	deadline := time.Now().Add(greetingTimeout)
	c.finishGreeting = func() error {
		if err := conn.SetReadDeadline(deadline); err != nil {
			return err
		}
		if err := readGreetingReply(conn); err != nil {
			return err
		}
		return conn.SetReadDeadline(time.Time{})
	}
	return c, nil
}
