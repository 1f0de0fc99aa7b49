package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = playCrash }

const crashPath = "/confirm/crash-"

// playCrash: four purchases crash each server that begins to run them. Each is sent
// to one host after the other, one in each region, and comes again at one host every
// 27 s.
func playCrash(w *world) bool {
	w.zones = []string{"bagmati-a", "gandaki-a", "koshi-a"}
	w.store = newStore()
	w.storeAddress = w.store.address()
	w.store.put("config", "main", config(7, "desk"))
	w.addServers("desk", 8, 4, 60*time.Millisecond)
	for _, s := range w.servers {
		s.crashes = func(r *http.Request) bool { return w.trouble && strings.HasPrefix(r.URL.Path, crashPath) }
		s.restarted = func(s *server) { w.store.put("servers", s.id, s.entry("ready")) }
	}
	w.addHosts(1)
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	clients := w.traffic(ctx, 3)
	time.Sleep(time.Second)
	const contents = 4
	var callers sync.WaitGroup
	for n := range contents {
		callers.Go(func() { w.sendCrashing(n) })
		time.Sleep(500 * time.Millisecond)
	}
	callers.Wait()
	stop()
	clients.Wait()
	return w.checkCrashes()
}

func (w *world) sendCrashing(n int) {
	path, body := fmt.Sprint(crashPath, n), fmt.Sprint("pay ", n)
	send := func(h *host) {
		c := &client{world: w, addresses: []string{h.front()}, asked: time.Now().Add(time.Hour), region: h.region, zone: h.zone}
		c.send("POST", path, fmt.Sprint("crash-", n), body, 2500*time.Millisecond)
		c.close()
	}
	for _, h := range w.hosts {
		send(h)
	}
	const again, pause = 4, 27 * time.Second
	for range again {
		time.Sleep(pause)
		send(w.hosts[0])
	}
}

// checkCrashes counts, for each content, how often it reached a server later than
// stable-ms after it had crashed the third.
func (w *world) checkCrashes() bool {
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	const allowed, third = 3, 2
	held := true
	for path, crashes := range w.rec.crashes {
		late := 0
		for _, at := range crashes {
			if len(crashes) > third && at.After(crashes[third].Add(stableBound)) {
				late++
			}
		}
		fmt.Println(path, "crashed", len(crashes), "servers,", late, "of them later than stable-ms after the third;", len(w.rec.cut), "other requests cut off")
		if late > allowed {
			held = false
			w.rec.line("BUDGET: %s reached servers in %d retries later than stable-ms after it had crashed the third (%d allowed)", path, late, allowed)
		}
	}
	return held
}
