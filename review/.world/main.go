// Command world plays one case of the review: it starts entry hosts as separate
// processes, and is their store, their backend servers and their clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is one small deployment.
type world struct {
	root, temp   string
	rec          *record
	store        *store
	storeAddress string
	zones        []string
	hosts        []*host
	servers      []*server
	hostName     string
	trouble      bool
}

var cases = map[string]func(w *world) bool{}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func regionOf(zone string) string { r, _, _ := strings.Cut(zone, "-"); return r }

func main() {
	os.Exit(play())
}

// play plays the case that the first argument names; the second is its folder.
func play() (code int) {
	code = exitNotRun
	root, err := filepath.Abs(".")
	check(err)
	temp, err := os.MkdirTemp("", "review")
	check(err)
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(temp)
	}
	w := &world{root: root, temp: temp, hostName: "book.example", trouble: os.Getenv("TROUBLE") != "0"}
	w.rec = newRecord(filepath.Join(os.Args[2], "record.txt"))
	defer w.rec.close()
	defer w.stopAll()
	go w.endEarly()
	defer func() {
		if cause := recover(); cause != nil {
			w.rec.note("the case could not run: %v", cause)
			fmt.Println("the case could not run:", cause)
			code = exitNotRun
		}
	}()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs in", temp)
	}
	if cases[os.Args[1]](w) {
		return exitHeld
	}
	return exitBroken
}

// timeLimit is how long a case may run.
const timeLimit = 119 * time.Second

// endEarly ends the hosts and this process on a signal or after timeLimit.
func (w *world) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(timeLimit):
	}
	w.killAll()
	os.Exit(exitNotRun)
}

// addHosts starts count hosts in each zone and waits until all are ready.
func (w *world) addHosts(count int) {
	for _, zone := range w.zones {
		for i := range count {
			w.hosts = append(w.hosts, &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, region: regionOf(zone), ip: loopbackNext()})
		}
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	end := time.Now().Add(20 * time.Second)
	for slices.ContainsFunc(w.hosts, func(h *host) bool { return !h.ready() }) {
		if time.Now().After(end) {
			panic("hosts did not become ready")
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.rec.note("all hosts are ready")
}

// addServers starts count servers of a service in each zone and registers them.
func (w *world) addServers(service string, count, slots int, work time.Duration) {
	for _, zone := range w.zones {
		for i := range count {
			s := newServer(w.rec, fmt.Sprintf("i-%s-%s-%d", service, zone, i+1), service, zone, slots, work)
			w.servers = append(w.servers, s)
			w.store.put("servers", s.id, s.entry("ready"))
		}
	}
}

// config is a config with a safe route to the service desk and an unsafe one to
// the given service.
func config(version int, confirms string) string {
	return fmt.Sprintf(`{"version":"r%d","routes":[
{"name":"r-look","host":"book.example","path-prefix":"/look/","kind":"safe","timeout-ms":2000,"target-latency-ms":250,"priority":0,"service":"desk","max-attempts":2,"sticky":true,"home-regions":[]},
{"name":"r-confirm","host":"book.example","path-prefix":"/confirm/","kind":"unsafe","timeout-ms":2500,"target-latency-ms":300,"priority":1,"service":%q,"max-attempts":2,"sticky":true,"home-regions":[]}],
"services":[{"name":"desk2","health-path":"/health","max-conns":660,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":6.9},{"name":"desk","health-path":"/health","max-conns":660,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":6.9}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, version, confirms)
}
