// Package wire carries calls between the processes of wisteriacrank: protobuf
// envelopes in bounded frames over yamux streams, one stream per call.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// DefaultMaxFrameBytes bounds one frame. The largest value in the store is 1 MB;
// the remainder allows for request bodies.
const DefaultMaxFrameBytes = 9 << 20

// maxGreetingBytes bounds the first frame of a connection, whose sender is not
// identified yet.
const maxGreetingBytes = 4 << 10

const lengthPrefixBytes = 4

// preallocatedBytes bounds the memory that is allocated for the announced length
// of a frame before its bytes arrive.
const preallocatedBytes = 64 << 10

// WriteFrame writes one envelope.
func WriteFrame(w io.Writer, env *wirepb.Envelope) error {
	buf, err := encodeFrame(env)
	if err != nil {
		return err
	}
	if _, err := w.Write(buf); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

func encodeFrame(env *wirepb.Envelope) ([]byte, error) {
	buf := make([]byte, lengthPrefixBytes, lengthPrefixBytes+proto.Size(env))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, env)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-lengthPrefixBytes))
	return buf, nil
}

// ReadFrame reads one envelope of at most maxBytes. A longer frame is not read
// and yields a result.Error with code FrameTooLarge. Bytes that are not a valid
// envelope, or an envelope without a known body, yield UnknownMessage.
func ReadFrame(r io.Reader, maxBytes int) (*wirepb.Envelope, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, fmt.Errorf("read frame length: %w", err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if uint64(length) > uint64(maxBytes) {
		return nil, result.Errorf(result.FrameTooLarge, "frame of %d bytes, limit %d", length, maxBytes)
	}
	payload, err := readPayload(r, int(length))
	if err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	env := &wirepb.Envelope{}
	if err := proto.Unmarshal(payload, env); err != nil {
		return nil, result.Errorf(result.UnknownMessage, "frame is not a valid envelope: %v", err)
	}
	if env.Body == nil {
		return nil, result.Errorf(result.UnknownMessage, "envelope has no known body")
	}
	return env, nil
}

// readPayload allocates memory as the bytes arrive. Otherwise a peer that
// announces long frames and sends nothing would occupy their whole length on
// every stream.
func readPayload(r io.Reader, length int) ([]byte, error) {
	if length <= preallocatedBytes {
		payload := make([]byte, length)
		_, err := io.ReadFull(r, payload)
		return payload, err
	}
	var payload bytes.Buffer
	payload.Grow(preallocatedBytes)
	if _, err := io.CopyN(&payload, r, int64(length)); err != nil {
		return nil, err
	}
	return payload.Bytes(), nil
}

// FailureEnvelope returns the envelope that reports a failure to the peer.
func FailureEnvelope(code result.Code, detail string) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Failure{
		Failure: &wirepb.Failure{Code: uint32(code), Detail: detail},
	}}
}
