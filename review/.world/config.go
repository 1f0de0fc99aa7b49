package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

func init() { cases["config"] = playConfig }

const configBound = 2000 * time.Millisecond

// playConfig: the operator moves a route to another service. The store confirms
// that, and loses its answers to the watches that wait for it. It is sound again
// at once.
func playConfig(w *world) bool {
	w.zones = []string{"bagmati-a", "bagmati-b", "gandaki-a", "gandaki-b", "koshi-a", "koshi-b"}
	w.store = newStore()
	w.storeAddress = w.store.address()
	w.store.put("config", "main", config(7, "desk"))
	w.addServers("desk", 1, 4, 60*time.Millisecond)
	w.addServers("desk2", 1, 4, 60*time.Millisecond)
	w.addHosts(1)
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	clients := w.traffic(ctx, 4)
	time.Sleep(6 * time.Second)
	w.store.put("config", "main", config(9, "desk"))
	w.rec.note("version r9, with the same routes, confirmed by the store")
	time.Sleep(time.Second)
	w.store.count()
	w.store.setLosing("config", w.trouble)
	confirmed := w.store.put("config", "main", config(12, "desk2"))
	w.rec.note("version r12 moves /confirm/ from desk to desk2, confirmed by the store")
	const impaired = 100 * time.Millisecond
	time.Sleep(impaired)
	w.store.setLosing("config", false)
	sound := time.Now()
	time.Sleep(4500*time.Millisecond - impaired)
	answers, lost := w.store.count()
	w.rec.note("the store has lost %d answers, all within %v; it gave %d within 4.5 s", lost, impaired, answers)
	time.Sleep(6500 * time.Millisecond)
	stop()
	clients.Wait()
	return w.checkConfig(confirmed, sound.Add(stableBound))
}

// checkConfig counts the requests that were sent when the new version had to be in
// force, and that the old service ran.
func (w *world) checkConfig(confirmed, inTouch time.Time) bool {
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	due := confirmed.Add(configBound)
	if w.trouble && inTouch.After(due) {
		due = inTouch
	}
	before, right, stale, last := 0, 0, 0, time.Duration(0)
	for _, run := range w.rec.runs {
		if !strings.HasPrefix(w.rec.path[run.id], "/confirm/") {
			continue
		}
		sent := w.rec.sentAt[run.id]
		switch {
		case sent.Before(confirmed):
			before++
		case sent.After(due) && run.server.service == "desk":
			stale++
			last = sent.Sub(confirmed)
			w.rec.line("CONFIG: %s was sent %v after r12 was confirmed, and %s of the old service ran it", run.id, last.Round(time.Millisecond), run.server.id)
		case sent.After(due):
			right++
		}
	}
	w.rec.line("== purchases: %d sent before r12; of those sent %v and more after it %d run by the new service, %d by the old one, the last sent after %v",
		before, due.Sub(confirmed).Round(time.Millisecond), right, stale, last.Round(time.Millisecond))
	fmt.Printf("of the purchases sent %v or more after the confirmation: %d run by the new service, %d by the old one, the last sent %v after it\n",
		due.Sub(confirmed).Round(time.Millisecond), right, stale, last.Round(time.Millisecond))
	if before == 0 || right+stale == 0 {
		panic("there were no purchases")
	}
	return stale == 0
}
