package wire

import (
	"encoding/binary"
	"net"
	"time"
)

const (
	// maxGathered is what fits in one TCP segment. Joining more saves nothing.
	maxGathered = 1400

	// Fields of the yamux frame header.
	yamuxHeaderBytes  = 12
	yamuxData         = 0
	yamuxWindowUpdate = 1
	yamuxSYN          = 1
	yamuxACK          = 2
	yamuxFIN          = 4
)

// gatherConn joins the short writes of a yamux session, which writes a frame's
// header and body separately and opens and accepts a stream with a frame of
// its own. Each write would be a TCP segment. A frame that opens or accepts a
// stream waits for the frame that always follows it: the call and the reply.
// Only the session's send loop writes.
type gatherConn struct {
	net.Conn
	held []byte
	// body is set while the next write is the body of the last header.
	body bool
	// quiet sessions also hold the end of a stream whose data was just sent.
	quiet      bool
	dataStream uint32
	// greet reads the peer's answer to a greeting before the first frame.
	greet func() error
}

// Read implements net.Conn.
func (c *gatherConn) Read(p []byte) (int, error) {
	if greet := c.greet; greet != nil {
		c.greet = nil
		if err := greet(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *gatherConn) Write(p []byte) (int, error) {
	if c.holds(p) && len(c.held)+len(p) <= maxGathered {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	if len(c.held)+len(p) > maxGathered {
		if _, err := c.Conn.Write(c.held); err != nil {
			return 0, err
		}
		c.held = c.held[:0]
		return c.Conn.Write(p)
	}
	joined := append(c.held, p...)
	c.held = c.held[:0]
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(p), nil
}

// holds reports whether a frame header is followed by another write.
func (c *gatherConn) holds(p []byte) bool {
	if c.body {
		c.body = false
		return false
	}
	if len(p) != yamuxHeaderBytes {
		return false
	}
	kind, flags := p[1], binary.BigEndian.Uint16(p[2:])
	stream, length := binary.BigEndian.Uint32(p[4:]), binary.BigEndian.Uint32(p[8:])
	if kind == yamuxData {
		c.body = length > 0
		c.dataStream = stream
		return c.body
	}
	if kind != yamuxWindowUpdate {
		return false
	}
	if flags&yamuxFIN != 0 {
		return c.quiet && flags == yamuxFIN && stream == c.dataStream
	}
	return flags == yamuxSYN || flags == yamuxACK
}

// greetQuietly prepares a connection whose greeting goes out with the first
// call.
func greetQuietly(conn net.Conn, self Identity) (*gatherConn, error) {
	hello := self.hello()
	hello.GetHello().Quiet = true
	frame, err := encodeFrame(hello)
	if err != nil {
		return nil, err
	}
	c := &gatherConn{Conn: conn, held: frame, quiet: true}
	deadline := time.Now().Add(greetingTimeout)
	c.greet = func() error {
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
