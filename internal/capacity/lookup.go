package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/lookup"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/steering"
)

// Names of the lookup slopes. The size is the number of client blocks.
const (
	tableNanos       = "lookup.table"
	tableAllocs      = "lookup.table.allocs"
	httpNanos        = "lookup.http"
	httpAllocs       = "lookup.http.allocs"
	responseBytes    = "lookup.answer"
	blockBytes       = "lookup.memory.block"
	siteBytes        = "lookup.memory.site"
	hostsBytes       = "lookup.memory.hosts"
	rebuildHost      = "lookup.rebuild.host"
	rebuildAll       = "lookup.rebuild.all"
	rebuildOther     = "lookup.rebuild.other"
	rebuildWeight    = "lookup.rebuild.weights"
	measurementNanos = "lookup.measurement"
	documentText     = "document.text.block"
	documentParse    = "document.parse.block"
)

// BlockSizes are the numbers of client blocks at which lookups are measured.
var BlockSizes = []int{10_000, 40_000, 160_000}

// steeringInput returns an input of the lookup table with the design number of
// hosts.
func steeringInput(blocks, services int) steering.Input {
	doc := &document.Document{Environment: document.Environment{
		CacheTime: 10 * time.Second, MoveCap: 0.1, MoveInterval: 10 * time.Second,
	}}
	in := steering.Input{Generation: 1, Document: doc}
	for r := range Regions {
		name := model.Region(fmt.Sprintf("region-%d", r))
		doc.Regions = append(doc.Regions, document.Region{Name: name, Weight: 1})
		doc.Servers = append(doc.Servers, document.Server{Region: name, Slots: 100})
	}
	for i := range Hosts {
		in.Hosts = append(in.Hosts, hostRecord(i))
	}
	for i := range max(services, 1) {
		doc.Services = append(doc.Services, document.Service{Name: model.Service(fmt.Sprintf("service-%d", i))})
	}
	for i := range blocks {
		doc.Blocks = append(doc.Blocks, document.Block{Prefix: clientBlock(i), Region: doc.Regions[i%Regions].Name})
	}
	return in
}

// hostRecord returns the membership record of host i.
func hostRecord(i int) model.HostRecord {
	region := i % Regions
	return model.HostRecord{
		Host:             model.HostID(fmt.Sprintf("region-%d-host-%d", region, i)),
		Region:           model.Region(fmt.Sprintf("region-%d", region)),
		FailureDomain:    model.FailureDomain(fmt.Sprintf("region-%d-%c", region, 'a'+(i/Regions)%3)),
		CallerAddress:    fmt.Sprintf("10.%d.%d.1:8080", i>>8, i&0xff),
		PeerAddress:      fmt.Sprintf("10.%d.%d.1:8081", i>>8, i&0xff),
		AgentAddress:     fmt.Sprintf("10.%d.%d.1:8082", i>>8, i&0xff),
		LookupAddress:    fmt.Sprintf("10.%d.%d.1:8083", i>>8, i&0xff),
		Incarnation:      1_800_000_000_000_000_000,
		Sequence:         7,
		State:            model.HostReady,
		EntryIncarnation: 1_800_000_000_000_000_000,
	}
}

// clientBlock returns client block i.
func clientBlock(i int) netip.Prefix {
	const bits = 24
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0}), bits)
}

// builtTable is the state that a lookup daemon holds in memory.
type builtTable struct {
	builder *steering.Builder
	table   *steering.Table
}

// build builds a lookup table and the builder for later changes.
func build(in steering.Input) builtTable {
	b := steering.NewBuilder()
	return builtTable{builder: b, table: b.Build(in, time.Now())}
}

// MeasureLookup measures the lookup table, its HTTP handler and the client
// blocks of the document.
func (s *Slopes) MeasureLookup() error {
	// Ten times the design number, because the memory of a site is small
	// compared with that of the hosts.
	const sites = 10 * Sites
	empty, many := steeringInput(0, 0), steeringInput(0, sites)
	build(empty)
	_, base := heldBytes(func() builtTable { return build(empty) })
	_, withSites := heldBytes(func() builtTable { return build(many) })
	perSite := (withSites - base) / sites
	s.add(siteBytes, sites, perSite, "bytes")
	s.add(hostsBytes, Hosts, base, "bytes")
	for _, blocks := range BlockSizes {
		in := steeringInput(blocks, Sites)
		built, bytes := heldBytes(func() builtTable { return build(in) })
		s.add(blockBytes, blocks, (bytes-base-Sites*perSite)/float64(blocks), "bytes")
		s.measureTable(built.table, blocks)
		s.measureRebuilds(built.builder, in, blocks)
		if err := s.measureHTTP(built.table, blocks); err != nil {
			return err
		}
	}
	return s.measureDocument()
}

// measureTable measures a lookup in the table and the encoding of its response.
func (s *Slopes) measureTable(table *steering.Table, blocks int) {
	buf, now := make([]byte, 0, 16<<10), time.Now()
	const stride = 7919 // visits the blocks in an order that processor caches cannot follow
	c := measure(func(i int) {
		response := table.Lookup(clientBlock(i * stride % blocks))
		buf = response.AppendJSON(buf[:0], now)
	})
	s.add(tableNanos, blocks, c.nanos, "ns")
	s.add(tableAllocs, blocks, c.allocs, "allocations")
	s.add(responseBytes, blocks, float64(len(buf)), "bytes")
}

// measureRebuilds measures rebuilds of the table after each kind of change.
func (s *Slopes) measureRebuilds(b *steering.Builder, in steering.Input, blocks int) {
	now := time.Now()
	c := measure(func(i int) {
		in.Hosts = append([]model.HostRecord(nil), in.Hosts...)
		in.Hosts[17].State = model.HostState(int(model.HostReady) + i%2)
		b.Build(in, now)
	})
	s.add(rebuildHost, blocks, c.nanos, "ns")
	c = measure(func(i int) {
		in.Weights = map[model.Region]float64{"region-1": 1 + float64(i%2)}
		b.Build(in, now)
	})
	s.add(rebuildWeight, blocks, c.nanos, "ns")
	c = measure(func(int) {
		edited := *in.Document
		edited.Blocks = append([]document.Block(nil), edited.Blocks...)
		in.Document = &edited
		b.Build(in, now)
	})
	s.add(rebuildOther, blocks, c.nanos, "ns")
	c = measure(func(int) { build(in) })
	s.add(rebuildAll, blocks, c.nanos, "ns")
	round := 0
	c = measure(func(int) {
		round++
		b.Build(withMeasurements(in, blocks, now.Add(time.Duration(round)*time.Second)), now)
	})
	s.add(measurementNanos, blocks, c.nanos/float64(blocks*MeasuredRegions), "ns")
}

// withMeasurements returns the input with one measurement per client block and
// measured region.
func withMeasurements(in steering.Input, blocks int, at time.Time) steering.Input {
	in.Measurements = make([]steering.Measurement, 0, blocks*MeasuredRegions)
	for i := range blocks {
		for r := range MeasuredRegions {
			in.Measurements = append(in.Measurements, steering.Measurement{
				Block: clientBlock(i), Region: in.Document.Regions[(i+r)%Regions].Name,
				Latency: time.Duration(1+10*r) * time.Millisecond, MeasuredAt: at,
			})
		}
	}
	return in
}

// measureHTTP measures a lookup over HTTP. The result includes the cost of the
// client, which runs in this process.
func (s *Slopes) measureHTTP(table *steering.Table, blocks int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for lookups: %w", err)
	}
	server := &http.Server{Handler: lookup.NewHandler(func() *steering.Table { return table }), ReadHeaderTimeout: time.Second}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: parallelCalls}}
	defer client.CloseIdleConnections()
	var failed firstError
	c := measureParallel(func(i int) {
		url := fmt.Sprintf("http://%s/v1/lookup?service=service-0&block=%s", listener.Addr(), clientBlock(i%blocks))
		failed.set(fetch(client, url))
	})
	s.add(httpNanos, blocks, c.nanos, "ns")
	s.add(httpAllocs, blocks, c.allocs, "allocations")
	return failed.get()
}

// firstError stores the first error of several goroutines.
type firstError struct{ value atomic.Pointer[error] }

func (f *firstError) set(err error) {
	if err != nil {
		f.value.CompareAndSwap(nil, &err)
	}
}

func (f *firstError) get() error {
	if err := f.value.Load(); err != nil {
		return *err
	}
	return nil
}

// fetch sends a GET request and discards the body of the response.
func fetch(client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("send lookup: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("lookup response with status %d: %w", resp.StatusCode, err)
	}
	return nil
}

// measureDocument measures the size and the parse time of the client blocks in
// the document.
func (s *Slopes) measureDocument() error {
	const blocks = 10_000
	var text strings.Builder
	for i := range blocks {
		fmt.Fprintf(&text, "[block %s]\nregion = region-%d\n\n", clientBlock(i), i%Regions)
	}
	s.add(documentText, blocks, float64(text.Len())/blocks, "bytes")
	head := documentHead()
	var failed error
	c := measure(func(int) {
		if _, err := document.Parse(head + text.String()); err != nil {
			failed = err
		}
	})
	runtime.GC()
	s.add(documentParse, blocks, c.nanos/blocks, "ns")
	return failed
}

// documentHead returns the sections that a valid document needs besides client
// blocks.
func documentHead() string {
	var head strings.Builder
	head.WriteString("[environment]\nname = size\ncache-time = 10s\nmove-cap = 10%\nmove-interval = 10s\n\n" +
		"[rank check]\npriority = 1\ndeadline = 400ms\nguaranteed-share = 50%\nqueue = 200\n\n" +
		"[service site-0]\nanswer-timeout = 2s\nmax-body = 64 KB\n\n")
	for r := range Regions {
		fmt.Fprintf(&head, "[region region-%d]\nfailure-domains = region-%d-a\nentry-hosts = 244\nweight = 1\n\n", r, r)
		for other := range r {
			fmt.Fprintf(&head, "[link region-%d region-%d]\nlimit = 4 Gbit/s\n\n", other, r)
		}
	}
	head.WriteString("[server site-0-1]\nservice = site-0\nregion = region-0\nfailure-domain = region-0-a\n" +
		"address = 127.0.0.1:7601\nslots = 4\nconnections = 100\n")
	return head.String()
}
