package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

// Bounds of the site.
const (
	drainBound  = 2000 * time.Millisecond
	stableBound = 3000 * time.Millisecond
)

// playDrain: the store is down for a moment. When it has been back for more than
// stable-ms, a server leaves that never reports draining: its entry is removed, and
// it goes on serving for drain-ms and a little longer.
func playDrain(w *world) bool {
	w.zones = []string{"bagmati-a", "bagmati-b", "gandaki-a", "gandaki-b", "koshi-a", "koshi-b"}
	w.store = newStore()
	w.storeAddress = w.store.address()
	w.store.put("config", "main", config(7, "desk"))
	w.addServers("desk", 2, 4, 60*time.Millisecond)
	w.addHosts(1)
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	clients := w.traffic(ctx, 8)
	time.Sleep(6 * time.Second)
	const outage = 2 * time.Second
	if w.trouble {
		w.rec.note("the store is down (503 to every call) for %v", outage)
		w.store.setDown(true)
	}
	time.Sleep(outage)
	w.store.setDown(false)
	w.rec.note("the store is in service")
	time.Sleep(stableBound + 200*time.Millisecond)
	leaver := w.servers[0]
	removed := w.store.remove("servers", leaver.id)
	w.rec.note("server %s leaves: its entry is removed, confirmed by the store", leaver.id)
	const little = 700 * time.Millisecond
	time.Sleep(drainBound + little)
	leaver.end()
	w.rec.note("server %s has ended, %v after its entry was removed", leaver.id, time.Since(removed).Round(time.Millisecond))
	time.Sleep(3 * time.Second)
	stop()
	clients.Wait()
	return w.checkDrain(leaver, removed)
}

// traffic runs clients in every zone until ctx ends.
func (w *world) traffic(ctx context.Context, perZone int) *sync.WaitGroup {
	var clients sync.WaitGroup
	for _, zone := range w.zones {
		for range perZone {
			c := &client{world: w, region: regionOf(zone), zone: zone}
			clients.Go(func() {
				defer c.close()
				for ctx.Err() == nil {
					key := fmt.Sprint(rand.IntN(38))
					if rand.IntN(3) > 0 {
						c.send("GET", "/look/"+key, key, "", 2*time.Second)
					} else {
						c.send("POST", "/confirm/"+key, key, "pay "+newID(), 2500*time.Millisecond)
					}
					time.Sleep(time.Duration(50+rand.IntN(150)) * time.Millisecond)
				}
			})
		}
	}
	return &clients
}

func (w *world) checkDrain(leaver *server, removed time.Time) bool {
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	before, within, late, last := 0, 0, 0, time.Duration(0)
	for _, a := range w.rec.arrivals {
		if a.server != leaver {
			continue
		}
		switch after := a.at.Sub(removed); {
		case after < 0:
			before++
		case after <= drainBound:
			within++
		default:
			late++
			last = after
			w.rec.line("DRAIN: %s reached %s %v after the removal of its entry was confirmed (bound %v)", a.id, leaver.id, after.Round(time.Millisecond), drainBound)
		}
	}
	w.rec.line("== requests at %s: %d before its removal, %d within the bound, %d later, the last after %v; %d requests were cut off when it ended", leaver.id, before, within, late, last.Round(time.Millisecond), len(w.rec.cut))
	fmt.Printf("requests at the server that left: %d before, %d within %v, %d later; %d cut off\n", before, within, drainBound, late, len(w.rec.cut))
	if before == 0 {
		panic("the server had no requests")
	}
	return late == 0
}
