// Package entry is the daemon that accepts callers' requests and carries them
// to backend servers, as owner and as dispatcher.
package entry

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/balance"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Request is one caller's request on its way.
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
	// GrantID and GrantIncarnation name the grant of a request that crosses
	// regions.
	GrantID          uint64
	GrantIncarnation model.Incarnation
	Attempt          uint32
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
	// Load is the dispatcher's load for the service after the request.
	Load balance.Load
	// ranAlone says that the dispatcher kept other work off the server. It is
	// not sent to other hosts.
	ranAlone bool
	// trial says that the dispatcher admitted a suspect, which leave must end.
	trial bool
}

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

func answerToWire(a Response) *wirepb.ForwardReply {
	return &wirepb.ForwardReply{
		RequestId:     a.RequestID,
		Code:          uint32(a.Code),
		Detail:        a.Detail,
		Body:          a.Body,
		BodyLength:    uint64(len(a.Body)),
		ContentType:   a.ContentType,
		BackendStatus: uint32(a.BackendStatus),
		Hops:          a.Hops,
		Load: &wirepb.ServiceLoad{
			Slots:   uint32(a.Load.Slots),
			Waiting: uint32(a.Load.Waiting),
		},
	}
}

// answerFromWire checks that the reply belongs to the request and is whole.
func answerFromWire(req Request, m *wirepb.ForwardReply) Response {
	if m == nil || m.RequestId != req.ID || m.BodyLength != uint64(len(m.Body)) {
		return Response{RequestID: req.ID, Code: result.AnswerTruncated, Detail: "reply is incomplete or of another request"}
	}
	switch class := result.Code(m.Code).Class(); class {
	case result.ClassServed, result.ClassNotRun, result.ClassUnknown:
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
