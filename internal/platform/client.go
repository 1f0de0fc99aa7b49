package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/dghubble/sling"
)

const (
	callTimeout = 2 * time.Second
	// watchWait is how long a watch lets the store wait for a change. A lost
	// response to a watch is noticed only after watchTimeout, and a change has to be
	// applied within 6 s.
	watchWait    = 2 * time.Second
	watchTimeout = watchWait + callTimeout + 500*time.Millisecond

	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	// maxReadAttempts bounds the attempts of one read. Writes are never retried here,
	// because a lost response has to be resolved by reading the object back.
	maxReadAttempts = 3
)

// Client is the HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	base  *sling.Sling
	calls atomic.Int64
}

// NewClient returns a client of the store at baseURL.
func NewClient(baseURL string) *Client {
	httpClient := &http.Client{Transport: &http.Transport{
		DialContext:           (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost:   4,
		ResponseHeaderTimeout: watchTimeout,
		DisableCompression:    true,
	}}
	return &Client{base: sling.New().Client(httpClient).Base(baseURL)}
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

type keyQuery struct {
	Key       string `url:"key,omitempty"`
	Prefix    string `url:"prefix,omitempty"`
	IfVersion uint64 `url:"if-version"`
	After     uint64 `url:"after"`
	Wait      int64  `url:"wait-millis,omitempty"`
}

type versionResponse struct {
	Version uint64 `json:"version"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.read(ctx, c.base.New().Get("/v1/object").QueryStruct(keyQuery{Key: key}), &object)
	return object, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := c.read(ctx, c.base.New().Get("/v1/objects").QueryStruct(keyQuery{Prefix: prefix}), &objects)
	return objects, err
}

// Machines implements HostList.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	err := c.read(ctx, c.base.New().Get("/v1/machines"), &machines)
	return machines, err
}

// Latencies implements Measurements.
func (c *Client) Latencies(ctx context.Context) ([]Latency, error) {
	var latencies []Latency
	err := c.read(ctx, c.base.New().Get("/v1/latencies"), &latencies)
	return latencies, err
}

// Put implements Store. After ErrUncertain the caller has to read the object back.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	req := c.base.New().Put("/v1/object").
		QueryStruct(keyQuery{Key: key, IfVersion: ifVersion}).
		Body(bytes.NewReader(value))
	var response versionResponse
	err := c.call(ctx, callTimeout, req, &response)
	return response.Version, markUncertain(err)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	req := c.base.New().Delete("/v1/object").QueryStruct(keyQuery{Key: key, IfVersion: ifVersion})
	return markUncertain(c.call(ctx, callTimeout, req, nil))
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	var objects []Object
	req := c.base.New().Get("/v1/watch").QueryStruct(keyQuery{Prefix: prefix, After: after, Wait: watchWait.Milliseconds()})
	err := c.call(ctx, watchTimeout, req, &objects)
	return objects, err
}

// markUncertain adds ErrUncertain to the error of a write that may have taken
// effect. Of the errors that are ErrUnavailable, only a dial error proves that
// nothing was written.
func markUncertain(err error) error {
	if !errors.Is(err, ErrUnavailable) || isDialError(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrUncertain, err)
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (c *Client) read(ctx context.Context, req *sling.Sling, into any) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstRetryDelay
	policy.MaxInterval = maxRetryDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := c.call(ctx, callTimeout, req, into)
		if err != nil && !errors.Is(err, ErrUnavailable) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(maxReadAttempts))
	return err
}

func (c *Client) call(ctx context.Context, timeout time.Duration, s *sling.Sling, into any) error {
	c.calls.Add(1)
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("build store call: %w", err)
	}
	// Without GetBody, the transport cannot repeat a write whose response was lost.
	req.GetBody = nil
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := s.Do(req.WithContext(ctx), into, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}
