package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// errNoFirstByte is the cancellation cause after the wait for the first byte of
// a response.
var errNoFirstByte = errors.New("no first byte of the response in time")

// roundTrip sends the request and reads the whole response. It reports whether
// the connection can be used again.
func (s *Server) roundTrip(ctx context.Context, conn *connection, req Request, responseTimeout time.Duration) (Outcome, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	before := conn.raw.bytesWritten()
	firstByteTimer := time.AfterFunc(s.firstByteLimit(req, responseTimeout, req.Deadline.Sub(start)), func() { cancel(errNoFirstByte) })
	defer firstByteTimer.Stop()
	httpReq, err := s.httpRequest(ctx, req, start, func() {
		firstByteTimer.Stop()
		s.observeFirstByte(time.Since(start))
	})
	if err != nil {
		return Outcome{Code: result.BadRequest, Detail: err.Error()}, false
	}
	resp, err := conn.exchange(httpReq)
	if err != nil {
		return s.failureOutcome(ctx, conn, before, result.ConnectionLost, err), false
	}
	defer resp.Body.Close()
	body, err := readResponse(resp)
	if err != nil {
		return s.failureOutcome(ctx, conn, before, result.AnswerTruncated, err), false
	}
	return s.responseOutcome(req, resp, body)
}

// failureOutcome determines the result code of a failed request. A request is
// known not to have run only if the kernel accepted no byte of it.
func (s *Server) failureOutcome(ctx context.Context, conn *connection, before int64, code result.Code, err error) Outcome {
	nothingWritten := conn.raw.seal() == before
	cause := context.Cause(ctx)
	switch {
	case nothingWritten && errors.Is(cause, context.DeadlineExceeded):
		code = result.DeadlineBeforeRun
	case nothingWritten:
		code = result.ConnectFailed
	case errors.Is(cause, context.DeadlineExceeded):
		code = result.DeadlineAfterDispatch
	case cause != nil:
		err = cause
	case s.refusesConnections():
		code = result.ServerCrashed
	}
	return Outcome{Code: code, Detail: err.Error()}
}

// IsFinalStatus reports whether a status is one that a final response can have. The
// HTTP library accepts 000 to 099, and takes 101 for a final one.
func IsFinalStatus(status int) bool {
	const maxStatus = 999
	return status >= http.StatusOK && status <= maxStatus
}

// readResponse reads the body to its declared end. It refuses a response that ends
// with its connection, because a truncation could not be detected, and one without
// a valid status.
func readResponse(resp *http.Response) ([]byte, error) {
	if !IsFinalStatus(resp.StatusCode) {
		return nil, fmt.Errorf("status %q", resp.Status)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("response without a declared length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	return body, nil
}

// responseOutcome determines the outcome from a whole response.
func (s *Server) responseOutcome(req Request, resp *http.Response, body []byte) (Outcome, bool) {
	if got := resp.Header.Get(HeaderRequestID); got != req.ID {
		return Outcome{Code: result.AnswerTruncated, Detail: fmt.Sprintf("response to request %q", got)}, false
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == "1" {
		return Outcome{Code: result.ServerShed, Detail: s.String() + " shed the request"}, true
	}
	draining := resp.Header.Get(HeaderDraining) == "1"
	if draining {
		s.announceDraining()
	}
	return Outcome{
		Code:        result.Served,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Draining:    draining,
	}, true
}

// httpRequest builds a request that the HTTP library cannot replay: its body
// has no GetBody and it carries no idempotency header.
func (s *Server) httpRequest(ctx context.Context, req Request, now time.Time, firstByte func()) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: firstByte})
	target := url.URL{Scheme: "http", Host: s.spec.Address, Path: "/" + req.Path}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	httpReq.GetBody = nil
	httpReq.Header.Set(HeaderRequestID, req.ID)
	httpReq.Header.Set(HeaderRank, req.Rank)
	httpReq.Header.Set(HeaderDeadline, fmt.Sprint(req.Deadline.Sub(now).Milliseconds()))
	if req.ContentType != "" {
		httpReq.Header.Set("Content-Type", req.ContentType)
	}
	return httpReq, nil
}
