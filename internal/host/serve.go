package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

const (
	// defaultTimeLeft is assumed of callers that give no deadline.
	defaultTimeLeft = 30 * time.Second
	// answerMargin is kept before a request's limit for the way back to the
	// caller.
	answerMargin = 15 * time.Millisecond
	// notReadyRetryAfter is proposed while this host has no configuration: it
	// reads one within a second of the store's answer.
	notReadyRetryAfter = 500 * time.Millisecond
	// maxUnsent bounds the servers that a request is offered to without any of
	// them having received it.
	maxUnsent = 4
	// silenceFactor times the expected time to the answer is waited before an
	// idempotent request is sent to another server, and firstRunFactor times
	// that of a first run where the server may not hold the object: first runs
	// take three times as long, and one that is ended is made again elsewhere.
	silenceFactor  = 3
	firstRunFactor = 2
	// overdueInterval is the step in which an overdue request is looked at again.
	overdueInterval = 100 * time.Millisecond
	// minSilence keeps short requests from being repeated on small delays.
	minSilence = 700 * time.Millisecond
)

// run is one request of a caller on its way.
type run struct {
	host     *Host
	req      *callers.Request
	call     Call
	route    *fleet.Route
	service  string
	version  uint64
	object   placement.Object
	deadline time.Time
	giveUpAt time.Time

	tried  []string
	sends  int
	unsent int
	// mayHaveRun is set when a server received the request and did not promise
	// that it has not run.
	mayHaveRun bool
	server     string
	failure    string
	trace      trace
	// moved is set when an overdue attempt was ended for another server; the
	// retry budget is paid for.
	moved atomic.Bool
}

// serveCall answers a request of a caller.
func (h *Host) serveCall(ctx context.Context, req *callers.Request) callers.Answer {
	view := h.reader.View()
	if view.Config == nil {
		return refusal(notReadyRetryAfter)
	}
	call, err := h.Protocol.DecodeCall(req.Request)
	if err != nil || call.ID == "" {
		return plain(http.StatusBadRequest)
	}
	route := view.Config.Match(hostName(req.Host), req.URL.Path)
	if route == nil {
		return plain(http.StatusNotFound)
	}
	if call.TimeLeft == 0 {
		call.TimeLeft = defaultTimeLeft
	}
	r := &run{host: h, req: req, call: call, route: route, version: view.Config.Version}
	r.trace = newTrace(h.Settings.ID, call.ID, req.Received)
	r.deadline = req.Received.Add(call.TimeLeft)
	r.giveUpAt = r.deadline
	if limit := req.Received.Add(route.Timeout); route.Timeout > 0 && limit.Before(r.deadline) {
		r.giveUpAt = limit
	}
	r.giveUpAt = r.giveUpAt.Add(-answerMargin)
	r.service = h.splitOf(route).next()
	r.object = r.placedObject()
	h.retryBudgetOf(r.service).FirstAttempt(req.Received)
	answer, code := r.serve(ctx)
	r.finish(answer, code)
	return answer
}

func hostName(hostPort string) string {
	if name, _, err := net.SplitHostPort(hostPort); err == nil {
		return name
	}
	return hostPort
}

// placedObject is what the request is placed by: its object, or the request
// itself on routes where servers hold no state.
func (r *run) placedObject() placement.Object {
	key := r.call.ID
	if r.route.Sticky && r.call.Object != "" {
		key = r.route.Name + "/" + r.call.Object
	}
	return placement.Object{
		Key:       key,
		Origin:    r.host.Settings.Region,
		StayLocal: r.route.Kind == fleet.Upload,
		Regions:   r.route.HomeRegions,
	}
}

// serve sends the request to servers until there is a final answer.
func (r *run) serve(ctx context.Context) (callers.Answer, result.Code) {
	ctx, cancel := context.WithDeadline(ctx, r.giveUpAt)
	defer cancel()
	for {
		if r.isConvicted() {
			return r.failed(&attemptFailure{err: errConvicted, notRun: !r.mayHaveRun, code: result.Quarantined, retryAfter: convictedRetryAfter})
		}
		verdict, job := r.host.dispatch(ctx, r.job())
		if verdict.Server == "" {
			return r.refused(ctx, verdict)
		}
		answer, failure := r.send(ctx, job, verdict)
		if failure == nil {
			return *answer, result.Served
		}
		if !r.mayResend(ctx, failure) {
			return r.failed(failure)
		}
		r.trace.add(events.RequestResent, func() []events.Field {
			return []events.Field{events.Server(model.ServerID(verdict.Server)), events.Reason(failure.err)}
		})
	}
}

func (r *run) job() *scheduler.Job {
	return &scheduler.Job{
		Class:    r.route.Name,
		Service:  r.service,
		Object:   r.object,
		Sticky:   r.route.Sticky && r.call.Object != "",
		Priority: r.route.Priority,
		Target:   r.route.TargetLatency,
		TargetAt: r.req.Received.Add(r.route.TargetLatency),
		Deadline: r.giveUpAt,
		Tried:    slices.Clone(r.tried),
	}
}

// failed attempt at a server.
type attemptFailure struct {
	err error
	// notRun is known; otherwise the request may have run.
	notRun bool
	code   result.Code
	// answer is the server's own answer of failure, if it gave one.
	answer     *callers.Answer
	retryAfter time.Duration
}

// mayResend decides whether another server may get the request.
func (r *run) mayResend(ctx context.Context, f *attemptFailure) bool {
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	if f.notRun && f.code == result.ConnectFailed {
		r.unsent++
		return r.unsent < maxUnsent
	}
	if !f.notRun && r.route.Kind != fleet.Idempotent {
		return false
	}
	if r.sends >= r.route.MaxAttempts {
		return false
	}
	if r.moved.Swap(false) {
		return true
	}
	return r.host.retryBudgetOf(r.service).Retry(now)
}

// send gives the request to one server.
func (r *run) send(ctx context.Context, job *scheduler.Job, verdict scheduler.Verdict) (*callers.Answer, *attemptFailure) {
	r.server = verdict.Server
	r.tried = append(r.tried, verdict.Server)
	r.trace.add(events.RequestGranted, func() []events.Field {
		return []events.Field{
			events.Service(model.Service(r.service)), events.Server(model.ServerID(verdict.Server)),
			events.Generation(model.Generation(r.version)), events.Reason(verdictReason(verdict)),
		}
	})
	ctx, cancel := r.attemptContext(ctx, verdict)
	defer cancel()
	answer, err := r.host.exchange(ctx, verdict.Server, r.upstreamRequest(verdict.Server))
	var f *upstream.Failure
	if errors.As(err, &f) {
		return nil, r.judgeFailure(ctx, job, f)
	}
	return r.judgeAnswer(job, answer)
}

type verdictReason scheduler.Verdict

func (v verdictReason) Error() string {
	return "class " + v.Job.Class + " object " + v.Job.Object.Key + " known " + strconv.FormatBool(v.Known) + " rank " + strconv.Itoa(v.Rank) +
		" expected " + v.Expected.String() + " longest " + v.Longest.String() + " wait " + v.Wait.String() + " busy " + strconv.FormatFloat(v.Busy, 'f', 1, 64)
}

// attemptContext ends an attempt of an idempotent request when its answer is
// long overdue and another server can take the request at once. Until then the
// first server's answer is waited for: its silence alone is no reason to end
// the request.
func (r *run) attemptContext(ctx context.Context, verdict scheduler.Verdict) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if r.route.Kind != fleet.Idempotent || r.sends+1 >= r.route.MaxAttempts {
		return ctx, cancel
	}
	overdue := max(silenceFactor*verdict.Expected, firstRunFactor*verdict.Longest, minSilence)
	again := r.job()
	go func() {
		for wait := overdue; sleepUnlessDone(ctx, wait); wait = overdueInterval {
			if r.canMove(again) {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

// sleepUnlessDone reports whether the time passed before the context ended.
func sleepUnlessDone(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// canMove reports whether another server can start on an overdue request now,
// and takes the move out of the retry budget. A stopping host moves nothing.
func (r *run) canMove(again *scheduler.Job) bool {
	h := r.host
	if h.stops.Load() {
		return false
	}
	now := time.Now()
	h.mu.Lock()
	possible := h.scheduler.CanStart(now, again)
	h.mu.Unlock()
	if !possible || !h.retryBudgetOf(r.service).Retry(now) {
		return false
	}
	r.moved.Store(true)
	return true
}

func (r *run) upstreamRequest(server string) upstream.Request {
	header := forwardedHeader(r.req.Header)
	r.host.Protocol.EncodeForward(header, Forward{TimeLeft: time.Until(r.deadline), Server: server})
	id := r.call.ID
	return upstream.Request{
		Method:  r.req.Method,
		Target:  r.req.Target,
		Host:    r.req.Host,
		Header:  header,
		Body:    r.req.Body,
		Belongs: func(h http.Header) upstream.Ownership { return r.host.Protocol.MatchResponse(h, id) },
	}
}

// judgeFailure decides what an attempt without an answer proves.
func (r *run) judgeFailure(ctx context.Context, job *scheduler.Job, f *upstream.Failure) *attemptFailure {
	outcome := scheduler.Failed
	if !f.Unreachable && errors.Is(f.Err, context.Canceled) && !r.moved.Load() {
		outcome = scheduler.Abandoned
	}
	if f.Unreachable {
		r.host.unreachable(r.server, f.Err)
	}
	r.host.done(job, outcome, nil)
	failure := &attemptFailure{err: f.Err, code: result.ConnectionLost}
	switch {
	case !f.Sent:
		failure.notRun, failure.code = true, result.ConnectFailed
		return failure
	case ctx.Err() != nil:
		failure.code = result.DeadlineAfterDispatch
	case f.Broken:
		failure.code = result.AnswerTruncated
	}
	r.sends++
	r.mayHaveRun = true
	if failure.code != result.DeadlineAfterDispatch {
		r.connectionLost()
	}
	return failure
}

// judgeAnswer decides whether an answer is the final one.
func (r *run) judgeAnswer(job *scheduler.Job, answer *upstream.Answer) (*callers.Answer, *attemptFailure) {
	report := r.host.Protocol.DecodeResponse(answer.Status, answer.Header)
	if report.ColdFor > 0 {
		r.host.noteCold(r.server, report.ColdFor)
	}
	if report.NotRun {
		return nil, r.judgeNotRun(job, answer, report)
	}
	r.sends++
	r.mayHaveRun = true
	r.survived()
	passed := &callers.Answer{Status: answer.Status, Header: forwardedHeader(answer.Header), Body: answer.Body}
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case answer.Header.Get("Content-Encoding") != "", success && !report.Signed:
		r.host.done(job, scheduler.Failed, report.Load)
		return nil, &attemptFailure{err: errors.New("answer without proof"), code: result.AnswerTruncated}
	case answer.Status >= http.StatusInternalServerError:
		r.host.done(job, scheduler.Failed, report.Load)
		if promisesNotRun(answer.Status) {
			// The server did not promise it, so it is not passed on as a promise.
			passed = nil
		}
		return nil, &attemptFailure{err: errors.New("server answered " + strconv.Itoa(answer.Status)), code: result.ServerFailed, answer: passed}
	case promisesNotRun(answer.Status):
		r.host.done(job, scheduler.Failed, report.Load)
		return nil, &attemptFailure{err: errors.New("server answered " + strconv.Itoa(answer.Status)), code: result.ServerFailed}
	}
	r.host.done(job, scheduler.Succeeded, report.Load)
	return passed, nil
}

func (r *run) judgeNotRun(job *scheduler.Job, answer *upstream.Answer, report Report) *attemptFailure {
	outcome := scheduler.Shed
	if answer.Status == http.StatusMisdirectedRequest {
		outcome = scheduler.Failed
		r.host.unreachable(r.server, errors.New("another server has the address"))
	}
	r.host.done(job, outcome, report.Load)
	return &attemptFailure{err: errors.New("server did not run the request: " + strconv.Itoa(answer.Status)), notRun: true, code: result.ServerShed}
}

// promisesNotRun lists the statuses by which callers know that a request has
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refused is the final answer to a request that gets no (further) server.
func (r *run) refused(ctx context.Context, v scheduler.Verdict) (callers.Answer, result.Code) {
	if ctx.Err() != nil && v.Refused == scheduler.NotRefused {
		return r.failed(&attemptFailure{err: ctx.Err(), notRun: !r.mayHaveRun, code: result.DeadlineBeforeRun})
	}
	codes := map[scheduler.Reason]result.Code{
		scheduler.NoServer:          result.NoServer,
		scheduler.QueueFull:         result.QueueFull,
		scheduler.WouldMissDeadline: result.WouldMissDeadline,
	}
	return r.failed(&attemptFailure{err: refusalReason(v), notRun: true, code: codes[v.Refused], retryAfter: v.RetryAfter})
}

// failed is the final answer to a request that no server answered with success.
func (r *run) failed(f *attemptFailure) (callers.Answer, result.Code) {
	r.failure = f.err.Error()
	switch {
	case f.answer != nil:
		return *f.answer, f.code
	case !r.mayHaveRun && f.notRun:
		return refusal(max(f.retryAfter, scheduler.MinRetryAfter)), f.code
	case f.code == result.DeadlineAfterDispatch:
		return plain(http.StatusGatewayTimeout), f.code
	default:
		return plain(http.StatusBadGateway), f.code
	}
}

// refusalReason says what a refusal is based on.
type refusalReason scheduler.Verdict

func (v refusalReason) Error() string {
	text := v.Refused.String() + " retry after " + v.RetryAfter.String()
	if v.Best == "" {
		return text
	}
	left := time.Until(v.Job.Deadline).Round(time.Millisecond)
	return text + " left " + left.String() + " best " + v.Best + " " + verdictReason(v).Error()
}

// finish counts and logs the end of a request.
func (r *run) finish(answer callers.Answer, code result.Code) {
	h := r.host
	rank := model.Rank(strconv.Itoa(r.route.Priority))
	took := time.Since(r.req.Received)
	h.Metrics.CountResult(model.Service(r.service), rank, code)
	h.Metrics.ObserveLatency(model.Service(r.service), rank, took)
	r.trace.end(h.Log, code == result.Served, func() []events.Field {
		return []events.Field{
			events.Service(model.Service(r.service)), events.Server(model.ServerID(r.server)), events.Code(code),
			events.Generation(model.Generation(r.version)), events.Reason(errors.New(strconv.Itoa(answer.Status) + " " + r.failure)),
		}
	})
}

// refusal promises that the request has not run and never will.
func refusal(retryAfter time.Duration) callers.Answer {
	a := plain(http.StatusServiceUnavailable)
	a.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	return a
}

func plain(status int) callers.Answer {
	return callers.Answer{Status: status, Header: http.Header{}}
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns a copy without what concerns only one connection.
func forwardedHeader(h http.Header) http.Header {
	copied := h.Clone()
	for _, named := range h.Values("Connection") {
		for _, name := range splitList(named) {
			copied.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
