package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id     string
	server *server
	at     time.Time
}

// record is what clients and servers have seen, as written to record.txt.
type record struct {
	mu       sync.Mutex
	began    time.Time
	file     *os.File
	out      *bufio.Writer
	arrivals []arrival
	runs     []arrival
	sentAt   map[string]time.Time
	path     map[string]string
	status   map[string]int
	cut      map[string]bool
	// crashes has the times of the crashes that requests for a path caused.
	crashes map[string][]time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), cut: make(map[string]bool), crashes: make(map[string][]time.Time), sentAt: make(map[string]time.Time), path: make(map[string]string), status: make(map[string]int)}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("== "+format, args...)
}

func (r *record) sent(id, method, path, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt[id], r.path[id] = time.Now(), path
	r.line("client sends %s %s %s to %s", id, method, path, address)
}

func (r *record) answered(id string, status int, end string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status[id] = status
	r.line("client gets %d for %s, %s", status, id, end)
}

func (r *record) arrived(s *server, id string, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{id: id, server: s, at: time.Now()})
	r.line("server %s receives %s %s %s", s.id, id, req.Method, req.RequestURI)
}

func (r *record) ran(s *server, id string, _ *http.Request, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, arrival{id: id, server: s, at: time.Now()})
	r.line("server %s runs %s", s.id, id)
}

func (r *record) completed(s *server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("server %s has run %s", s.id, id)
}

func (r *record) cutOff(s *server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[id] = true
	r.line("server %s ended while it ran %s", s.id, id)
}

func (r *record) crashed(s *server, id, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes[path] = append(r.crashes[path], time.Now())
	r.line("server %s crashes as it runs %s %s", s.id, id, path)
}
