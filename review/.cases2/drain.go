package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime  = 2000 * time.Millisecond // drain-ms
	stableTime = 3000 * time.Millisecond // stable-ms
)

// shopConfig has a safe and an unsafe route to one service.
const shopConfig = `{"version":"r7","routes":[
{"name":"r-read","host":"shop.example","path-prefix":"/read/","kind":"safe","timeout-ms":2000,"target-latency-ms":250,"priority":0,"service":"desk","max-attempts":2,"sticky":true,"home-regions":[]},
{"name":"r-buy","host":"shop.example","path-prefix":"/buy/","kind":"unsafe","timeout-ms":2500,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2,"sticky":true,"home-regions":[]}],
"services":[{"name":"desk","health-path":"/health","max-conns":660,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":6.9}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// drainAfterOutage: the store resets connections for 2.5 s. Later than stable-ms
// after its return, a server leaves by the removal of its entry.
func drainAfterOutage(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, "east-a", "east-b")
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("config", "main", shopConfig)
	visits := &ledger{}
	work := func(*http.Request) time.Duration { return 200 * time.Millisecond }
	var servers []*backend
	for i, zone := range []string{"east-a", "east-b", "east-a", "east-b"} {
		b, err := newBackend(rec, visits, fmt.Sprintf("i-%d", i+1), "desk", zone, 4, work)
		if err != nil {
			return false, err
		}
		servers = append(servers, b)
		f.store.register(b, "ready", 0)
	}
	if err := f.addHosts("east-a", "east-b"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() { f.shop(n, stop) })
	}
	time.Sleep(6 * time.Second)
	if trouble {
		rec.add("the store is down: it resets its connections")
		f.store.setDown(true)
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		rec.add("the store is back")
		f.store.setDown(false)
	}
	time.Sleep(stableTime + 300*time.Millisecond)
	leaving := servers[0]
	removed := time.Now()
	f.store.remove("servers", leaving.id)
	rec.add("the entry of %s is removed, which the store confirms", leaving.id)
	leaving.leaving.Store(true)
	time.Sleep(drainTime + 400*time.Millisecond)
	leaving.exit()
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return judgeDrain(rec, visits, leaving.id, removed)
}

// shop sends requests one after the other, until stop is closed.
func (f *fleet) shop(n int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		addresses, err := f.hosts[(n+i)%len(f.hosts)].resolve("shop.example", f.zones[n%len(f.zones)])
		if err != nil || len(addresses) == 0 {
			continue
		}
		address, object := addresses[i%len(addresses)], fmt.Sprint((n*7+i)%24)
		if i%3 == 0 {
			f.send(address, http.MethodPost, "/buy/x", newID(), object, "one visit", 2500*time.Millisecond)
		} else {
			f.send(address, http.MethodGet, "/read/x", newID(), object, "", 2*time.Second)
		}
	}
}

func judgeDrain(rec *record, visits *ledger, leaving string, removed time.Time) (bool, error) {
	visits.mu.Lock()
	defer visits.mu.Unlock()
	before, late, cut := 0, 0, 0
	for _, v := range visits.visits {
		if v.server != leaving {
			continue
		}
		after := v.reached.Sub(removed)
		if after < 0 {
			before++
		}
		if after > drainTime {
			late++
			rec.add("LATE: request %s (%s %s) reached %s %d ms after its removal (bound %d ms)", v.id, v.method, v.target, leaving, after.Milliseconds(), drainTime.Milliseconds())
		}
		if v.broken && v.method == http.MethodPost && after > 0 {
			cut++
			rec.add("CUT: the unsafe request %s, sent to %s %d ms after its removal, was cut by its exit", v.id, leaving, after.Milliseconds())
		}
	}
	rec.add("%d requests reached %s before its removal, %d later than drain-ms after it, %d unsafe ones were cut by its exit", before, leaving, late, cut)
	if before == 0 {
		return false, errors.New("the server got no requests before")
	}
	return late > 0, nil
}
