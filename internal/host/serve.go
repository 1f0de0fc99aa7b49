package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
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
	// defaultTimeLeft is the time limit of requests without a deadline.
	defaultTimeLeft = 30 * time.Second
	// responseMargin is the part of a request's time limit that is reserved for
	// sending the response to the caller.
	responseMargin = 15 * time.Millisecond
	// notReadyRetryAfter is the Retry-After of responses while this host has no
	// configuration: it applies one within a second of the store's response.
	notReadyRetryAfter = 500 * time.Millisecond
	// maxUnsentAttempts bounds the attempts of a request that fail before a
	// server has received it.
	maxUnsentAttempts = 4
	// overdueFactor and firstRunFactor determine when an idempotent request is
	// overdue and may be sent to another server: after overdueFactor times the
	// expected time to the response, or after firstRunFactor times that of a first
	// run if the server may not hold the object, whichever is longer. First runs
	// take three times as long, and one that is cancelled starts from the
	// beginning on another server.
	overdueFactor  = 3
	firstRunFactor = 2
	// overdueInterval is the interval between checks whether another server can
	// start on an overdue request.
	overdueInterval = 100 * time.Millisecond
	// minOverdue keeps short requests from being resent after small delays.
	minOverdue = 700 * time.Millisecond
)

// requestState is the state of one request of a caller.
type requestState struct {
	host    *Host
	req     *callers.Request
	call    Call
	route   *fleet.Route
	service string
	version uint64
	object  placement.Object
	// received is when the body was whole; req.Received is when the header was.
	received  time.Time
	deadline  time.Time
	timeoutAt time.Time

	tried          []string
	sentAttempts   int
	unsentAttempts int
	// mayHaveRun is set when a server received the request and did not guarantee
	// that it did not run.
	mayHaveRun bool
	// memory is reserved for the last response of a server.
	memory  *bounded.Reservation
	server  string
	failure string
	trace   trace
	// moved is set when an overdue attempt was cancelled to send the request to
	// another server; the retry is already taken from the retry budget.
	moved atomic.Bool
}

// serveCall handles a request of a caller.
func (h *Host) serveCall(ctx context.Context, req *callers.Request) (resp callers.Response) {
	// The response after a panic: the request may have run.
	resp = emptyResponse(http.StatusBadGateway)
	defer h.Log.RecoverPanic("request")
	view := h.reader.View()
	if view.Config == nil {
		return notRunResponse(notReadyRetryAfter)
	}
	call, err := h.Protocol.DecodeCall(req.Request)
	if err != nil || call.ID == "" {
		return emptyResponse(http.StatusBadRequest)
	}
	route := view.Config.Match(hostName(req.Host), req.URL.Path)
	if route == nil {
		return emptyResponse(http.StatusNotFound)
	}
	if call.TimeLeft == 0 {
		call.TimeLeft = defaultTimeLeft
	}
	r := &requestState{host: h, req: req, call: call, route: route, version: view.Config.Version, received: time.Now()}
	r.trace = newTrace(h.Settings.ID, call.ID, req.Received)
	r.deadline = req.Received.Add(call.TimeLeft)
	r.timeoutAt = r.deadline
	if limit := req.Received.Add(route.Timeout); route.Timeout > 0 && limit.Before(r.deadline) {
		r.timeoutAt = limit
	}
	r.timeoutAt = r.timeoutAt.Add(-responseMargin)
	defer func() {
		if resp.Memory == nil {
			r.memory.Release()
		}
	}()
	r.service = h.splitterOf(route).next()
	r.object = r.placedObject()
	h.retryBudgetOf(r.service, r.received).FirstAttempt(r.received)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer h.inFlight.add(r, cancel)()
	final, code := r.serve(ctx)
	r.finish(final, code)
	return final
}

func hostName(hostPort string) string {
	if name, _, err := net.SplitHostPort(hostPort); err == nil {
		return name
	}
	return hostPort
}

// placedObject returns the object that determines the placement of the request:
// the object that it names, or the request itself on routes whose servers hold
// no state.
func (r *requestState) placedObject() placement.Object {
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

// serve sends the request to servers until there is a final response.
func (r *requestState) serve(ctx context.Context) (callers.Response, result.Code) {
	ctx, cancel := context.WithDeadline(ctx, r.timeoutAt)
	defer cancel()
	for {
		r.awaitCheck()
		if r.isConvicted() {
			return r.convictedResponse()
		}
		verdict, job := r.host.dispatch(ctx, r.job())
		if verdict.Server == "" {
			return r.refusalResponse(ctx, verdict)
		}
		if r.isConvicted() {
			// It was convicted while it waited for a server.
			r.host.releaseJob(job)
			return r.convictedResponse()
		}
		resp, failure := r.send(ctx, job, verdict)
		if failure == nil {
			return *resp, result.Served
		}
		if !r.mayResend(ctx, failure) {
			return r.failureResponse(failure)
		}
		r.memory.Release()
		r.trace.add(events.RequestResent, func() []events.Field {
			return []events.Field{events.Server(model.ServerID(verdict.Server)), events.Reason(failure.err)}
		})
	}
}

func (r *requestState) job() *scheduler.Job {
	return &scheduler.Job{
		Class:      r.route.Name,
		Service:    r.service,
		Object:     r.object,
		Sticky:     r.route.Sticky && r.call.Object != "",
		Priority:   r.route.Priority,
		Target:     r.route.TargetLatency,
		Received:   r.received,
		TargetAt:   r.req.Received.Add(r.route.TargetLatency),
		Deadline:   r.timeoutAt,
		MayHaveRun: r.mayHaveRun,
		Tried:      slices.Clone(r.tried),
	}
}

// attemptFailure is a failed attempt to have a server run the request.
type attemptFailure struct {
	err error
	// notRun is set if the request is known not to have run; otherwise it may
	// have run.
	notRun bool
	code   result.Code
	// response is the server's error response that is forwarded to the caller,
	// or nil.
	response   *callers.Response
	retryAfter time.Duration
}

// mayResend decides whether another server may get the request.
func (r *requestState) mayResend(ctx context.Context, f *attemptFailure) bool {
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	if f.notRun && f.code == result.ConnectFailed {
		r.unsentAttempts++
		return r.unsentAttempts < maxUnsentAttempts
	}
	if !f.notRun && !r.route.Kind.MayRepeat() {
		return false
	}
	if r.sentAttempts >= r.route.MaxAttempts {
		return false
	}
	if r.moved.Swap(false) {
		return true
	}
	if !r.host.takeRetry(now, r.service) {
		r.host.Metrics.Add("retries_refused", 1)
		f.err = fmt.Errorf("%w; retry budget spent", f.err)
		return false
	}
	return true
}

// send sends the request to one server.
func (r *requestState) send(ctx context.Context, job *scheduler.Job, verdict scheduler.Verdict) (*callers.Response, *attemptFailure) {
	r.server = verdict.Server
	r.tried = append(r.tried, verdict.Server)
	r.trace.add(events.RequestGranted, func() []events.Field {
		return []events.Field{
			events.Service(model.Service(r.service)), events.Server(model.ServerID(verdict.Server)),
			events.Generation(model.Generation(r.version)), events.Reason(verdictReason(verdict)),
		}
	})
	r.host.inFlight.setServer(r, verdict.Server)
	defer r.host.inFlight.setServer(r, "")
	defer r.host.releaseJob(job)
	ctx, cancel := r.attemptContext(ctx, verdict)
	defer cancel()
	sentAt := time.Now()
	resp, err := r.host.exchange(ctx, verdict.Server, r.upstreamRequest(verdict.Server))
	var f *upstream.Failure
	if errors.As(err, &f) {
		return nil, r.handleFailure(ctx, job, f)
	}
	r.memory = resp.Memory
	report := r.host.Protocol.DecodeResponse(resp.Status, resp.Header)
	r.host.applyServerState(r.server, sentAt, resp, report)
	return r.handleResponse(job, resp, report)
}

type verdictReason scheduler.Verdict

func (v verdictReason) Error() string {
	return "class " + v.Job.Class + " object " + v.Job.Object.Key + " known " + strconv.FormatBool(v.Known) + " rank " + strconv.Itoa(v.Rank) +
		" expected " + v.Expected.String() + " longest " + v.Longest.String() + " wait " + v.Wait.String() + " busy " + strconv.FormatFloat(v.Busy, 'f', 1, 64)
}

// attemptContext returns a context that cancels an attempt of an idempotent
// request when its response is overdue and another server can start on the
// request at once. Until then the attempt continues: a missing response alone
// is no reason to cancel it.
func (r *requestState) attemptContext(ctx context.Context, verdict scheduler.Verdict) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if !r.route.Kind.MayRepeat() || r.sentAttempts+1 >= r.route.MaxAttempts {
		return ctx, cancel
	}
	overdue := max(overdueFactor*verdict.Expected, firstRunFactor*verdict.Longest, minOverdue)
	retry := r.job()
	go func() {
		defer r.host.Log.RecoverPanic("overdue request")
		for wait := overdue; sleepUnlessDone(ctx, wait); wait = overdueInterval {
			if r.reserveMove(retry) {
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

// reserveMove reports whether another server can start on an overdue request
// now, and if so takes the retry from the retry budget. A stopping host does not
// move requests.
func (r *requestState) reserveMove(retry *scheduler.Job) bool {
	h := r.host
	if h.stopping.Load() {
		return false
	}
	now := time.Now()
	if !h.canStart(now, retry) || !h.takeRetry(now, r.service) {
		return false
	}
	r.moved.Store(true)
	return true
}

func (h *Host) canStart(now time.Time, job *scheduler.Job) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scheduler.CanStart(now, job)
}

func (r *requestState) upstreamRequest(server string) upstream.Request {
	header := r.host.forwardedHeader(r.req.Header)
	r.host.Protocol.EncodeForward(header, Forward{TimeLeft: time.Until(r.deadline), Server: server})
	id := r.call.ID
	return upstream.Request{
		Method:        r.req.Method,
		Target:        r.req.Target,
		Host:          r.req.Host,
		Header:        header,
		Body:          r.req.Body,
		MatchResponse: func(h http.Header) upstream.Match { return r.host.Protocol.MatchResponse(h, id) },
	}
}

// handleFailure ends an attempt without a usable response. It determines whether
// the request may have run, and marks an unreachable server.
func (r *requestState) handleFailure(ctx context.Context, job *scheduler.Job, f *upstream.Failure) *attemptFailure {
	outcome := scheduler.Failed
	if !f.Unreachable && isCancelled(f.Err) && !r.moved.Load() {
		outcome = scheduler.Abandoned
	}
	if f.Unreachable {
		r.host.markUnreachable(r.server, f.Err)
	}
	r.host.endAttempt(job, outcome, nil)
	failure := &attemptFailure{err: f.Err, code: result.ConnectionLost}
	switch {
	case !f.Sent:
		failure.notRun, failure.code = true, result.ConnectFailed
		return failure
	case errors.Is(f.Err, errHostStopped):
		failure.code = result.StoppedAfterDispatch
	case ctx.Err() != nil:
		failure.code = result.DeadlineAfterDispatch
	case f.InvalidResponse:
		failure.code = result.AnswerTruncated
	}
	r.sentAttempts++
	r.mayHaveRun = true
	if ctx.Err() == nil {
		r.handleConnectionLoss()
	}
	return failure
}

// isCancelled reports whether an attempt ended because its caller left or the host
// stopped, which says nothing about the server.
func isCancelled(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, errHostStopped)
}

// handleResponse ends an attempt with a response. It returns the response if
// that is final, and a failure otherwise.
func (r *requestState) handleResponse(job *scheduler.Job, received *upstream.Response, report Report) (*callers.Response, *attemptFailure) {
	if report.ColdFor > 0 {
		r.host.setCold(r.server, report.ColdFor)
	}
	if report.NotRun {
		return nil, r.handleNotRun(job, received, report)
	}
	r.sentAttempts++
	r.mayHaveRun = true
	r.recordCompletion()
	resp := &callers.Response{Status: received.Status, Header: r.host.forwardedHeader(received.Header), Body: received.Body, Memory: received.Memory}
	success := received.Status >= http.StatusOK && received.Status < http.StatusMultipleChoices
	switch {
	case received.Header.Get("Content-Encoding") != "", success && !report.Signed:
		r.host.endAttempt(job, scheduler.Failed, report.Load)
		return nil, &attemptFailure{err: errors.New("response is unsigned or has a content encoding"), code: result.AnswerTruncated}
	case received.Status >= http.StatusInternalServerError:
		r.host.endAttempt(job, scheduler.Failed, report.Load)
		if impliesNotRun(received.Status) {
			// Callers take this status to mean that the request did not run,
			// which the server did not guarantee.
			resp = nil
		}
		return nil, &attemptFailure{err: errors.New("server answered " + strconv.Itoa(received.Status)), code: result.ServerFailed, response: resp}
	case impliesNotRun(received.Status):
		r.host.endAttempt(job, scheduler.Failed, report.Load)
		return nil, &attemptFailure{err: errors.New("server answered " + strconv.Itoa(received.Status)), code: result.ServerFailed}
	}
	r.host.endAttempt(job, scheduler.Succeeded, report.Load)
	return resp, nil
}

func (r *requestState) handleNotRun(job *scheduler.Job, received *upstream.Response, report Report) *attemptFailure {
	outcome := scheduler.Shed
	if received.Status == http.StatusMisdirectedRequest {
		outcome = scheduler.Failed
		r.host.markUnreachable(r.server, errors.New("another server has the address"))
	}
	r.host.endAttempt(job, outcome, report.Load)
	return &attemptFailure{err: errors.New("server did not run the request: " + strconv.Itoa(received.Status)), notRun: true, code: result.ServerShed}
}

// impliesNotRun reports whether callers take the status to mean that the request
// did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refusalResponse returns the final response to a request that the scheduler
// assigned to no (further) server.
func (r *requestState) refusalResponse(ctx context.Context, v scheduler.Verdict) (callers.Response, result.Code) {
	if ctx.Err() != nil && v.Refused == scheduler.NotRefused {
		return r.failureResponse(&attemptFailure{err: context.Cause(ctx), notRun: !r.mayHaveRun, code: result.DeadlineBeforeRun})
	}
	codes := map[scheduler.Reason]result.Code{
		scheduler.NoServer:          result.NoServer,
		scheduler.QueueFull:         result.QueueFull,
		scheduler.WouldMissDeadline: result.WouldMissDeadline,
		scheduler.HostStopping:      result.Stopping,
	}
	return r.failureResponse(&attemptFailure{err: refusalReason(v), notRun: true, code: codes[v.Refused], retryAfter: v.RetryAfter})
}

func (r *requestState) convictedResponse() (callers.Response, result.Code) {
	return r.failureResponse(&attemptFailure{err: errConvicted, notRun: !r.mayHaveRun, code: result.Quarantined, retryAfter: convictedRetryAfter})
}

// failureResponse returns the final response to a request that no server
// completed with success.
func (r *requestState) failureResponse(f *attemptFailure) (callers.Response, result.Code) {
	r.failure = f.err.Error()
	switch {
	case f.response != nil:
		return *f.response, f.code
	case !r.mayHaveRun && f.notRun && f.code == result.Stopping:
		return notRunResponse(r.host.stoppingRetryAfter()), f.code
	case !r.mayHaveRun && f.notRun:
		return notRunResponse(max(f.retryAfter, scheduler.MinRetryAfter)), f.code
	case f.code == result.DeadlineAfterDispatch, f.code == result.StoppedAfterDispatch:
		return emptyResponse(http.StatusGatewayTimeout), f.code
	default:
		return emptyResponse(http.StatusBadGateway), f.code
	}
}

// refusalReason formats the data on which a refusal is based.
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
func (r *requestState) finish(resp callers.Response, code result.Code) {
	h := r.host
	rank := model.Rank(strconv.Itoa(r.route.Priority))
	took := time.Since(r.req.Received)
	h.Metrics.CountResult(model.Service(r.service), rank, code)
	h.Metrics.ObserveLatency(model.Service(r.service), rank, took)
	r.trace.end(h.Log, code == result.Served, func() []events.Field {
		return []events.Field{
			events.Service(model.Service(r.service)), events.Server(model.ServerID(r.server)), events.Code(code),
			events.Generation(model.Generation(r.version)), events.Reason(errors.New(strconv.Itoa(resp.Status) + " " + r.failure)),
		}
	})
}

// notRunResponse returns a response that guarantees that the request has not run
// and will not run.
func notRunResponse(retryAfter time.Duration) callers.Response {
	a := emptyResponse(http.StatusServiceUnavailable)
	a.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	return a
}

func emptyResponse(status int) callers.Response {
	return callers.Response{Status: status, Header: http.Header{}}
}

// connectionHeaders are the headers that apply to a single connection.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns a copy without the headers that apply to a single
// connection. A sender cannot make one of them of a header that the platform defines
// for the whole path.
func (h *Host) forwardedHeader(received http.Header) http.Header {
	copied := received.Clone()
	for _, named := range received.Values("Connection") {
		for _, name := range splitList(named) {
			if !h.Protocol.IsEndToEnd(name) {
				copied.Del(name)
			}
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
