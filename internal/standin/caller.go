package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
)

// LookupResponse is the part of a lookup response that the caller uses.
type LookupResponse struct {
	Generation   uint64 `json:"generation"`
	CacheSeconds int    `json:"cache_seconds"`
	HomeRegion   string `json:"home_region"`
	Hosts        []struct {
		Host    string `json:"host"`
		Address string `json:"address"`
		Region  string `json:"region"`
		Owner   string `json:"owner"`
	} `json:"hosts"`
}

// Call is one request of a caller.
type Call struct {
	Service    string
	Block      string
	Rank       string
	Unique     string
	Idempotent bool
	Deadline   time.Duration
	Body       string
}

// CallResult is the response to a call.
type CallResult struct {
	RequestID string
	Status    int
	Result    int
	Class     string
	Path      string
	Body      string
}

// Caller looks up entry hosts and sends requests. It is safe for concurrent
// use.
type Caller struct {
	Client          *http.Client
	LookupAddresses []string
}

// Lookup tries the lookup daemons in turn until one of them returns hosts.
func (c *Caller) Lookup(ctx context.Context, service, block string) (LookupResponse, error) {
	err := errors.New("no lookup address")
	for _, address := range c.LookupAddresses {
		var response LookupResponse
		if response, err = c.lookupAt(ctx, address, service, block); err == nil {
			return response, nil
		}
	}
	return LookupResponse{}, err
}

func (c *Caller) lookupAt(ctx context.Context, address, service, block string) (LookupResponse, error) {
	url := fmt.Sprintf("http://%s/v1/lookup?service=%s&block=%s", address, service, block)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return LookupResponse{}, err
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return LookupResponse{}, fmt.Errorf("look up: %w", err)
	}
	defer resp.Body.Close()
	var response LookupResponse
	if resp.StatusCode != http.StatusOK {
		return response, fmt.Errorf("look up: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return response, fmt.Errorf("look up: %w", err)
	}
	if len(response.Hosts) == 0 {
		return response, errors.New("look up: no entry host is ready")
	}
	return response, nil
}

// Send sends the call to an entry host under the request ID.
func (c *Caller) Send(ctx context.Context, address, requestID, homeRegion string, call Call) (CallResult, error) {
	url := fmt.Sprintf("http://%s/v1/requests/%s/run", address, call.Service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(call.Body)))
	if err != nil {
		return CallResult{}, err
	}
	req.Header.Set("Wisteria-Request-Id", requestID)
	req.Header.Set("Wisteria-Rank", call.Rank)
	req.Header.Set("Wisteria-Deadline-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	req.Header.Set("Wisteria-Idempotent", strconv.FormatBool(call.Idempotent))
	req.Header.Set("Wisteria-Home-Region", homeRegion)
	resp, err := c.Client.Do(req)
	if err != nil {
		return CallResult{}, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return CallResult{}, fmt.Errorf("read response: %w", err)
	}
	resultCode, _ := strconv.Atoi(resp.Header.Get("Wisteria-Result"))
	return CallResult{
		RequestID: resp.Header.Get("Wisteria-Request-Id"),
		Status:    resp.StatusCode,
		Result:    resultCode,
		Class:     resp.Header.Get("Wisteria-Class"),
		Path:      resp.Header.Get("Wisteria-Path"),
		Body:      string(body),
	}, nil
}

// SendUntilKnown sends the call to the hosts of the lookup response in turn,
// under the same request ID, until one of them reports the outcome or every host
// was tried. After an error or an unknown outcome it resends the call, which is
// safe under the same ID.
func (c *Caller) SendUntilKnown(ctx context.Context, hosts LookupResponse, requestID string, call Call) (CallResult, error) {
	err := errors.New("no entry host")
	var result CallResult
	for _, host := range hosts.Hosts {
		result, err = c.Send(ctx, host.Address, requestID, hosts.HomeRegion, call)
		if err == nil && isOutcomeKnown(result) {
			return result, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return result, err
}

// isOutcomeKnown reports whether the response says if the request ran.
func isOutcomeKnown(result CallResult) bool {
	return result.Class == "served" || result.Class == "not-run"
}

func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "look up and send one request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "lookup", Required: true, Usage: "address of a lookup daemon"},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "block", Required: true, Usage: "client block of the caller"},
			&cli.StringFlag{Name: "rank", Required: true},
			&cli.StringFlag{Name: "unique", Required: true, Usage: "unique part of the request ID"},
			&cli.BoolFlag{Name: "idempotent"},
			&cli.BoolFlag{Name: "resend", Usage: "resend under the same ID while the outcome is unknown"},
			&cli.DurationFlag{Name: "deadline", Value: 2 * time.Second},
			&cli.StringFlag{Name: "body", Value: "hello"},
			&cli.IntFlag{Name: "hosts", Value: 1, Usage: "number of entry hosts that the lookup must return"},
			&cli.DurationFlag{Name: "wait", Value: 15 * time.Second, Usage: "how long to retry the lookup"},
		},
		Action: runCall,
	}
}

func runCall(ctx context.Context, cmd *cli.Command) error {
	caller := &Caller{Client: &http.Client{}, LookupAddresses: []string{cmd.String("lookup")}}
	call := Call{
		Service:    cmd.String("service"),
		Block:      cmd.String("block"),
		Rank:       cmd.String("rank"),
		Unique:     cmd.String("unique"),
		Idempotent: cmd.Bool("idempotent"),
		Deadline:   cmd.Duration("deadline"),
		Body:       cmd.String("body"),
	}
	response, err := waitLookup(ctx, caller, call, cmd.Int("hosts"), cmd.Duration("wait"))
	if err != nil {
		return err
	}
	if !cmd.Bool("resend") {
		response.Hosts = response.Hosts[:1]
	}
	result, err := caller.SendUntilKnown(ctx, response, response.Hosts[0].Owner+"."+call.Unique, call)
	if err != nil {
		return err
	}
	fmt.Printf("%-9s result=%d class=%s path=%q\n          %s\n", call.Rank, result.Result, result.Class, result.Path, result.Body)
	if result.Class != "served" {
		return errors.New("the request was not served")
	}
	return nil
}

func waitLookup(ctx context.Context, caller *Caller, call Call, hosts int, wait time.Duration) (LookupResponse, error) {
	const interval = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		response, err := caller.Lookup(ctx, call.Service, call.Block)
		if err == nil && len(response.Hosts) >= hosts {
			return response, nil
		}
		select {
		case <-ctx.Done():
			return LookupResponse{}, fmt.Errorf("waited for %d entry hosts, got %d: %w", hosts, len(response.Hosts), ctx.Err())
		case <-time.After(interval):
		}
	}
}
