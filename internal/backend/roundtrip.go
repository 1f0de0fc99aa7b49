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

// errSilent ends the wait for the first byte of an answer.
var errSilent = errors.New("no first byte of the answer in time")

// roundTrip sends the request and reads the whole answer. It reports whether
// the connection can be used again.
func (s *Server) roundTrip(ctx context.Context, conn *connection, req Request, answerTimeout time.Duration) (Outcome, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	before := conn.raw.bytesWritten()
	silence := time.AfterFunc(s.patience(req, answerTimeout, req.Deadline.Sub(start)), func() { cancel(errSilent) })
	defer silence.Stop()
	httpReq, err := s.httpRequest(ctx, req, start, func() {
		silence.Stop()
		s.observe(time.Since(start))
	})
	if err != nil {
		return Outcome{Code: result.BadRequest, Detail: err.Error()}, false
	}
	resp, err := conn.http.RoundTrip(httpReq)
	if err != nil {
		return s.lost(ctx, conn, before, result.ConnectionLost, err), false
	}
	defer resp.Body.Close()
	body, err := readWhole(resp)
	if err != nil {
		return s.lost(ctx, conn, before, result.AnswerTruncated, err), false
	}
	return s.judge(req, resp, body)
}

// lost finds out what a failed request proves. Only a request of which the
// kernel accepted no byte is known not to have run.
func (s *Server) lost(ctx context.Context, conn *connection, before int64, code result.Code, err error) Outcome {
	nothingWritten := conn.raw.seal() == before
	cause := context.Cause(ctx)
	switch {
	case nothingWritten && errors.Is(cause, context.DeadlineExceeded):
		code = result.DeadlineBefore
	case nothingWritten:
		code = result.ConnectFailed
	case errors.Is(cause, context.DeadlineExceeded):
		code = result.DeadlineAfter
	case cause != nil:
		err = cause
	case s.refusesConnections():
		code = result.ServerCrashed
	}
	return Outcome{Code: code, Detail: err.Error()}
}

// readWhole reads the answer to its declared end. An answer that only ends
// with its connection has none.
func readWhole(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("answer without a declared length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return nil, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return body, nil
}

// judge decides what a whole answer says about the request.
func (s *Server) judge(req Request, resp *http.Response, body []byte) (Outcome, bool) {
	if got := resp.Header.Get(HeaderRequestID); got != req.ID {
		return Outcome{Code: result.AnswerTruncated, Detail: fmt.Sprintf("answer of request %q", got)}, false
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
