package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a backend server: it runs a bounded number of requests at a time,
// queues a few more and rejects the others.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	listener          net.Listener
	record            *record

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	running  int
	waiting  int
	free     chan struct{}
	leaving  bool
	ended    bool
	bornAtMs int64
	// crashes, if set, reports whether a request crashes the server.
	crashes func(*http.Request) bool
	// restarted is called when the server is back after a crash.
	restarted func(*server)
}

const queuePerSlot = 3

func newServer(rec *record, id, service, zone string, slots int, work time.Duration) *server {
	s := &server{id: id, service: service, zone: zone, slots: slots, work: work, record: rec,
		conns: make(map[net.Conn]struct{}), free: make(chan struct{}, slots), bornAtMs: time.Now().UnixMilli()}
	s.listener = mustListen(loopbackNext() + ":0")
	go s.accept()
	return s
}

func (s *server) entry(state string) string {
	return fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":1,"cold-left-ms":0},"born":%d}`,
		s.listener.Addr(), s.service, s.zone, s.slots, state, s.bornAtMs)
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.serve(conn)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// end ends the server's process: its listener and its connections close.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.answer(conn, req, string(body)) {
			return
		}
	}
}

func (s *server) load() string { return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots) }

// answer runs one request or rejects it. It reports whether the connection stays
// open.
func (s *server) answer(conn net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	leaving, load := s.leaving, s.load()
	s.mu.Unlock()
	if req.URL.Path == "/health" {
		status := "200 OK"
		if leaving {
			status = "503 Service Unavailable"
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", status, s.id, load)
		return true
	}
	s.record.arrived(s, id, req)
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return true
	}
	if id == "" || !s.enter() {
		status := "503 Service Unavailable"
		if id == "" {
			status = "400 Bad Request"
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", status, id, load)
		return true
	}
	s.record.ran(s, id, req, body)
	if s.crashes != nil && s.crashes(req) {
		s.record.crashed(s, id, req.URL.Path)
		s.leave()
		s.crash()
		return false
	}
	time.Sleep(s.work)
	s.leave()
	s.mu.Lock()
	ended, load := s.ended, s.load()
	s.mu.Unlock()
	if ended {
		s.record.cutOff(s, id)
		return false
	}
	s.record.completed(s, id)
	text := "done " + id + " " + req.URL.Path + strings.Repeat(".", 200)
	closing := ""
	if leaving {
		closing = "Connection: close\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nX-Server-Load: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
		id, id, load, closing, len(text), text)
	return !leaving
}

// enter waits for a slot, or reports false if the queue is full.
func (s *server) enter() bool {
	s.mu.Lock()
	if s.waiting >= queuePerSlot*s.slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.free <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.running++
	s.mu.Unlock()
	return true
}

func (s *server) leave() {
	<-s.free
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
}

// crashTime is how long a server is away after a crash.
const crashTime = 3 * time.Second

// crash ends the server's process. It is back after crashTime under its id and
// address.
func (s *server) crash() {
	address := s.listener.Addr().String()
	s.end()
	time.AfterFunc(crashTime, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return // it stays away
		}
		s.mu.Lock()
		s.listener = listener
		s.ended = false
		s.bornAtMs = time.Now().UnixMilli()
		s.mu.Unlock()
		go s.accept()
		s.restarted(s)
	})
}
