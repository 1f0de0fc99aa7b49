package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"math/rand/v2"
)

// result is what a client saw of one attempt.
type result struct {
	id     string
	status int
	// end says how the attempt ended if there was no whole answer.
	end string
}

var attempts atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// resolve asks the directories in order, the nearest first.
func (w *world) resolve(region, zone string) []string {
	hosts := slices.Clone(w.hosts)
	slices.SortStableFunc(hosts, func(a, b *host) int { return distance(a, region, zone) - distance(b, region, zone) })
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range hosts[:min(len(hosts), 3)] {
		resp, err := client.Get("http://" + h.directory() + "/wisteriacrank/resolve?name=" + w.hostName + "&region=" + region + "&zone=" + zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl-s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

func distance(h *host, region, zone string) int {
	switch {
	case h.zone == zone:
		return 0
	case h.region == region:
		return 1
	}
	return 2
}

// client is one client with a connection that it keeps.
type client struct {
	world        *world
	region, zone string
	addresses    []string
	asked        time.Time
	address      string
	conn         net.Conn
	reader       *bufio.Reader
}

// connect returns with an open connection to an address of the directory's
// latest answer, or reports false.
func (c *client) connect() bool {
	if time.Since(c.asked) > time.Second {
		if found := c.world.resolve(c.region, c.zone); found != nil {
			c.addresses, c.asked = found, time.Now()
		}
	}
	if c.conn != nil && slices.Contains(c.addresses, c.address) {
		return true
	}
	c.close()
	if len(c.addresses) == 0 {
		return false
	}
	c.address = c.addresses[rand.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one attempt and reads its answer.
func (c *client) send(method, path, key, body string, limit time.Duration) result {
	id := newID()
	rec := c.world.rec
	if !c.connect() {
		return result{id: id, end: "no connection"}
	}
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	rec.sent(id, method, path, c.address)
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nCookie: X-Affinity-Key=%s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
		method, path, c.world.hostName, id, key, limit.Milliseconds(), length, body)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		rec.answered(id, 0, err.Error())
		return result{id: id, end: err.Error()}
	}
	_, err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.close()
		rec.answered(id, resp.StatusCode, err.Error())
		return result{id: id, end: err.Error()}
	}
	if resp.Close {
		c.close()
	}
	rec.answered(id, resp.StatusCode, "whole")
	return result{id: id, status: resp.StatusCode}
}
