package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// shopConfig has a safe and an unsafe route to one service.
const shopConfig = `{"version":"r7","routes":[
{"name":"r-read","host":"shop.example","path-prefix":"/read/","kind":"safe","timeout-ms":2000,"target-latency-ms":250,"priority":0,"service":"desk","max-attempts":2,"sticky":true,"home-regions":[]},
{"name":"r-buy","host":"shop.example","path-prefix":"/buy/","kind":"unsafe","timeout-ms":2500,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2,"sticky":true,"home-regions":[]}],
"services":[{"name":"desk","health-path":"/health","max-conns":660,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":6.9}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// outerRequest is an unsafe request whose body holds the text of another one.
type outerRequest struct {
	name, framing string
	// prefix stands before the text of the inner request in the body.
	prefix string
}

// smuggling are the outer requests, and ordinary what is sent without the trouble. In
// the framings, %d is the length of the whole body.
var (
	smuggling = []outerRequest{
		{name: "a space follows the name of the length", framing: "Content-Length : %d\r\n"},
		{name: "a length and chunks that end before it", framing: "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", prefix: "0\r\n\r\n"},
	}
	ordinary = []outerRequest{
		{name: "a length", framing: "Content-Length: %d\r\n"},
	}
)

// smuggledInBody: a client sends unsafe requests, each on a connection of its own,
// whose bodies hold the text of another request.
func smuggledInBody(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, "east-a", "east-b")
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("config", "main", shopConfig)
	visits := &ledger{}
	b, err := newBackend(rec, visits, "i-1", "desk", "east-a", 4, func(*http.Request) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return false, err
	}
	f.store.register(b, "ready", 0)
	if err := f.addHosts("east-a", "east-b"); err != nil {
		return false, err
	}
	sent := ordinary
	if trouble {
		sent = smuggling
	}
	broken := false
	for _, outer := range sent {
		inner, err := f.sendWithInner(outer)
		if err != nil {
			return false, err
		}
		if ran := len(visits.of(inner)) > 0; ran {
			broken = true
			rec.add("SMUGGLED: request %s, which was sent inside another one, has run", inner)
		}
	}
	return broken, nil
}

// sendWithInner sends a request and returns the ID of the one in its body.
func (f *fleet) sendWithInner(outer outerRequest) (inner string, err error) {
	inner = newID()
	body := outer.prefix + fmt.Sprintf("POST /buy/inner HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", inner)
	id := newID()
	request := fmt.Sprintf("POST /buy/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n%s\r\n%s",
		id, fmt.Sprintf(outer.framing, len(body)), body)
	h := f.hosts[0]
	conn, err := net.Dial("tcp4", h.at(h.ports.front))
	if err != nil {
		return inner, err
	}
	defer conn.Close()
	f.record.add("client sends one request %s (%s), whose body holds the text of request %s:\n%s", id, outer.name, inner, strings.ReplaceAll(request, "\r\n", "\n"))
	if _, err := io.WriteString(conn, request); err != nil {
		return inner, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			f.record.add("no further answer: %v", err)
			return inner, nil
		}
		text, _ := io.ReadAll(resp.Body)
		f.record.add("answer %d: %s, Connection %q, %q", n, resp.Status, resp.Header.Get("Connection"), text)
	}
}
