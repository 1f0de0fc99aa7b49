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

// recallTimeout bounds the wait for the dispatchers' kept answers.
const recallTimeout = time.Second

// keptAnswers is the dispatcher's record of the answers to non-idempotent
// requests. It is safe for concurrent use.
type keptAnswers struct {
	mu      sync.Mutex
	answers *atmostonce.Responses[Response]
}

func newKeptAnswers() *keptAnswers {
	return &keptAnswers{answers: atmostonce.NewResponses[Response](atmostonce.DefaultLimits)}
}

// keep records the answer of a non-idempotent request that ran.
func (k *keptAnswers) keep(req Request, answer Response, now time.Time) {
	if req.Idempotent || answer.Code != result.Served {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answers.Store(req.ID, answer, answerBytes(answer), now)
}

func (k *keptAnswers) recall(id string, now time.Time) (Response, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	outcome, known := k.answers.Recall(id, now)
	return outcome.Response, known && outcome.Stored
}

// recall asks the entry hosts for a kept answer: of the own region first, then
// of the others, since the dispatcher may have been in any.
func (d *Daemon) recall(ctx context.Context, req Request, view *localstate.View) (Response, bool) {
	if answer, ok := d.requests.kept.recall(req.ID, time.Now()); ok {
		return answer, true
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(req.Deadline, time.Now().Add(recallTimeout)))
	defer cancel()
	found := make(chan Response, len(view.Hosts))
	var asked sync.WaitGroup
	for _, host := range view.Hosts {
		if host.Host == d.settings.Host.ID || !answersCalls(host) {
			continue
		}
		asked.Go(func() {
			if answer, ok := d.recallFrom(ctx, req, host); ok {
				found <- answer
				cancel()
			}
		})
	}
	asked.Wait()
	select {
	case answer := <-found:
		return answer, true
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

func answersCalls(host model.HostRecord) bool {
	return host.State != model.HostDead && host.State != model.HostLeft && host.PeerAddress != ""
}

func (d *Daemon) recallFrom(ctx context.Context, req Request, host model.HostRecord) (Response, bool) {
	env := &wirepb.Envelope{Body: &wirepb.Envelope_RecallRequest{RecallRequest: &wirepb.RecallRequest{RequestId: req.ID}}}
	reply, err := d.peers.Call(ctx, host.PeerAddress, env)
	if err != nil || !reply.GetRecallReply().GetFound() {
		return Response{}, false
	}
	answer := answerFromWire(req, reply.GetRecallReply().GetReply())
	return answer, answer.Code.Class() == result.ClassServed
}

// recallReply answers another entry host.
func (d *Daemon) recallReply(id string) *wirepb.Envelope {
	reply := &wirepb.RecallReply{}
	if answer, ok := d.requests.kept.recall(id, time.Now()); ok {
		reply.Found = true
		reply.Reply = answerToWire(answer)
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_RecallReply{RecallReply: reply}}
}
