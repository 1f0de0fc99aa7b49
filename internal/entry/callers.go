package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Headers of the interface to callers.
const (
	HeaderRequestID     = "Wisteria-Request-Id"
	HeaderRank          = "Wisteria-Rank"
	HeaderDeadline      = "Wisteria-Deadline-Ms"
	HeaderIdempotent    = "Wisteria-Idempotent"
	HeaderHomeRegion    = "Wisteria-Home-Region"
	HeaderResult        = "Wisteria-Result"
	HeaderClass         = "Wisteria-Class"
	HeaderPath          = "Wisteria-Path"
	HeaderBackendStatus = "Wisteria-Backend-Status"
)

const (
	maxRequestIDBytes = 200
	maxDeadline       = 10 * time.Minute
)

func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests/{service}/{path...}", d.serveCaller)
	return mux
}

// serveCaller serves a request. It is accepted when its header has arrived: a
// shutdown then awaits its body, which may arrive slowly, too.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	req, refused := d.parseHeader(r, time.Now())
	if refused != nil {
		writeResponse(w, refusal(req, refused.Code, refused.Detail))
		return
	}
	if !d.lifecycle.begin() {
		d.refuseStopping(w, r, req)
		return
	}
	defer d.lifecycle.end()
	refused = d.readBody(w, r, &req)
	if d.lifecycle.state() == model.HostStopping {
		// The shutdown closes idle connections, and a caller could reuse one
		// while it is closed.
		w.Header().Set("Connection", "close")
	}
	if refused != nil {
		writeResponse(w, refusal(req, refused.Code, refused.Detail))
		return
	}
	arrived := time.Now()
	response := d.handleOrFail(r.Context(), req)
	d.countOutcome(req, response, time.Since(arrived))
	writeResponse(w, response)
}

// handleOrFail handles a request of a caller. After a panic it may have run.
func (d *Daemon) handleOrFail(ctx context.Context, req Request) (response Response) {
	response = refusal(req, result.OwnerUnreachable, "the owner failed while it processed the request")
	defer d.log.RecoverPanic("request")
	return d.handleAsOwner(ctx, req)
}

// refuseStopping refuses a request without waiting for its body, which the shutdown
// does not await. It then discards the body: closing with unread bytes resets the
// connection, possibly before the response is read.
func (d *Daemon) refuseStopping(w http.ResponseWriter, r *http.Request, req Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	writeResponse(w, stoppingResponse(req, wirepb.Stage_STAGE_OWNER))
	_ = control.Flush()
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, d.settings.Limits.MaxBodyBytes))
}

// countOutcome counts and logs the outcome of a request of a caller.
func (d *Daemon) countOutcome(req Request, response Response, took time.Duration) {
	switch response.Code {
	case result.UnknownService, result.UnknownRank:
		// Names that are not in the document must not create metrics.
		d.metrics.Add("requests_with_unknown_names", 1)
		return
	}
	d.metrics.CountResult(req.Service, req.Rank, response.Code)
	d.metrics.ObserveLatency(req.Service, req.Rank, took)
	if response.Code == result.RecordsFull {
		d.log.Emit(events.RecordTableFull)
	}
	if response.Code == result.AnswerTruncated {
		d.log.Emit(events.ResponseDropped, events.Service(req.Service), events.Code(response.Code))
	}
	switch response.Code.Class() {
	case result.ClassUnknown:
		d.log.Emit(events.OutcomeUnknown, events.Service(req.Service), events.Rank(req.Rank), events.Code(response.Code))
	case result.ClassNotRun:
		d.log.Emit(events.RequestRefused, events.Service(req.Service), events.Rank(req.Rank), events.Code(response.Code))
	}
}

func (d *Daemon) parseHeader(r *http.Request, now time.Time) (Request, *result.Error) {
	req := Request{
		ID:          r.Header.Get(HeaderRequestID),
		Service:     model.Service(r.PathValue("service")),
		Path:        r.PathValue("path"),
		Rank:        model.Rank(r.Header.Get(HeaderRank)),
		HomeRegion:  model.Region(r.Header.Get(HeaderHomeRegion)),
		FromRegion:  d.settings.Host.Region,
		ContentType: r.Header.Get("Content-Type"),
	}
	if req.ID == "" || len(req.ID) > maxRequestIDBytes {
		return req, result.Errorf(result.BadRequest, "%s must have 1 to %d bytes", HeaderRequestID, maxRequestIDBytes)
	}
	millis, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
		return req, result.Errorf(result.BadRequest, "%s must be 1 to %d (milliseconds)", HeaderDeadline, maxDeadline.Milliseconds())
	}
	req.Deadline = now.Add(time.Duration(millis) * time.Millisecond)
	req.Idempotent, err = strconv.ParseBool(r.Header.Get(HeaderIdempotent))
	if err != nil {
		return req, result.Errorf(result.BadRequest, "%s must be true or false", HeaderIdempotent)
	}
	if req.HomeRegion == "" {
		req.HomeRegion = d.settings.Host.Region
	}
	return req, nil
}

func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request, req *Request) *result.Error {
	var err error
	req.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, d.settings.Limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.BodyTooLarge, "limit is %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return result.Errorf(result.BadRequest, "read body: %v", err)
	}
	return nil
}

func writeResponse(w http.ResponseWriter, resp Response) {
	h := w.Header()
	h.Set(HeaderRequestID, resp.RequestID)
	h.Set(HeaderResult, strconv.Itoa(int(resp.Code)))
	h.Set(HeaderClass, resp.Code.Class().String())
	h.Set(HeaderPath, strings.Join(resp.Hops, " "))
	if resp.Code.Class() != result.ClassServed {
		text := fmt.Sprintf("%s: %s\n", resp.Code, resp.Detail)
		h.Set("Content-Type", "text/plain; charset=utf-8")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(resp.Code.HTTPStatus())
		_, _ = io.WriteString(w, text)
		return
	}
	h.Set(HeaderBackendStatus, strconv.Itoa(resp.BackendStatus))
	if resp.ContentType != "" {
		h.Set("Content-Type", resp.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.BackendStatus)
	_, _ = w.Write(resp.Body)
}
