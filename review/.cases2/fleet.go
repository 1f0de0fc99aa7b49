// Program cases2 plays the scripts of the review: it starts hosts with the program of
// the deploy file as separate processes, and has stand-ins for the store, the servers
// and the clients of the users' wire.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// loopback returns a random loopback address.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
}

// Ports of the hosts. All hosts have the same ones, at addresses of their own.
type ports struct{ front, ready, directory, control, metrics int }

type host struct {
	id, zone, ip string
	ports        ports
	settings     string
	fleet        *fleet
	cmd          *exec.Cmd
	exited       chan struct{}
}

// fleet is a small deployment.
type fleet struct {
	record  *record
	folder  string
	program string
	store   *store
	zones   []string // the region of "x-a" is "x"
	hosts   []*host
	bounds  string
}

func region(zone string) string { return zone[:strings.LastIndex(zone, "-")] }

// bounds of the site dhuwaa-book.
const bounds = `seed-staleness-s = 3
addr-reuse-s = 2
stable-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 116
cold-over = 1.5
cold-slack = 5
evacuate-ms = 5000
recovery-s = 15
ttl_max_s = 5
max-shift = 0.15
`

func newFleet(rec *record, zones ...string) (*fleet, error) {
	program, err := filepath.Abs(filepath.Join(root(), "target/wisteria-host"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program of the deploy file isn't built: %w", err)
	}
	folder, err := os.MkdirTemp("", "cases2")
	if err != nil {
		return nil, err
	}
	s, err := newStore(loopback())
	if err != nil {
		return nil, err
	}
	return &fleet{record: rec, folder: folder, program: program, store: s, zones: zones, bounds: bounds}, nil
}

// root is the root of the repository: the program is started in a folder of a case.
func root() string { return "../.." }

func free(ip string, p ports) bool {
	for _, port := range []int{p.front, p.ready, p.directory, p.control, p.metrics} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addHosts starts a host in each of the zones.
func (f *fleet) addHosts(zones ...string) error {
	base := 20000 + rand.IntN(10000)
	p := ports{base, base + 1, base + 2, base + 3, base + 4}
	for i, zone := range zones {
		h := &host{id: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: loopback(), ports: p, fleet: f}
		for n := 0; !free(h.ip, p); n++ {
			if n == 20 {
				return errors.New("no free ports")
			}
			h.ip = loopback()
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := h.writeSettings(); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(10 * time.Second)
}

func (f *fleet) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(f.hosts) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(f.hosts))
		}
	}
}

func (h *host) at(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.at(h.ports.ready) + "/wisteriacrank/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeSettings fills in the deploy file's template.
func (h *host) writeSettings() error {
	f := h.fleet
	template, err := os.ReadFile(filepath.Join(root(), "deploy/host.ini.tmpl"))
	if err != nil {
		return err
	}
	var domains, seeds []string
	for _, z := range f.zones {
		domains = append(domains, z+" = "+region(z)+"\n")
	}
	for _, peer := range f.hosts[:min(3, len(f.hosts))] {
		seeds = append(seeds, peer.at(peer.ports.control))
	}
	const each = "{{@}} = {{.}}\n"
	text := strings.NewReplacer("{{node}}", h.id, "{{region}}", region(h.zone), "{{zone}}", h.zone, "{{ip}}:9102", h.at(h.ports.metrics),
		"{{listen.front}}", h.at(h.ports.front), "{{listen.ready}}", h.at(h.ports.ready), "{{listen.directory}}", h.at(h.ports.directory),
		"{{listen.control}}", h.at(h.ports.control), "{{platform.address}}", f.store.address(), "{{seeds}}", strings.Join(seeds, ","),
		"{{limits.memory-mb}}", "206", "{{limits.cpu-share}}", "0.224", "{{limits.link-mbps}}", "700.0",
		"{{#zones}}"+each+"{{/zones}}", strings.Join(domains, ""), "{{#bounds}}"+each+"{{/bounds}}", f.bounds).Replace(string(template))
	h.settings = filepath.Join(f.folder, h.id+".ini")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start runs the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.fleet.folder, h.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.fleet.program)
	cmd.Dir = root()
	cmd.Env = []string{"WISTERIACRANK_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.fleet.record.add("host %s ended: %v", h.id, err)
		close(exited)
	}()
	h.fleet.record.add("host %s started at %s", h.id, h.ip)
	return nil
}

// running reports whether the process hasn't ended.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// close ends all processes.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.cmd != nil && h.running() {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	_ = os.RemoveAll(f.folder)
}

// visit is a request that reached a server.
type visit struct {
	id, server      string
	reached, ended  time.Time
	ran, broken     bool
	method, target  string
	deadlineMs      string
	completedStatus int
}

// ledger has what reached the servers.
type ledger struct {
	mu     sync.Mutex
	visits []*visit
}

func (l *ledger) add(v *visit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visits = append(l.visits, v)
}

func (l *ledger) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// of returns the visits of a request.
func (l *ledger) of(id string) (found []visit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.visits {
		if v.id == id {
			found = append(found, *v)
		}
	}
	return found
}

// backend is a stand-in for a server (PROTOCOL.md, "Servers").
type backend struct {
	id, service, zone string
	slots             int
	born              int64
	seq               atomic.Int64
	record            *record
	ledger            *ledger
	listener          net.Listener
	server            *http.Server
	free              chan struct{}
	running, waiting  atomic.Int32
	work              func(*http.Request) time.Duration
	// losesAnswer, if not nil, says whether the answer to a run is lost.
	losesAnswer func() bool
}

func newBackend(rec *record, l *ledger, id, service, zone string, slots int, work func(*http.Request) time.Duration) (*backend, error) {
	listener, err := net.Listen("tcp4", loopback()+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), record: rec, ledger: l, listener: listener, free: make(chan struct{}, slots), work: work}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go b.server.Serve(listener)
	return b, nil
}

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", b.id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), b.slots))
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		b.record.add("request %s reaches %s, which isn't %s: 421", id, b.id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	v := &visit{id: id, server: b.id, reached: time.Now(), method: r.Method, target: r.RequestURI, deadlineMs: r.Header.Get("X-Deadline-Ms")}
	b.ledger.add(v)
	const queuePerSlot = 3
	if int(b.waiting.Add(1)) > queuePerSlot*b.slots {
		b.waiting.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.free <- struct{}{}:
		b.waiting.Add(-1)
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	b.running.Add(1)
	defer func() { b.running.Add(-1); <-b.free }()
	b.ledger.update(func() { v.ran = true })
	b.record.add("request %s (%s %s) reaches %s and runs", id, r.Method, r.RequestURI, b.id)
	select {
	case <-time.After(b.work(r)):
	case <-r.Context().Done():
		b.ledger.update(func() { v.broken, v.ended = true, time.Now() })
		b.record.add("request %s: its run at %s is cut", id, b.id)
		return
	}
	b.ledger.update(func() { v.ended, v.completedStatus = time.Now(), http.StatusOK })
	if b.losesAnswer != nil && b.losesAnswer() {
		b.record.add("request %s has run at %s, and its answer is lost", id, b.id)
		reset(w)
		return
	}
	w.Header().Set("X-Response-Signature", "sig."+id)
	text := fmt.Sprintf("answer of %s to %s (%d bytes)", b.id, id, len(body))
	_, _ = io.WriteString(w, text)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// reply is what a client got.
type reply struct {
	status    int
	signature string
	body      string
	err       error
	retry     string
}

func (r reply) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d, signature %q", r.status, r.signature)
}

var attempts atomic.Int64

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%08x%06d", rand.Uint32(), attempts.Add(1)) }

// send sends one client attempt on a connection of its own.
func (f *fleet) send(address, method, path, id, object, body string, limit time.Duration) reply {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = "shop.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if object != "" {
		req.Header.Set("Cookie", "X-Affinity-Key="+object)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := http.Client{Timeout: limit, Transport: transport}
	f.record.add("client sends %s %s %s to %s", id, method, path, address)
	resp, err := client.Do(req)
	if err != nil {
		f.record.add("client gets for %s: no answer: %v", id, err)
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	got := reply{status: resp.StatusCode, signature: resp.Header.Get("X-Response-Signature"), body: string(text), err: err, retry: resp.Header.Get("Retry-After")}
	f.record.add("client gets for %s: %v", id, got)
	return got
}
