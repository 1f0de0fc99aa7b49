package backend

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// long is far above every timeout of the package, so that no deadline decides
// a test that is not about deadlines.
const long = time.Minute

func startBackend(t *testing.T, cfg standin.BackendConfig) (*standin.BackendProcess, *Server) {
	t.Helper()
	cfg.Name, cfg.Slots = "s", 100
	process, err := standin.StartBackend(cfg)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(document.Server{Name: "s", Address: process.Address(), Slots: 100, Connections: 100})
	t.Cleanup(func() { server.Close(); process.Kill() })
	return process, server
}

func request(id string, idempotent bool) Request {
	return Request{ID: id, Path: "run", Idempotent: idempotent, Deadline: time.Now().Add(long), Body: []byte("body of " + id)}
}

func runsOf(b *standin.Backend, id string) int {
	count := 0
	for _, run := range b.Runs() {
		if run.RequestID == id {
			count++
		}
	}
	return count
}

// prime opens a connection and gets a response on it.
func prime(t *testing.T, s *Server) {
	t.Helper()
	if got := s.Do(t.Context(), request("prime", true), long); got.Code != result.Served {
		t.Fatalf("prime: %+v", got)
	}
}

// Guards against a replay by the HTTP library, which resends a request if the
// server runs it on a reused connection and closes that without a response.
func TestHTTPLibraryReplaysAndDoDoesNot(t *testing.T) {
	plain := map[string]func(*http.Request){
		"no body, Idempotency-Key": func(r *http.Request) {
			r.Body, r.GetBody, r.ContentLength = nil, nil, 0
			r.Header.Set("Idempotency-Key", "k")
		},
		"GetBody, Idempotency-Key": func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") },
		"no body, GET":             func(r *http.Request) { r.Method, r.Body, r.GetBody, r.ContentLength = "GET", nil, nil, 0 },
	}
	for name, prepare := range plain {
		address, runs := startRunAndClose(t)
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/run", bytes.NewReader([]byte("body")))
			prepare(req)
			if resp, err := client.Do(req); err == nil {
				resp.Body.Close()
			}
		}
		if got := runs(); got != 3 {
			t.Errorf("plain client, %s: %d runs of two requests, want 3 (one replay)", name, got)
		}
	}
	for name, body := range map[string][]byte{"no body": nil, "with body": []byte("body")} {
		address, runs := startRunAndClose(t)
		server := NewServer(document.Server{Name: "s", Address: address, Connections: 10})
		for i, want := range []result.Code{result.Served, result.ConnectionLost} {
			req := request("same", false)
			req.Body = body
			if got := server.Do(t.Context(), req, long); got.Code != want {
				t.Errorf("Do %d, %s: %v, want %v", i, name, got.Code, want)
			}
		}
		if got := runs(); got != 2 {
			t.Errorf("Do, %s: %d runs of two requests, want 2", name, got)
		}
		server.Close()
	}
}

// startRunAndClose starts a server that responds to its first run and closes
// the connection of each later one without a response. runs counts all.
func startRunAndClose(t *testing.T) (address string, runs func() int) {
	t.Helper()
	var mu sync.Mutex
	count := 0
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			fmt.Fprint(w, `{"state":"ok"}`)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if count++; count > 1 || r.Header.Get("Idempotency-Key") != "" && r.Header.Get(HeaderRequestID) != "" {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), func() int { mu.Lock(); defer mu.Unlock(); return count }
}

// Guards against a result code that is wrong about whether the request ran,
// checked against the server's own record, and against forwarding an incomplete
// or mismatched response.
func TestEachFaultHasItsCode(t *testing.T) {
	cases := []struct {
		name string
		set  func(*standin.BackendProcess)
		want result.Code
		runs int
	}{
		{"refused connection", func(p *standin.BackendProcess) { p.Kill() }, result.ConnectFailed, 0},
		{"shed", func(p *standin.BackendProcess) { p.SetFaults(standin.BackendFaults{Shed: true}) }, result.ServerShed, 0},
		{"dropped", fault(standin.RequestDropped), result.ConnectionLost, 0},
		{"lost", fault(standin.ResponseLost), result.ConnectionLost, 1},
		{"truncated", fault(standin.ResponseTruncated), result.AnswerTruncated, 1},
		{"response to another request", fault(standin.ResponseMismatched), result.AnswerTruncated, 1},
		{"duplicated", fault(standin.ResponseDuplicated), result.Served, 1},
	}
	for _, c := range cases {
		process, server := startBackend(t, standin.BackendConfig{})
		c.set(process)
		got := server.Do(t.Context(), request("r", false), long)
		if got.Code != c.want || (got.Code != result.Served) == (got.Body != nil) {
			t.Errorf("%s: %v %q, want %v", c.name, got.Code, got.Body, c.want)
		}
		if runs := runsOf(process.Backend, "r"); runs != c.runs {
			t.Errorf("%s: %d runs, want %d", c.name, runs, c.runs)
		}
		process.SetFaults(standin.BackendFaults{})
		if err := process.Restart(); err != nil {
			t.Fatal(err)
		}
		next := server.Do(t.Context(), request("next", false), long)
		if c.name == "duplicated" && next.Code == result.AnswerTruncated && next.Body == nil {
			// The duplicate arrived after the next request was sent on the
			// connection; the check of the request ID refuses it.
			next = server.Do(t.Context(), request("next", false), long)
		}
		if want := standin.ResponseBody("s", "next", "/run", []byte("body of next")); string(next.Body) != want {
			t.Errorf("after %s: %v %q, want %q", c.name, next.Code, next.Body, want)
		}
	}
}

func fault(f standin.ResponseFault) func(*standin.BackendProcess) {
	return func(p *standin.BackendProcess) { p.SetFaults(standin.BackendFaults{Response: f}) }
}

// Guards against a response without a declared length, whose truncation cannot
// be detected.
func TestAnswerWithoutLengthIsNotPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r\r\nConnection: close\r\n\r\nhalf of the ans", HeaderRequestID)
		conn.Close()
	}()
	server := NewServer(document.Server{Name: "s", Address: listener.Addr().String(), Connections: 1})
	if got := server.Do(t.Context(), request("r", true), long); got.Code != result.AnswerTruncated {
		t.Errorf("%+v, want %v", got, result.AnswerTruncated)
	}
}

// unclosableConn is a connection whose Close has no effect, as for a write that
// has already passed the library's check for a closed connection.
type unclosableConn struct{ net.Conn }

func (unclosableConn) Write(p []byte) (int, error) { return len(p), nil }
func (unclosableConn) Close() error                { return nil }

// Guards against a write after the request was found not to have run.
func TestNoWriteAfterSeal(t *testing.T) {
	conn := &trackedConn{Conn: unclosableConn{}}
	if conn.seal() != 0 {
		t.Error("bytes written before the first write")
	}
	if n, err := conn.Write([]byte("request")); n != 0 || err == nil {
		t.Errorf("%d bytes written after seal, error %v", n, err)
	}
}

// Guards against a request that is reported as not run and did run. Requests
// are cancelled at random moments before, during and after their write; the HTTP
// library may write after its call returned.
func TestNotRunIsTrueUnderCancellation(t *testing.T) {
	process, server := startBackend(t, standin.BackendConfig{})
	random := rand.New(rand.NewSource(1))
	codes := map[result.Code]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range 4000 {
		wait := time.Duration(random.Intn(300)) * time.Microsecond
		id := fmt.Sprint(i)
		group.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			time.AfterFunc(wait, cancel)
			got := server.Do(ctx, request(id, true), long)
			mu.Lock()
			defer mu.Unlock()
			codes[got.Code]++
			if got.Code.Class() == result.ClassNotRun && got.Code != result.ServerShed {
				t.Cleanup(func() {
					if runsOf(process.Backend, id) != 0 {
						t.Errorf("request %s: %v %s, but it ran", id, got.Code, got.Detail)
					}
				})
			}
		})
		if i%20 == 0 {
			group.Wait()
		}
	}
	group.Wait()
	t.Log(codes)
}
