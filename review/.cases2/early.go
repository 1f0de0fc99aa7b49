package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// uploadConfig has an upload route.
const uploadConfig = `{"version":"r7","routes":[
{"name":"r-logs","host":"shop.example","path-prefix":"/logs/","kind":"upload","timeout-ms":4000,"target-latency-ms":600,"priority":1,"service":"desk","max-attempts":2,"sticky":false,"home-regions":[]}],
"services":[{"name":"desk","health-path":"/health","max-conns":660,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":6.9}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

const (
	uploadBytes = 16 << 20 // a quarter of max-body-bytes
	firstBytes  = 64 << 10 // that the server has read when it answers
	readOnAfter = 50 * time.Millisecond
	uploads     = 5
)

// earlyServer answers an upload before it has read the whole body, keeps the
// connection and reads on later. If early isn't set, it reads the whole body first.
type earlyServer struct {
	id       string
	early    bool
	record   *record
	listener net.Listener

	mu       sync.Mutex
	received map[string]received
	done     sync.WaitGroup
}

type received struct {
	bytes int64
	sum   [sha256.Size]byte
	err   error
}

func newEarlyServer(rec *record, id string, early bool) (*earlyServer, error) {
	l, err := net.Listen("tcp4", loopback()+":0")
	if err != nil {
		return nil, err
	}
	s := &earlyServer{id: id, early: early, record: rec, listener: l, received: make(map[string]received)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10) // links have small windows
			s.done.Go(func() { s.serve(conn) })
		}
	}()
	return s, nil
}

func (s *earlyServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if id == "" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		hash := sha256.New()
		n, err := io.CopyN(hash, r.Body, firstBytes)
		s.record.add("request %s reaches %s and runs; it has read %d of %d bytes", id, s.id, n, r.ContentLength)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig.%s\r\nContent-Length: 2\r\n\r\nok", id, id)
		if s.early && err == nil {
			_, _ = io.WriteString(conn, answer)
			s.record.add("%s answers %s with 200, keeps the connection and reads on %v later", s.id, id, readOnAfter)
			time.Sleep(readOnAfter)
		}
		rest, err := io.Copy(hash, r.Body)
		if !s.early && err == nil {
			_, _ = io.WriteString(conn, answer)
		}
		got := received{bytes: n + rest, err: err}
		copy(got.sum[:], hash.Sum(nil))
		s.mu.Lock()
		s.received[id] = got
		s.mu.Unlock()
		s.record.add("%s has read %d of %d bytes of %s: %v", s.id, got.bytes, r.ContentLength, id, err)
		if err != nil {
			return
		}
	}
}

// uploadAnsweredEarly: a server answers uploads before it has read them whole.
func uploadAnsweredEarly(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, "east-a", "east-b")
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("config", "main", uploadConfig)
	s, err := newEarlyServer(rec, "i-1", trouble)
	if err != nil {
		return false, err
	}
	f.store.put("servers", s.id, fmt.Sprintf(`{"address":%q,"info":{"service":"desk","version":"v1","zone":"east-a","slots":4},"status":{"state":"ready","seq":1,"cold-left-ms":0},"born":%d}`, s.listener.Addr(), time.Now().UnixMilli()))
	if err := f.addHosts("east-a", "east-b"); err != nil {
		return false, err
	}
	body := make([]byte, uploadBytes)
	for i := range body {
		body[i] = 'a' + byte(rand.IntN(26))
	}
	whole := sha256.Sum256(body)
	accepted := 0
	var ids []string
	for range uploads {
		id := newID()
		got := f.send(f.hosts[0].at(f.hosts[0].ports.front), http.MethodPost, "/logs/x", id, "", string(body), 4*time.Second)
		if got.err == nil && got.status == http.StatusOK && got.signature == "sig."+id {
			accepted++
			ids = append(ids, id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if accepted == 0 {
		return false, errors.New("no upload was accepted")
	}
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for _, id := range ids {
		if got, ok := s.received[id]; !ok || got.sum != whole {
			lost++
			rec.add("LOST: the client got the server's 200 for %s, whose run got %d of %d bytes (%v)", id, got.bytes, uploadBytes, got.err)
		}
	}
	rec.add("%d of %d uploads were answered with the server's 200; of %d of these the server got another body", accepted, uploads, lost)
	return lost > 0, nil
}
