package host

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
)

// routeDecoder has one idempotent route, and servers whose addresses are their bodies.
type routeDecoder struct{}

func (routeDecoder) Config(o inventory.Object) (*fleet.Config, error) {
	route := &fleet.Route{Name: "read", Host: "h", Prefix: "/", Kind: fleet.Idempotent, TargetLatency: time.Second, MaxAttempts: 2, Parts: []fleet.Part{{Service: "desk", Weight: 1}}}
	return fleet.NewConfig(o.Position.Revision, []*fleet.Route{route}, map[string]*fleet.Service{"desk": {Name: "desk", HealthPath: "/health"}}, fleet.Limits{}), nil
}

func (routeDecoder) Server(o inventory.Object) (fleet.BackendServer, error) {
	return fleet.BackendServer{ID: o.Name, Service: "desk", Slots: 4, Address: string(o.Body), Region: "west", Domain: "west-a", State: fleet.Ready}, nil
}

// wordProtocol reads what a response states from one header.
type wordProtocol struct{ Protocol }

func (wordProtocol) DecodeCall(*http.Request) (Call, error) {
	return Call{ID: "1", TimeLeft: 5 * time.Second}, nil
}
func (wordProtocol) EncodeForward(http.Header, Forward)               {}
func (wordProtocol) MatchResponse(http.Header, string) upstream.Match { return upstream.Matching }
func (wordProtocol) IsEndToEnd(string) bool                           { return false }
func (wordProtocol) DecodeResponse(_ int, h http.Header) Report {
	word := h.Get("Word")
	if word == "panic" {
		panic("odd response")
	}
	return Report{Signed: word == "signed", NotRun: word == "not-run"}
}

// startWordServer starts a server whose responses have the given statuses and words,
// in turn.
func startWordServer(t *testing.T, body string, responses ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		defer listener.Close()
		for _, response := range responses {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				status, word, _ := strings.Cut(response, " ")
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nWord: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, word, len(body), body)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against the memory of a response that stays reserved, or is free while the
// response waits to be written.
func TestMemoryOfResponsesIsReservedUntilTheyAreWritten(t *testing.T) {
	const memory = 10 << 20
	body := strings.Repeat("b", 100_000)
	for _, c := range []struct {
		name      string
		responses []string
		want      int
		forwarded bool
	}{
		{"served", []string{"200 signed"}, http.StatusOK, true},
		{"failed by the server", []string{"500 signed", "500 signed"}, http.StatusInternalServerError, true},
		{"unsigned", []string{"200 none", "200 none"}, http.StatusBadGateway, false},
		{"served after a resend", []string{"500 none", "200 signed"}, http.StatusOK, true},
		{"cut off after a resend", []string{"500 none"}, http.StatusBadGateway, false},
		{"served after a refusal", []string{"503 not-run", "200 signed"}, http.StatusOK, true},
		{"refused", []string{"503 none", "503 none"}, http.StatusBadGateway, false},
		{"panic", []string{"200 panic"}, http.StatusBadGateway, false},
		{"panic after a resend", []string{"500 none", "200 panic"}, http.StatusBadGateway, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Settings{ID: "h-0", Region: "west", Domain: "west-a", RegionOf: map[string]string{"west-a": "west"}, Memory: memory,
				Bounds: Bounds{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second}}
			h := New(Base{Settings: s, Decoder: routeDecoder{}, Protocol: wordProtocol{}, Metrics: metrics.New(), Log: events.New(io.Discard, logrus.InfoLevel, time.Now)})
			total := h.responseMemory.Free()
			address := startWordServer(t, body, c.responses...)
			h.applySnapshots(&wirepb.SnapshotReply{Collections: []*wirepb.CollectionSnapshot{
				{Collection: uint32(inventory.Configuration), AsOf: 9, Objects: []*wirepb.StoredObject{{Name: "main", Revision: 1, Body: []byte("x")}}},
				{Collection: uint32(inventory.Servers), AsOf: 9, Objects: []*wirepb.StoredObject{
					{Name: "a", Revision: 2, Body: []byte(address)}, {Name: "b", Revision: 3, Body: []byte(address)},
				}},
			}}, "127.0.0.1:1", nil)
			defer func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				clear(h.backends) // stops the probes
			}()
			req := &callers.Request{Request: httptest.NewRequest(http.MethodGet, "http://h/", nil), Target: "/", Received: time.Now()}
			resp := h.serveCall(context.Background(), req)
			if resp.Status != c.want || (len(resp.Body) > 0) != c.forwarded {
				t.Errorf("status %d with %d bytes, want %d", resp.Status, len(resp.Body), c.want)
			}
			if reserved := total - h.responseMemory.Free(); reserved < int64(len(resp.Body)) || !c.forwarded && reserved > 0 {
				t.Errorf("%d bytes are reserved for a body of %d", reserved, len(resp.Body))
			}
			resp.Memory.Release()
			if free := h.responseMemory.Free(); free != total {
				t.Errorf("%d bytes are free after the response, want %d", free, total)
			}
		})
	}
}
