package capacity

import (
	"bytes"
	"context"
	"fmt"
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

// Names of the slopes of the wire protocol. The size is the length of the body
// in bytes, or the number of sessions.
const (
	frameNanos   = "wire.frame"
	callNanos    = "wire.call"
	callAllocs   = "wire.call.allocs"
	sessionBytes = "wire.session.memory"
	dialNanos    = "wire.session.open"
	recordBytes  = "record.size"
)

// bodySizes are the body lengths in bytes at which calls are measured.
var bodySizes = []int{100, 64 << 10}

// sessionCount is the number of sessions whose memory is measured.
const sessionCount = 200

// echoHandler replies to a message with the message.
type echoHandler struct{}

// Handle implements wire.Handler.
func (echoHandler) Handle(_ context.Context, _ *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	_ = stream.Send(env)
}

func message(size int) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_ForwardRequest{ForwardRequest: &wirepb.ForwardRequest{
		RequestId: "host-1.1800000000000000000.1800000000.request-1", Service: "service-1", Body: make([]byte, size),
	}}}
}

// MeasureWire measures frames, calls and sessions. Both ends run in this
// process, so that the values of calls and sessions include both.
func (s *Slopes) MeasureWire() error {
	s.add(recordBytes, 1, float64(proto.Size(wire.RecordToWire(hostRecord(Hosts-1)))), "bytes")
	for _, size := range bodySizes {
		if err := s.measureFrame(size); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for calls: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := wire.NewServer(wire.Identity{Environment: "size"}, echoHandler{}, wire.DefaultMaxFrameBytes, nil)
	go func() { _ = server.Serve(ctx, listener) }()
	return s.measureCalls(ctx, listener.Addr().String())
}

func (s *Slopes) measureFrame(size int) error {
	var failed error
	env := message(size)
	c := measure(func(int) {
		var buf bytes.Buffer
		if err := wire.WriteFrame(&buf, env); err != nil {
			failed = err
		}
		if _, err := wire.ReadFrame(&buf, wire.DefaultMaxFrameBytes); err != nil {
			failed = err
		}
	})
	s.add(frameNanos, size, c.nanos, "ns")
	return failed
}

func (s *Slopes) measureCalls(ctx context.Context, address string) error {
	var failed firstError
	call := func(client *wire.Client, size int) {
		_, err := client.Call(ctx, address, message(size))
		failed.set(err)
	}
	client := wire.NewClient(wire.Identity{Environment: "size"}, wire.DefaultMaxFrameBytes)
	defer client.Close()
	for _, size := range bodySizes {
		c := measureParallel(func(int) { call(client, size) })
		s.add(callNanos, size, c.nanos, "ns")
		s.add(callAllocs, size, c.allocs, "allocations")
	}
	clients, bytes := heldBytes(func() []*wire.Client {
		var list []*wire.Client
		for range sessionCount {
			c := wire.NewClient(wire.Identity{Environment: "size"}, wire.DefaultMaxFrameBytes)
			call(c, bodySizes[0])
			list = append(list, c)
		}
		return list
	})
	s.add(sessionBytes, sessionCount, bytes/sessionCount, "bytes")
	for _, c := range clients {
		c.Close()
	}
	c := measureParallel(func(int) {
		client := wire.NewClient(wire.Identity{Environment: "size"}, wire.DefaultMaxFrameBytes)
		call(client, bodySizes[0])
		client.Close()
	})
	s.add(dialNanos, 1, c.nanos, "ns")
	return failed.get()
}
