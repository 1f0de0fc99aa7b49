package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/atmostonce"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// recallTimeout bounds the wait for stored responses of other hosts.
const recallTimeout = time.Second

// storedResponses is the dispatcher's record of the responses to non-idempotent
// requests. It is safe for concurrent use.
type storedResponses struct {
	mu        sync.Mutex
	responses *atmostonce.Responses[Response]
}

func newStoredResponses() *storedResponses {
	return &storedResponses{responses: atmostonce.NewResponses[Response](atmostonce.DefaultLimits)}
}

// store records the response to a non-idempotent request that ran.
func (s *storedResponses) store(req Request, response Response, now time.Time) {
	if req.Idempotent || response.Code != result.Served {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses.Store(req.ID, response, responseBytes(response), now)
}

func (s *storedResponses) recall(id string, now time.Time) (Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, known := s.responses.Recall(id, now)
	return outcome.Response, known && outcome.Stored
}

// recall looks for a stored response on this host, then on all other entry
// hosts at once, because the dispatcher may have been in any region.
func (d *Daemon) recall(ctx context.Context, req Request, view *localstate.View) (Response, bool) {
	if response, ok := d.requests.stored.recall(req.ID, time.Now()); ok {
		return response, true
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(req.Deadline, time.Now().Add(recallTimeout)))
	defer cancel()
	found := make(chan Response, len(view.Hosts))
	var calls sync.WaitGroup
	for _, host := range view.Hosts {
		if host.Host == d.settings.Host.ID || !acceptsCalls(host) {
			continue
		}
		calls.Go(func() {
			if response, ok := d.recallFrom(ctx, req, host); ok {
				found <- response
				cancel()
			}
		})
	}
	calls.Wait()
	select {
	case response := <-found:
		return response, true
	default:
		return Response{}, false
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// acceptsCalls reports whether the view has the host as one that can be called.
func acceptsCalls(host model.HostRecord) bool {
	return host.State != model.HostDead && host.State != model.HostLeft && host.PeerAddress != ""
}

func (d *Daemon) recallFrom(ctx context.Context, req Request, host model.HostRecord) (Response, bool) {
	env := &wirepb.Envelope{Body: &wirepb.Envelope_RecallRequest{RecallRequest: &wirepb.RecallRequest{RequestId: req.ID}}}
	reply, err := d.peers.Call(ctx, host.PeerAddress, env)
	if err != nil || !reply.GetRecallReply().GetFound() {
		return Response{}, false
	}
	response := responseFromWire(req, reply.GetRecallReply().GetReply())
	return response, response.Code.Class() == result.ClassServed
}

// handleRecall replies to an entry host that looks for a stored response.
func (d *Daemon) handleRecall(id string) *wirepb.Envelope {
	reply := &wirepb.RecallReply{}
	if response, ok := d.requests.stored.recall(id, time.Now()); ok {
		reply.Found = true
		reply.Reply = responseToWire(response)
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_RecallReply{RecallReply: reply}}
}
