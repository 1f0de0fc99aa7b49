// Package e2e runs the daemons as real processes on loopback, with stand-ins
// for the platform and the backend servers inside the test process.
package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/standin"
)

const (
	environment = "trial"
	// pollInterval and waitTimeout control only how a test waits for a state. No
	// test asserts a duration.
	pollInterval = 50 * time.Millisecond
	waitTimeout  = 30 * time.Second
)

// binaryDir is the directory of the commands that TestMain builds.
var binaryDir string

// TestMain builds the commands that the tests run.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "wisteriacrank-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	build.Stderr = os.Stderr
	status := 1
	if err := build.Run(); err == nil {
		status = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// fleet is a deployment of a store, backend servers and hosts.
type fleet struct {
	t        *testing.T
	dir      string
	store    *standin.Store
	client   *platform.Client
	storeURL string
	backends map[string]*backendServer
	hosts    []*host
	nextIP   int
	load     *load
}

// spec describes a fleet. Every region has two failure domains.
type spec struct {
	regions        []string
	hostsPerDomain int
	// servers maps a service to its number of backend servers per region.
	servers     map[string]int
	slots       int
	serviceTime time.Duration
	cacheTime   time.Duration
	moveCap     string
}

// defaultSpec returns a fleet of two regions with two hosts each.
func defaultSpec() spec {
	return spec{
		regions:        []string{"bagmati", "gandaki"},
		hostsPerDomain: 1,
		servers:        map[string]int{"booking-desk": 2},
		slots:          4,
		serviceTime:    5 * time.Millisecond,
		cacheTime:      time.Second,
		moveCap:        "50%",
	}
}

// loopbackIP returns an unused address in 127.0.0.0/8. With an address per host,
// another process is unlikely to bind a port that the kernel chose before the
// daemon binds it.
func (f *fleet) loopbackIP() string {
	f.nextIP++
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, f.nextIP)
}

// freeAddresses returns distinct addresses with free ports. It binds all of them
// before it releases any.
func freeAddresses(t *testing.T, ip string, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// newFleet starts a fleet, which stops at the end of the test.
func newFleet(t *testing.T, s spec) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), store: standin.NewStore(), backends: make(map[string]*backendServer)}
	f.storeURL = "http://" + f.serveStore()
	f.client = platform.NewClient(f.storeURL)
	for _, region := range s.regions {
		for service, count := range s.servers {
			for i := range count {
				f.startBackend(fmt.Sprintf("%s-%s-%d", service, region, i+1), s)
			}
		}
	}
	for _, region := range s.regions {
		for _, domain := range []string{"a", "b"} {
			for i := range s.hostsPerDomain {
				f.addHost(fmt.Sprintf("%s-%s%d", region, domain, i+1), region, region+"-"+domain)
			}
		}
	}
	f.publish(f.document(s))
	for _, h := range f.hosts {
		h.startAll()
	}
	t.Cleanup(f.stop)
	return f
}

// serveStore starts the store and returns its address.
func (f *fleet) serveStore() string {
	listener, err := net.Listen("tcp", f.loopbackIP()+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// backendServer is a stand-in backend server that can crash and restart.
type backendServer struct {
	*standin.Backend
	address string

	mu     sync.Mutex
	server *http.Server
}

func (f *fleet) startBackend(name string, s spec) {
	b := &backendServer{address: freeAddresses(f.t, f.loopbackIP(), 1)[0]}
	cfg := standin.BackendConfig{Name: name, Slots: s.slots, ServiceTime: s.serviceTime}
	b.Backend = standin.NewBackend(cfg, b.close)
	b.listen(f.t)
	f.backends[name] = b
	f.t.Cleanup(b.close)
}

func (b *backendServer) listen(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	b.server = b.Backend.Server()
	server := b.server
	b.mu.Unlock()
	go func() { _ = server.Serve(standin.FaultListener(listener)) }()
}

func (b *backendServer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.server.Close()
}

// document returns the configuration document of the fleet.
func (f *fleet) document(s spec) string {
	var doc strings.Builder
	fmt.Fprintf(&doc, "[environment]\nname = e2e\ncache-time = %s\nmove-cap = %s\nmove-interval = 1s\n", s.cacheTime, s.moveCap)
	for _, region := range s.regions {
		fmt.Fprintf(&doc, "\n[region %s]\nfailure-domains = %s-a, %s-b\nentry-hosts = %d\nweight = 1\n",
			region, region, region, 2*s.hostsPerDomain)
	}
	for i, a := range s.regions {
		for _, b := range s.regions[i+1:] {
			fmt.Fprintf(&doc, "\n[link %s %s]\nlimit = 4 Gbit/s\n", a, b)
		}
	}
	doc.WriteString(`
[rank check]
priority = 1
deadline = 5s
guaranteed-share = 50%
queue = 200

[rank booking]
priority = 2
deadline = 10s
guaranteed-share = 30%
queue = 200

[rank upload]
priority = 3
deadline = 30s
guaranteed-share = 10%
queue = 1000
`)
	for service, count := range s.servers {
		fmt.Fprintf(&doc, "\n[service %s]\nanswer-timeout = 2500ms\nmax-body = 1024 KB\n", service)
		for _, region := range s.regions {
			for i := range count {
				name := fmt.Sprintf("%s-%s-%d", service, region, i+1)
				fmt.Fprintf(&doc, "\n[server %s]\nservice = %s\nregion = %s\nfailure-domain = %s-%s\naddress = %s\nslots = %d\nconnections = 100\n",
					name, service, region, region, string("ab"[i%2]), f.backends[name].address, s.slots)
			}
		}
	}
	for i, region := range s.regions {
		fmt.Fprintf(&doc, "\n[block 10.%d.0.0/16]\nregion = %s\n", i+1, region)
	}
	return doc.String()
}

// publish writes the document to the store and returns its generation.
func (f *fleet) publish(document string) uint64 {
	f.t.Helper()
	value, err := envobject.Object{Document: document, AcceptedUnixMillis: time.Now().UnixMilli()}.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	version, err := f.client.Put(f.t.Context(), envobject.Key(environment), value, platform.AnyVersion)
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

func (f *fleet) lookupAddresses() []string {
	var addresses []string
	for _, h := range f.hosts {
		addresses = append(addresses, h.lookupAddress)
	}
	return addresses
}

// caller returns a caller with its own connections.
func (f *fleet) caller() *standin.Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	f.t.Cleanup(transport.CloseIdleConnections)
	return &standin.Caller{Client: &http.Client{Transport: transport}, LookupAddresses: f.lookupAddresses()}
}

// waitReady waits until the lookup daemon of every running host returns n hosts.
func (f *fleet) waitReady(n int) {
	f.t.Helper()
	for _, h := range f.hosts {
		if h.running("lookup") {
			f.waitLookupHosts(h.lookupAddress, n)
		}
	}
}

func (f *fleet) waitLookupHosts(lookup string, n int) {
	f.t.Helper()
	caller := f.caller()
	caller.LookupAddresses = []string{lookup}
	f.waitFor(fmt.Sprintf("%s returns %d hosts", lookup, n), func() bool {
		response, err := caller.Lookup(f.t.Context(), "booking-desk", "10.1.7.0/24")
		return err == nil && len(response.Hosts) == n
	})
}

// waitFor polls until the condition is met, and fails the test after waitTimeout.
func (f *fleet) waitFor(condition string, isMet func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !isMet() {
		if time.Now().After(deadline) {
			f.dumpLogs()
			f.t.Fatalf("timed out waiting until %s", condition)
		}
		time.Sleep(pollInterval)
	}
}

// dumpLogs logs the state of the load and the output of all daemons.
func (f *fleet) dumpLogs() {
	if f.load != nil {
		f.load.mu.Lock()
		f.t.Logf("%d sent, %d served, failures: %s", f.load.sent.Load(), f.load.served.Load(), strings.Join(f.load.failures, "\n"))
		f.load.mu.Unlock()
	}
	for _, h := range f.hosts {
		for name, p := range h.processes {
			f.t.Logf("%s %s:\n%s", h.name, name, p.log.String())
		}
	}
}

// stop kills all daemons, also those that a test has stopped by a signal.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		for name := range h.processes {
			h.signal(name, syscall.SIGCONT)
			h.signal(name, syscall.SIGKILL)
			h.wait(name)
		}
	}
}

// host is an entry host with its three daemons.
type host struct {
	fleet               *fleet
	name                string
	region              string
	settingsFile        string
	callerAddress       string
	lookupAddress       string
	operatorAddress     string
	entryMetricsAddress string
	processes           map[string]*process
}

// process is a running daemon.
type process struct {
	cmd  *exec.Cmd
	log  *syncBuffer
	done chan struct{}
	err  error
}

// syncBuffer is a buffer for the output of a process that the test may read at
// the same time.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// addHost writes the settings of a host and adds it to the fleet.
func (f *fleet) addHost(name, region, domain string) {
	const listeners = 8
	addresses := freeAddresses(f.t, f.loopbackIP(), listeners)
	h := &host{
		fleet:               f,
		name:                name,
		region:              region,
		settingsFile:        filepath.Join(f.dir, name+".ini"),
		callerAddress:       addresses[0],
		lookupAddress:       addresses[1],
		operatorAddress:     addresses[2],
		entryMetricsAddress: addresses[6],
		processes:           make(map[string]*process),
	}
	agentAddress := addresses[3]
	seeds := agentAddress
	if len(f.hosts) > 0 {
		seeds = f.seeds()
	}
	text := fmt.Sprintf(`[host]
id = %s
environment = %s
region = %s
failure-domain = %s

[listen]
callers = %s
peers = %s
lookup = %s
agent = %s
operators = %s
agent-metrics = %s
entry-metrics = %s
lookup-metrics = %s

[store]
url = %s

[peers]
agents = %s
`, name, environment, region, domain, h.callerAddress, addresses[4], h.lookupAddress, agentAddress, h.operatorAddress,
		addresses[5], addresses[6], addresses[7], f.storeURL, seeds)
	if err := os.WriteFile(h.settingsFile, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.hosts = append(f.hosts, h)
}

// seeds returns the agent addresses of the first three hosts.
func (f *fleet) seeds() string {
	const maxSeeds = 3
	var addresses []string
	for _, h := range f.hosts[:min(maxSeeds, len(f.hosts))] {
		text, err := os.ReadFile(h.settingsFile)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, line := range strings.Split(string(text), "\n") {
			if address, ok := strings.CutPrefix(line, "agent = "); ok {
				addresses = append(addresses, address)
			}
		}
	}
	return strings.Join(addresses, ", ")
}

var daemonNames = []string{"agent", "lookup", "entry"}

func (h *host) startAll() {
	for _, name := range daemonNames {
		h.start(name)
	}
}

func (h *host) start(name string) {
	h.fleet.t.Helper()
	p := &process{log: &syncBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaryDir, "wisteria-"+name), "--config", h.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		h.fleet.t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	h.processes[name] = p
}

func (h *host) running(name string) bool {
	p := h.processes[name]
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (h *host) signal(name string, sig syscall.Signal) {
	if h.running(name) {
		_ = h.processes[name].cmd.Process.Signal(sig)
	}
}

func (h *host) signalAll(sig syscall.Signal) {
	for _, name := range daemonNames {
		h.signal(name, sig)
	}
}

// wait waits for a daemon to exit and returns its error.
func (h *host) wait(name string) error {
	p := h.processes[name]
	select {
	case <-p.done:
		return p.err
	case <-time.After(waitTimeout):
		h.fleet.t.Errorf("%s %s did not exit", h.name, name)
		return context.DeadlineExceeded
	}
}
