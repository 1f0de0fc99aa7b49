package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// visitConfig has an unsafe route and, below its prefix, a safe one.
const visitConfig = `{"version":"r7","routes":[
{"name":"r-visits","host":"shop.example","path-prefix":"/visits/","kind":"unsafe","timeout-ms":2500,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2,"sticky":false,"home-regions":[]},
{"name":"r-slots","host":"shop.example","path-prefix":"/visits/slots/","kind":"safe","timeout-ms":2000,"target-latency-ms":250,"priority":0,"service":"desk","max-attempts":2,"sticky":false,"home-regions":[]}],
"services":[{"name":"desk","health-path":"/health","max-conns":660,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":6.9}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

const (
	desks       = 5
	losingDesks = 3 // 0.6 of the servers
	visitCount  = 40
	// Of each losingEvery runs of such a server, the answers of losingRuns are lost: 0.4.
	losingRuns, losingEvery = 2, 5
)

// encodedSlash: clients send unsafe requests whose path has an encoded slash, while
// servers lose some of their answers. Without the trouble, no answer is lost.
func encodedSlash(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, "east-a", "east-b")
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("config", "main", visitConfig)
	visits := &ledger{}
	for i := range desks {
		b, err := newBackend(rec, visits, fmt.Sprintf("i-%d", i+1), "desk", f.zones[i%2], 4, func(*http.Request) time.Duration { return 40 * time.Millisecond })
		if err != nil {
			return false, err
		}
		if trouble && i < losingDesks {
			var runs atomic.Int64
			b.losesAnswer = func() bool { return runs.Add(1)%losingEvery < losingRuns }
		}
		f.store.register(b, "ready", 0)
	}
	if err := f.addHosts("east-a", "east-b"); err != nil {
		return false, err
	}
	// A path of the unsafe route: "/visits/slots/" does not begin it. The plain ones
	// show that the hosts send other paths of that route once only.
	encoded, plain := f.sendVisits("/visits/slots%2F"), f.sendVisits("/visits/slots-")
	time.Sleep(500 * time.Millisecond)
	twice := visits.countRepeated(rec, encoded)
	twicePlain := visits.countRepeated(rec, plain)
	rec.add("%d of %d unsafe requests with an encoded slash ran more than once, %d of %d others", twice, len(encoded), twicePlain, len(plain))
	if visits.runs() == 0 {
		return false, errors.New("no request has run")
	}
	return twice+twicePlain > 0, nil
}

// sendVisits sends unsafe requests, one after the other, and returns their IDs.
func (f *fleet) sendVisits(prefix string) (ids []string) {
	for i := range visitCount {
		h := f.hosts[i%len(f.hosts)]
		id := newID()
		f.send(h.at(h.ports.front), http.MethodPost, fmt.Sprintf("%s%d", prefix, i), id, "", "one visit", 2500*time.Millisecond)
		ids = append(ids, id)
	}
	return ids
}

// countRepeated returns how many of the requests have run more than once.
func (l *ledger) countRepeated(rec *record, ids []string) int {
	repeated := 0
	for _, id := range ids {
		var ranAt []string
		for _, v := range l.of(id) {
			if v.ran {
				ranAt = append(ranAt, v.server)
			}
		}
		if len(ranAt) > 1 {
			repeated++
			rec.add("TWICE: request %s has run at %v", id, ranAt)
		}
	}
	return repeated
}

// runs returns the number of runs at all servers.
func (l *ledger) runs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, v := range l.visits {
		if v.ran {
			n++
		}
	}
	return n
}
