package lookup

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/listen"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/steering"
)

func testView(generation model.Generation) *localstate.View {
	doc := &document.Document{
		Environment: document.Environment{CacheTime: 10 * time.Second, MoveCap: 1, MoveInterval: time.Second},
		Regions:     []document.Region{{Name: "lis", Weight: 1}, {Name: "opo", Weight: 1}},
		Services:    []document.Service{{Name: "passdesk"}},
		Blocks:      []document.Block{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "opo"}},
	}
	view := &localstate.View{Generation: generation, Document: doc, Received: time.Now()}
	for i, region := range []model.Region{"lis", "lis", "opo", "opo"} {
		view.Hosts = append(view.Hosts, model.HostRecord{
			Host: model.HostID(fmt.Sprintf("%s-%d", region, i)), Region: region, State: model.HostReady,
			FailureDomain: model.FailureDomain(fmt.Sprint(i % 2)), CallerAddress: fmt.Sprintf("127.0.0.1:%d", 8000+i), EntryIncarnation: 9,
		})
	}
	return view
}

func testTableCache() *tableCache {
	t := newTableCache()
	t.apply(testView(3), time.Now())
	return t
}

func get(current func() *steering.Table, target string, body io.Reader) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	NewHandler(current).ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, body))
	return w
}

// Guards against a response that callers cannot decode or whose first host is
// outside the home region.
func TestResponseListsHomeRegionFirst(t *testing.T) {
	w := get(testTableCache().current.Load, "/v1/lookup?service=passdesk&block=10.1.7.0/24", nil)
	var response standin.LookupResponse
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
		t.Fatal(err)
	}
	if w.Code != http.StatusOK || response.Generation != 3 || response.CacheSeconds != 10 || response.HomeRegion != "opo" {
		t.Errorf("status %d, response %+v", w.Code, response)
	}
	if len(response.Hosts) != 4 || response.Hosts[0].Region != "opo" || response.Hosts[2].Region != "lis" {
		t.Errorf("hosts %+v", response.Hosts)
	}
}

// Guards against refusals with a wrong result code or status, by which callers
// choose what to do next.
func TestRefusalsCarryTheirCode(t *testing.T) {
	ready := testTableCache().current.Load
	dead := newTableCache()
	view := testView(1)
	for i := range view.Hosts {
		view.Hosts[i].State = model.HostDead
	}
	dead.apply(view, time.Now())
	for _, c := range []struct {
		name    string
		current func() *steering.Table
		query   string
		want    result.Code
	}{
		{"no configuration", newTableCache().current.Load, "service=passdesk&block=10.1.0.0/24", result.NotReady},
		{"no host", dead.current.Load, "service=passdesk&block=10.1.0.0/24", result.NotReady},
		{"unknown service", ready, "service=other&block=10.1.0.0/24", result.UnknownService},
		{"no service", ready, "block=10.1.0.0/24", result.BadRequest},
		{"no block", ready, "service=passdesk", result.BadRequest},
		{"address as block", ready, "service=passdesk&block=10.1.0.1", result.BadRequest},
		{"block twice", ready, "service=passdesk&block=10.1.0.0/24&block=10.2.0.0/24", result.BadRequest},
		{"broken escape", ready, "service=%zz&block=10.1.0.0/24", result.BadRequest},
		{"part of mapped", ready, "service=passdesk&block=::ffff:0:0/90", result.BadRequest},
	} {
		w := get(c.current, "/v1/lookup?"+c.query, nil)
		if got := w.Header().Get("Wisteria-Result"); got != fmt.Sprint(uint32(c.want)) || w.Code != c.want.HTTPStatus() {
			t.Errorf("%s: result %s, status %d, want %v", c.name, got, w.Code, c.want)
		}
	}
	w := get(ready, "/v1/lookup?service=passdesk&block=10.1.0.0/24", strings.NewReader("body"))
	if w.Code != result.BadRequest.HTTPStatus() || w.Header().Get("Connection") != "close" {
		t.Errorf("status %d, header %v for a query with a body", w.Code, w.Header())
	}
}

// Guards against a table that ignores measurements or a change of the weights,
// or that is rebuilt before the move interval ends.
func TestTablesFollowViewAndTime(t *testing.T) {
	cache, view := testTableCache(), testView(4)
	cache.weights = func(_ *localstate.View, now time.Time) map[model.Region]float64 {
		return map[model.Region]float64{"lis": 1, "opo": 1, "since": float64(now.Unix())}
	}
	view.Latencies = []*wirepb.RegionLatency{
		{Block: "10.9.0.0/24", Region: "opo", Millis: 3, AgeMillis: 100},
		{Block: "10.9.0.0/24", Region: "lis", Millis: 30, AgeMillis: 100},
		{Block: "no block", Region: "lis", Millis: 30},
	}
	now := time.Unix(1_800_000_000, 0)
	view.Received = now
	cache.apply(view, now)
	table := cache.current.Load()
	response := table.Lookup(netip.MustParsePrefix("10.9.0.0/24"))
	if response.HomeRegion() != "opo" {
		t.Errorf("home region %s, want opo, which has the lowest latency", response.HomeRegion())
	}
	if cache.refresh(now.Add(900 * time.Millisecond)); cache.current.Load() != table {
		t.Error("the table was rebuilt before the move interval ended")
	}
	if cache.refresh(now.Add(time.Second)); cache.current.Load() == table {
		t.Error("the table was not rebuilt after a change of the weights")
	}
}

// pipeListener accepts in-memory connections, whose deadlines follow the fake
// clock.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// withServer runs serve in a synctest bubble and passes its listener and a
// function that stops it to test.
func withServer(t *testing.T, limit int, test func(l *pipeListener, stop func() error)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l, result := newPipeListener(), make(chan error, 1)
		go func() { result <- serve(ctx, listen.Limit(l, limit, countDropped), testTableCache().current.Load) }()
		test(l, func() error { cancel(); return <-result })
	})
}

// Guards against a connection that stays open without bound because its caller
// sends one byte at a time.
func TestSlowSenderIsDisconnected(t *testing.T) {
	withServer(t, 10, func(l *pipeListener, stop func() error) {
		conn, began := l.dial(), time.Now()
		defer conn.Close()
		var sender sync.WaitGroup
		defer sender.Wait()
		sender.Go(func() {
			for {
				if _, err := conn.Write([]byte("G")); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		})
		_, _ = io.Copy(io.Discard, conn)
		if held := time.Since(began); held > readTimeout+time.Second {
			t.Errorf("the connection stayed open for %v", held)
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against unbounded memory use by a long header.
func TestLongHeaderIsRefused(t *testing.T) {
	withServer(t, 10, func(l *pipeListener, stop func() error) {
		conn := l.dial()
		defer conn.Close()
		go func() {
			_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nPad: %s\r\n\r\n", strings.Repeat("a", 64<<10))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("response %v, error %v", resp, err)
		}
		_ = conn.Close()
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against an unbounded number of connections, and against a closed
// connection that still counts against the limit.
func TestConnectionsAreLimited(t *testing.T) {
	withServer(t, 1, func(l *pipeListener, stop func() error) {
		first, before := l.dial(), countOverLimit.Value()
		synctest.Wait()
		if _, err := l.dial().Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("read on the second connection: %v, want EOF", err)
		}
		if countOverLimit.Value() != before+1 {
			t.Error("the closed connection was not counted")
		}
		_ = first.Close()
		synctest.Wait()
		third := l.dial()
		if status := roundTrip(t, third); status != http.StatusOK {
			t.Errorf("status %d after a connection was closed", status)
		}
		_ = third.Close()
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

const queryText = "GET /v1/lookup?service=passdesk&block=10.1.7.0/24 HTTP/1.1\r\nHost: x\r\n\r\n"

func roundTrip(t *testing.T, conn net.Conn) int {
	t.Helper()
	go func() { _, _ = io.WriteString(conn, queryText) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// Guards against a shutdown that aborts a query which has begun to arrive, and
// against one that a caller delays without bound by sending only part of a query.
func TestShutdownCompletesQueriesThatBegan(t *testing.T) {
	withServer(t, 10, func(l *pipeListener, stop func() error) {
		conn, stalled := l.dial(), l.dial()
		defer stalled.Close()
		_, _ = io.WriteString(stalled, "GET")
		_, _ = io.WriteString(conn, queryText[:20])
		stopped, began := make(chan error, 1), time.Now()
		go func() { stopped <- stop() }()
		time.Sleep(time.Second)
		go func() { _, _ = io.WriteString(conn, queryText[20:]) }()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("response %v, error %v", resp, err)
		}
		_ = conn.Close()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > shutdownTimeout {
			t.Errorf("the shutdown took %v", took)
		}
	})
}

// Guards against a stop that cuts a query which has begun to arrive on a kept connection.
func TestShutdownCompletesQueryOnKeptConnection(t *testing.T) {
	withServer(t, 10, func(l *pipeListener, stop func() error) {
		conn, idle := l.dial(), l.dial()
		for _, c := range []net.Conn{conn, idle} {
			if status := roundTrip(t, c); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
		_, _ = io.WriteString(conn, queryText[:20])
		synctest.Wait()
		stopped, began := make(chan error, 1), time.Now()
		go func() { stopped <- stop() }()
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("read on the idle connection: %v, want EOF", err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the idle connection was closed after %v", took)
		}
		time.Sleep(time.Second)
		go func() { _, _ = io.WriteString(conn, queryText[20:]) }()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("response %v, error %v", resp, err)
		}
		_ = conn.Close()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// FuzzParseQuery guards against a query on which parseQuery panics, and against
// one that it decodes differently from the standard library.
func FuzzParseQuery(f *testing.F) {
	for _, seed := range []string{
		"service=passdesk&block=10.1.7.0/24", "block=2001:db8::/48&service=a&x=y", "service=a%20b&block=10.0.0.1%2F8",
		"", "&&&", "service=&service=a", "block=10.0.0.0/33&service=a", "service=a;b&block=0.0.0.0/0", "service=%",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		q, refused := parseQuery(raw)
		if refused != nil {
			if refused.Code != result.BadRequest {
				t.Fatalf("code %v", refused.Code)
			}
			return
		}
		if !q.block.IsValid() || q.block != q.block.Masked() || q.block.Addr().Is4In6() || q.service == "" || len(raw) > maxQueryBytes {
			t.Fatalf("query %q gives %+v", raw, q)
		}
		want, err := url.ParseQuery(raw)
		if err == nil && want.Get("service") != "" && want.Get("service") != string(q.service) {
			t.Fatalf("service %q, net/url decodes %q", q.service, want.Get("service"))
		}
	})
}

// BenchmarkHandler measures a lookup through the handler without a network.
func BenchmarkHandler(b *testing.B) {
	h := NewHandler(testTableCache().current.Load)
	r := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=passdesk&block=10.1.7.0/24", nil)
	w := httptest.NewRecorder()
	b.ReportAllocs()
	for b.Loop() {
		w.Body.Reset()
		h.ServeHTTP(w, r)
	}
}
