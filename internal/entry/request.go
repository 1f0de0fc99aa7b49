// Package entry implements the daemon of an entry host, which accepts requests of
// callers and forwards them to backend servers, as owner and as dispatcher.
package entry

import (
	"fmt"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/backend"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/balance"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Request is a request of a caller.
type Request struct {
	ID          string
	Service     model.Service
	Path        string
	Rank        model.Rank
	HomeRegion  model.Region
	FromRegion  model.Region
	Idempotent  bool
	Deadline    time.Time
	Body        []byte
	ContentType string
	// GrantID and GrantIncarnation identify the grant of a request that is sent to
	// another region.
	GrantID          uint64
	GrantIncarnation model.Incarnation
	// Attempt is the number of earlier attempts that may have reached a backend
	// server.
	Attempt uint32
}

// Response is the outcome of a request.
type Response struct {
	RequestID   string
	Code        result.Code
	Detail      string
	Body        []byte
	ContentType string
	// BackendStatus is the HTTP status of the backend server.
	BackendStatus int
	// Hops are the hosts and the backend server that handled the request.
	Hops []string
	// Load is the load of the dispatcher for the service and rank after the
	// request.
	Load balance.Load
	// ranExclusive reports whether the server ran no other request at the same
	// time. It is not sent to other hosts.
	ranExclusive bool
	// trial reports whether the dispatcher admitted the request as a suspect.
	// endTrial must follow.
	trial bool
}

// refusal returns a response without a body, for a request that was refused or
// whose outcome is unknown.
func refusal(req Request, code result.Code, detail string) Response {
	return Response{RequestID: req.ID, Code: code, Detail: detail}
}

func requestFromWire(m *wirepb.ForwardRequest, now time.Time) Request {
	return Request{
		ID:               m.RequestId,
		Service:          model.Service(m.Service),
		Path:             m.Path,
		Rank:             model.Rank(m.Rank),
		HomeRegion:       model.Region(m.HomeRegion),
		FromRegion:       model.Region(m.FromRegion),
		Idempotent:       m.Idempotent,
		Deadline:         now.Add(time.Duration(m.RemainingMillis) * time.Millisecond),
		Body:             m.Body,
		ContentType:      m.ContentType,
		GrantID:          m.GrantId,
		GrantIncarnation: model.Incarnation(m.GrantIncarnation),
		Attempt:          m.Attempt,
	}
}

func requestToWire(req Request, stage wirepb.Stage, now time.Time) *wirepb.ForwardRequest {
	return &wirepb.ForwardRequest{
		RequestId:        req.ID,
		Service:          string(req.Service),
		Path:             req.Path,
		Rank:             string(req.Rank),
		HomeRegion:       string(req.HomeRegion),
		FromRegion:       string(req.FromRegion),
		Idempotent:       req.Idempotent,
		RemainingMillis:  req.Deadline.Sub(now).Milliseconds(),
		Body:             req.Body,
		ContentType:      req.ContentType,
		GrantId:          req.GrantID,
		GrantIncarnation: uint64(req.GrantIncarnation),
		Attempt:          req.Attempt,
		Stage:            stage,
	}
}

func responseToWire(resp Response) *wirepb.ForwardReply {
	return &wirepb.ForwardReply{
		RequestId:     resp.RequestID,
		Code:          uint32(resp.Code),
		Detail:        resp.Detail,
		Body:          resp.Body,
		BodyLength:    uint64(len(resp.Body)),
		ContentType:   resp.ContentType,
		BackendStatus: uint32(resp.BackendStatus),
		Hops:          resp.Hops,
		Load: &wirepb.ServiceLoad{
			Slots:   uint32(resp.Load.Slots),
			Waiting: uint32(resp.Load.Waiting),
		},
	}
}

// responseFromWire returns the response in a reply, after it has checked that the
// reply belongs to the request and is complete.
func responseFromWire(req Request, m *wirepb.ForwardReply) Response {
	if m == nil || m.RequestId != req.ID || m.BodyLength != uint64(len(m.Body)) {
		return Response{RequestID: req.ID, Code: result.AnswerTruncated, Detail: "reply is incomplete or belongs to another request"}
	}
	switch class := result.Code(m.Code).Class(); class {
	case result.ClassServed:
		if !backend.IsFinalStatus(int(m.BackendStatus)) {
			return Response{RequestID: req.ID, Code: result.AnswerTruncated, Detail: fmt.Sprintf("reply has status %d", m.BackendStatus)}
		}
	case result.ClassNotRun, result.ClassUnknown:
	default:
		return Response{RequestID: req.ID, Code: result.AnswerTruncated, Detail: "reply has a code of class " + class.String()}
	}
	return Response{
		RequestID:     m.RequestId,
		Code:          result.Code(m.Code),
		Detail:        m.Detail,
		Body:          m.Body,
		ContentType:   m.ContentType,
		BackendStatus: int(m.BackendStatus),
		Hops:          m.Hops,
		Load: balance.Load{
			Slots:   int(m.Load.GetSlots()),
			Waiting: int(m.Load.GetWaiting()),
		},
	}
}
