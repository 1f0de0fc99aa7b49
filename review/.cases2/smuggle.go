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

// smuggledInBody: a client sends one unsafe request whose body holds the text of
// another request. The name of the header with the length of the body is followed by
// a space.
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
	name := "Content-Length"
	if trouble {
		name += " "
	}
	inner := newID()
	body := fmt.Sprintf("POST /buy/stolen HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", inner)
	outer := newID()
	request := fmt.Sprintf("POST /buy/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n%s: %d\r\n\r\n%s", outer, name, len(body), body)
	h := f.hosts[0]
	conn, err := net.Dial("tcp4", h.at(h.ports.front))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	rec.add("client sends one request %s, whose body holds the text of request %s:\n%s", outer, inner, strings.ReplaceAll(request, "\r\n", "\n"))
	if _, err := io.WriteString(conn, request); err != nil {
		return false, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			rec.add("no further answer: %v", err)
			break
		}
		text, _ := io.ReadAll(resp.Body)
		rec.add("answer %d: %s %q", n, resp.Status, text)
	}
	return len(visits.of(inner)) > 0, nil
}

// shopConfig has a safe and an unsafe route to one service.
const shopConfig = `{"version":"r7","routes":[
{"name":"r-read","host":"shop.example","path-prefix":"/read/","kind":"safe","timeout-ms":2000,"target-latency-ms":250,"priority":0,"service":"desk","max-attempts":2,"sticky":true,"home-regions":[]},
{"name":"r-buy","host":"shop.example","path-prefix":"/buy/","kind":"unsafe","timeout-ms":2500,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2,"sticky":true,"home-regions":[]}],
"services":[{"name":"desk","health-path":"/health","max-conns":660,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":6.9}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
