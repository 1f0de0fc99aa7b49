package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// callTimeout leaves time for the repeated store calls of an agent.
const callTimeout = 20 * time.Second

// client calls the first agent that responds.
type client struct {
	agents []string
	http   *http.Client
}

func newClient(cmd *cli.Command) client {
	return client{agents: cmd.StringSlice("agent"), http: &http.Client{Timeout: callTimeout}}
}

// changeQuery holds the query parameters of a change. The write ID makes a
// command one write, also when it is sent again to another agent.
type changeQuery struct {
	IfVersion   uint64 `url:"if-version"`
	WriteID     string `url:"write-id"`
	Author      string `url:"author"`
	From        string `url:"from,omitempty"`
	To          string `url:"to,omitempty"`
	FromVersion uint64 `url:"from-version,omitempty"`
}

func (c client) document(ctx context.Context, environment string) (operator.Document, error) {
	var document operator.Document
	err := c.call(ctx, &document, func(s *sling.Sling) *sling.Sling {
		return s.Get("/v1/documents/" + environment)
	})
	return document, err
}

// documentOrNone returns an empty document of version 0 if there is none.
func (c client) documentOrNone(ctx context.Context, environment string) (operator.Document, error) {
	document, err := c.document(ctx, environment)
	if p, ok := asProblem(err); ok && p.Code == result.NotFound {
		return operator.Document{Environment: environment}, nil
	}
	return document, err
}

func (c client) put(ctx context.Context, environment, text string, query changeQuery) (operator.Accepted, error) {
	var accepted operator.Accepted
	err := c.call(ctx, &accepted, func(s *sling.Sling) *sling.Sling {
		return s.Put("/v1/documents/" + environment).QueryStruct(query).Body(strings.NewReader(text))
	})
	return accepted, err
}

func (c client) promote(ctx context.Context, query changeQuery) (operator.Accepted, error) {
	var accepted operator.Accepted
	err := c.call(ctx, &accepted, func(s *sling.Sling) *sling.Sling {
		return s.Post("/v1/promotions").QueryStruct(query)
	})
	return accepted, err
}

func (c client) status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	err := c.call(ctx, &status, func(s *sling.Sling) *sling.Sling { return s.Get("/v1/status") })
	return status, err
}

// call tries the agents in order. A refusal is final; the next agent is tried
// only if one doesn't respond.
func (c client) call(ctx context.Context, into any, newRequest func(*sling.Sling) *sling.Sling) error {
	var failures []error
	for _, agent := range c.agents {
		err := c.callOne(ctx, agent, into, newRequest)
		if _, refused := asProblem(err); refused || err == nil {
			return err
		}
		failures = append(failures, fmt.Errorf("agent %s: %w", agent, err))
	}
	return errors.Join(failures...)
}

func (c client) callOne(ctx context.Context, agent string, into any, newRequest func(*sling.Sling) *sling.Sling) error {
	base := sling.New().Client(c.http).Base("http://" + agent)
	request, err := newRequest(base).Request()
	if err != nil {
		return usageError{err.Error()}
	}
	refusal := &operator.Problem{}
	response, err := base.Do(request.WithContext(ctx), into, refusal)
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return nil
	}
	if refusal.Code == 0 {
		return fmt.Errorf("status %s", response.Status)
	}
	return refusal
}
