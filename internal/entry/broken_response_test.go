package entry

import (
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Guards against a caller that gets no response, or that of a backend server whose
// status is not valid.
func TestCallerGetsNoInvalidStatus(t *testing.T) {
	f := newFleet(t, 2, 1, standin.BackendConfig{Slots: 2})
	f.backend[0].SetFaults(standin.BackendFaults{Response: standin.ResponseInvalidStatus})
	for _, h := range f.hosts {
		// One host is the dispatcher of the server, the other one forwards to it.
		got, err := f.send(h, h.id("x"), false, "body")
		if err != nil || got.Result != int(result.AnswerTruncated) || got.Status != result.AnswerTruncated.HTTPStatus() {
			t.Errorf("%+v, %v; want %v", got, err, result.AnswerTruncated)
		}
	}
}

// Guards against a status that a dispatcher should not have passed on, and with which
// the owner can write no response.
func TestReplyWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	req := Request{ID: "x"}
	for status, want := range map[uint32]result.Code{
		0: result.AnswerTruncated, 99: result.AnswerTruncated, 101: result.AnswerTruncated, 1000: result.AnswerTruncated,
		200: result.Served, 404: result.Served, 999: result.Served,
	} {
		reply := &wirepb.ForwardReply{RequestId: "x", Code: uint32(result.Served), BackendStatus: status}
		if got := responseFromWire(req, reply); got.Code != want {
			t.Errorf("status %d: %v, want %v", status, got.Code, want)
		}
	}
}
