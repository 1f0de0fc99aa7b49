package wire

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

type echoHandler struct{}

func (echoHandler) Handle(_ context.Context, _ *wirepb.Hello, env *wirepb.Envelope, stream *Stream) {
	_ = stream.Send(env)
}

func startServer(t *testing.T, environment string, maxFrame int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	server := NewServer(Identity{Environment: environment, Host: "server"}, echoHandler{}, maxFrame, nil)
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

func recall(id string) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_RecallRequest{RecallRequest: &wirepb.RecallRequest{RequestId: id}}}
}

// Guards against a reply that reaches the wrong call.
func TestCallReturnsItsOwnReply(t *testing.T) {
	address := startServer(t, "trial", DefaultMaxFrameBytes)
	client := NewClient(Identity{Environment: "trial"}, DefaultMaxFrameBytes)
	defer client.Close()
	for _, id := range []string{"a", "b", "c"} {
		reply, err := client.Call(t.Context(), address, recall(id))
		if err != nil {
			t.Fatal(err)
		}
		if got := reply.GetRecallRequest().GetRequestId(); got != id {
			t.Errorf("reply of %q, want %q", got, id)
		}
	}
}

// Guards against a session between a trial host and a production host.
func TestOtherEnvironmentIsRefused(t *testing.T) {
	address := startServer(t, "production", DefaultMaxFrameBytes)
	client := NewClient(Identity{Environment: "trial"}, DefaultMaxFrameBytes)
	defer client.Close()
	_, err := client.Call(t.Context(), address, recall("x"))
	var refused *result.Error
	if !errors.As(err, &refused) || refused.Code != result.BadGreeting {
		t.Fatalf("error %v, want code %d", err, result.BadGreeting)
	}
}

// Guards against unbounded allocation for a frame that a peer announces.
func TestOversizedFrameIsRefused(t *testing.T) {
	var buf bytes.Buffer
	if err := WriteFrame(&buf, recall("a long request ID")); err != nil {
		t.Fatal(err)
	}
	_, err := ReadFrame(&buf, 4)
	var refused *result.Error
	if !errors.As(err, &refused) || refused.Code != result.FrameTooLarge {
		t.Fatalf("error %v, want code %d", err, result.FrameTooLarge)
	}
}
