package host

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	outageDomains       = 6
	outageHostsInDomain = 2
	// outageApply is the time for a version to take effect after it was confirmed and
	// the store responds.
	outageApply = 2 * time.Second
	// outageStable is the time without impairment of the store after which hosts are
	// in touch.
	outageStable = 3 * time.Second
	outageSeeds  = 40
	// Latencies of one way between hosts and to the store.
	outageRemoteLatency = 12 * time.Millisecond
	outageStoreLatency  = 4 * time.Millisecond
	// Time limits of calls, as in the client of the store.
	storeCallTimeout  = 2500 * time.Millisecond
	storeMinWatchWait = 4 * time.Second
	storeMaxWatchWait = 6 * time.Second
)

// storeFault is what the store does to the calls of a host.
type storeFault int

const (
	answers storeFault = iota
	// resets fails calls at once, also those that wait.
	resets
	// silent responds to no call, nor afterwards to those that waited.
	silent
	// delayed responds to no call until the end of the fault.
	delayed
	// busy refuses new calls.
	busy
	// refusesConfig refuses new calls that read the configuration.
	refusesConfig
	// slow responds late.
	slow
	storeFaults
)

func (f storeFault) String() string {
	return [...]string{"answers", "resets", "silent", "delayed", "busy", "refuses the configuration", "slow"}[f]
}

// fleetStore is a store whose state is never lost.
type fleetStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[inventory.Collection]map[string]inventory.Object
	history  map[inventory.Collection][]inventory.Object
	// oldest is the revision before which the history is gone.
	oldest uint64
	// configBody is the body of each configuration.
	configBody []byte
	// muted watches return nothing.
	muted bool
	// failWatches is the share of the responses to watches whose connection fails.
	failWatches float64
	faults      map[string]storeFault
	// epochs count the faults of a host that end the calls that wait.
	epochs map[string]int
	// forgotten has the last epoch of a host whose calls get no response.
	forgotten map[string]int
	changed   chan struct{}
}

func newFleetStore() *fleetStore {
	s := &fleetStore{
		revision: 100, faults: make(map[string]storeFault), epochs: make(map[string]int), forgotten: make(map[string]int), changed: make(chan struct{}),
		objects: make(map[inventory.Collection]map[string]inventory.Object), history: make(map[inventory.Collection][]inventory.Object),
	}
	for c := range inventory.Hosts + 1 {
		s.objects[c] = make(map[string]inventory.Object)
	}
	return s
}

// wake is called with mu held.
func (s *fleetStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fleetStore) put(c inventory.Collection, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := inventory.Object{Name: name, Position: model.Position{Revision: s.revision}}
	if c == inventory.Configuration {
		o.Body = s.configBody
	}
	s.objects[c][name] = o
	s.history[c] = append(s.history[c], o)
	s.wake()
	return s.revision
}

func (s *fleetStore) remove(c inventory.Collection, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects[c], name)
	s.history[c] = append(s.history[c], inventory.Object{Name: name, Position: model.Position{Revision: s.revision}, Deleted: true})
	s.wake()
}

func (s *fleetStore) setFault(hosts []string, fault storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range hosts {
		s.faults[id] = fault
		switch fault {
		case resets:
			s.epochs[id]++
		case silent:
			s.forget([]string{id})
		}
	}
	s.wake()
}

func (s *fleetStore) setMuted(muted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = muted
	s.wake()
}

// dropHistory drops the history and ends the muted time. The watches of some hosts are
// not ended but forgotten.
func (s *fleetStore) dropHistory(forgotten []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.muted = s.revision, false
	s.forget(forgotten)
	s.wake()
}

func (s *fleetStore) forgetWatches(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(hosts)
}

// forget is called with mu held.
func (s *fleetStore) forget(hosts []string) {
	for _, id := range hosts {
		s.forgotten[id] = s.epochs[id]
		s.epochs[id]++
	}
}

func (s *fleetStore) setWatchLoss(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failWatches = share
}

// storeClient is the client of one host. It implements Store.
type storeClient struct {
	store *fleetStore
	host  string
}

// arrive passes a call to the store; it returns the epoch of the host's calls.
func (c storeClient) arrive(ctx context.Context, of inventory.Collection) (epoch int, err error) {
	wait := outageStoreLatency/2 + rand.N(outageStoreLatency)
	c.store.mu.Lock()
	epoch = c.store.epochs[c.host]
	fault := c.store.faults[c.host]
	c.store.mu.Unlock()
	if fault == slow {
		wait *= 60
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return 0, inventory.ErrUnavailable
	}
	if fault == refusesConfig && of == inventory.Configuration {
		return 0, inventory.ErrUnavailable
	}
	return epoch, c.await(ctx, epoch, true)
}

// await waits until the store responds to a call, new or waiting, of an epoch.
func (c storeClient) await(ctx context.Context, epoch int, arrived bool) error {
	for ctx.Err() == nil {
		c.store.mu.Lock()
		fault, changed := c.store.faults[c.host], c.store.changed
		forgotten := epoch <= c.store.forgotten[c.host]
		cut := c.store.epochs[c.host] != epoch
		c.store.mu.Unlock()
		switch {
		case fault == silent || forgotten:
			<-ctx.Done()
		case fault == resets || fault == busy && arrived || cut:
			return inventory.ErrUnavailable
		case fault == delayed:
			select {
			case <-changed:
			case <-ctx.Done():
			}
		default:
			return nil
		}
	}
	return inventory.ErrUnavailable
}

func (c storeClient) List(ctx context.Context, of inventory.Collection) (inventory.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if _, err := c.arrive(ctx, of); err != nil {
		return inventory.Batch{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	batch := inventory.Batch{Position: model.Position{Revision: c.store.revision}}
	for _, o := range c.store.objects[of] {
		batch.Objects = append(batch.Objects, o)
	}
	return batch, nil
}

func (c storeClient) ListStale(ctx context.Context, of inventory.Collection) (inventory.Batch, error) {
	return c.List(ctx, of)
}

func (c storeClient) Probe(ctx context.Context) (model.Position, error) {
	_, err := c.arrive(ctx, inventory.Evacuations)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return model.Position{Revision: c.store.revision}, err
}

func (c storeClient) OnEra(func(model.Era, bool)) {}

func (c storeClient) Put(context.Context, inventory.Collection, string, any) error { return nil }
func (c storeClient) Delete(context.Context, inventory.Collection, string) error   { return nil }

func (c storeClient) Watch(ctx context.Context, of inventory.Collection, after model.Position) (inventory.Batch, error) {
	return c.watch(ctx, of, after, storeMinWatchWait+rand.N(storeMaxWatchWait-storeMinWatchWait))
}

func (c storeClient) Changes(ctx context.Context, of inventory.Collection, after model.Position) (inventory.Batch, error) {
	return c.watch(ctx, of, after, time.Millisecond)
}

func (c storeClient) watch(ctx context.Context, of inventory.Collection, after model.Position, wait time.Duration) (inventory.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	end := time.After(wait)
	epoch, err := c.arrive(ctx, of)
	for ended := false; err == nil; err = c.await(ctx, epoch, false) {
		batch, done, changed, err := c.poll(of, after, ended)
		if err != nil {
			return inventory.Batch{}, err
		}
		if done {
			time.Sleep(outageStoreLatency / 2)
			return batch, nil
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-ctx.Done():
		}
	}
	return inventory.Batch{}, err
}

// poll returns the response to a watch, if it has one now.
func (c storeClient) poll(of inventory.Collection, after model.Position, ended bool) (batch inventory.Batch, done bool, changed chan struct{}, err error) {
	s := c.store
	s.mu.Lock()
	batch, changed = inventory.Batch{Position: model.Position{Revision: s.revision}}, s.changed
	gone, muted, fail := after.Revision < s.oldest, s.muted, s.failWatches
	for _, o := range s.history[of] {
		if o.Position.After(after) {
			batch.Objects = append(batch.Objects, o)
		}
	}
	s.mu.Unlock()
	switch {
	case muted:
		return batch, false, changed, nil
	case gone:
		return batch, false, changed, inventory.ErrHistoryGone
	case len(batch.Objects) == 0 && !ended:
		return batch, false, changed, nil
	case rand.Float64() < fail:
		return batch, false, changed, inventory.ErrUnavailable
	}
	return batch, true, changed, nil
}

// outageFleet is a fleet of hosts that read a store.
type outageFleet struct {
	rng     *rand.Rand
	store   *fleetStore
	network *fleetNetwork
	ids     []string
	stops   map[string]context.CancelFunc
	running sync.WaitGroup
	log     *strings.Builder
}

func newOutageFleet(seed uint64) *outageFleet {
	f := &outageFleet{
		rng: rand.New(rand.NewPCG(seed, 0)), store: newFleetStore(), stops: make(map[string]context.CancelFunc), log: &strings.Builder{},
		network: newFleetNetwork(outageRemoteLatency),
	}
	if f.rng.IntN(2) == 0 {
		// Larger than a push.
		f.store.configBody = []byte(strconv.Quote(strings.Repeat("x", 10*maxPushBytes)))
	}
	f.store.put(inventory.Configuration, "main")
	for i := range 2 * outageDomains {
		f.store.put(inventory.Servers, fmt.Sprint("i-", i))
	}
	for i := range outageDomains * outageHostsInDomain {
		f.ids = append(f.ids, fmt.Sprint("h-", i))
		f.store.epochs[f.ids[i]] = 1
	}
	for i := range f.ids {
		f.start(i)
	}
	return f
}

func outageAddress(i int) string { return fmt.Sprintf("10.0.0.%d:8146", i+1) }

func (f *outageFleet) start(i int) {
	regionOf := make(map[string]string)
	for d := range outageDomains {
		regionOf[fmt.Sprint("d-", d)] = fmt.Sprint("r-", d/2)
	}
	domain := fmt.Sprint("d-", i%outageDomains)
	s := &Settings{ID: f.ids[i], Region: regionOf[domain], Domain: domain, RegionOf: regionOf, Memory: 64 << 20, Cores: 0.224,
		Seeds: []string{outageAddress(0), outageAddress(1), outageAddress(2)}}
	s.Listen.Peers = outageAddress(i)
	h := New(Base{Settings: s, Store: storeClient{f.store, s.ID}, Decoder: stubDecoder{}, Metrics: metrics.New(),
		Log: events.New(lineWriter{f, s.ID}, logrus.InfoLevel, time.Now)})
	ctx, stop := context.WithCancel(context.Background())
	f.stops[s.ID] = stop
	f.network.run(ctx, &f.running, h)
}

// lineWriter collects the log of a host.
type lineWriter struct {
	fleet *outageFleet
	host  string
}

func (w lineWriter) Write(line []byte) (int, error) {
	w.fleet.network.mu.Lock()
	defer w.fleet.network.mu.Unlock()
	_, _ = io.WriteString(w.fleet.log, w.host+" "+string(line))
	return len(line), nil
}

func (f *outageFleet) note(format string, args ...any) {
	_, _ = lineWriter{f, "--"}.Write([]byte(time.Now().Format(time.RFC3339Nano) + " " + fmt.Sprintf(format, args...) + "\n"))
}

func (f *outageFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.running.Wait()
}

func (f *outageFleet) host(i int) *Host {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.hosts[outageAddress(i)]
}

func (f *outageFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// region returns the hosts of a region.
func (f *outageFleet) region(n int) []string {
	var ids []string
	for i, id := range f.ids {
		if i%outageDomains/2 == n {
			ids = append(ids, id)
		}
	}
	return ids
}

// readers returns the hosts that read the store now.
func (f *outageFleet) readers() []string {
	var ids []string
	for i, id := range f.ids {
		h := f.host(i)
		h.rosterMu.Lock()
		if h.roster.IsReader(time.Now()) {
			ids = append(ids, id)
		}
		h.rosterMu.Unlock()
	}
	return ids
}

// affected draws the hosts of a fault; readers are those at its beginning.
func (f *outageFleet) affected() func() []string {
	some := slices.DeleteFunc(slices.Clone(f.ids), func(string) bool { return f.rng.IntN(2) == 0 })
	switch f.rng.IntN(6) {
	case 0:
		return f.readers
	case 1:
		return func() []string { return f.readers()[:1] }
	case 2:
		return func() []string { return some }
	default:
		return func() []string { return f.ids }
	}
}

// scheduleFault schedules one impairment and returns its end.
func (f *outageFleet) scheduleFault(at time.Duration, after func(time.Duration, func())) (end time.Duration) {
	length := f.between(200*time.Millisecond, 4*time.Second)
	if f.rng.IntN(2) == 0 {
		length = f.between(600*time.Millisecond, 1300*time.Millisecond)
	}
	switch f.rng.IntN(4) {
	case 0:
		after(at, func() { f.note("watches are muted for %v", length); f.store.setMuted(true) })
		forgotten := f.region(f.rng.IntN(outageDomains / 2))
		after(at+length, func() {
			f.note("history dropped, the watches of %v forgotten", forgotten)
			f.store.dropHistory(forgotten)
		})
	case 1:
		share := f.rng.Float64()
		after(at, func() { f.note("%.2f of the watches fail for %v", share, length); f.store.setWatchLoss(share) })
		after(at+length, func() { f.store.setWatchLoss(0) })
	default:
		fault := storeFault(1 + f.rng.IntN(int(storeFaults-1)))
		var hosts []string
		affected := f.affected()
		after(at, func() {
			hosts = affected()
			f.note("%v for %v for %v", fault, length, hosts)
			f.store.setFault(hosts, fault)
		})
		after(at+length, func() { f.note("end of %v", fault); f.store.setFault(hosts, answers) })
	}
	return at + length
}

// schedulePeerTrouble schedules a loss of messages between hosts, or the restart of one.
func (f *outageFleet) schedulePeerTrouble(at time.Duration, after func(time.Duration, func())) (end time.Duration) {
	switch f.rng.IntN(5) {
	case 0:
		after(at, func() { f.note("datagrams are lost"); f.setLoss(0.3) })
		after(at+2*time.Second, func() { f.setLoss(0) })
		return at + 2*time.Second
	case 1:
		i, length := f.rng.IntN(len(f.ids)), f.between(time.Second, 4*time.Second)
		after(at, func() { f.note("%s isolated for %v", f.ids[i], length); f.isolate(f.ids[i], true) })
		after(at+length, func() { f.isolate(f.ids[i], false) })
		return at + length
	case 2:
		i := f.rng.IntN(len(f.ids))
		after(at, func() {
			f.note("%s restarts", f.ids[i])
			f.stops[f.ids[i]]()
			f.start(i)
		})
		return at
	case 3:
		region, length := f.rng.IntN(outageDomains/2), f.between(time.Second, 4*time.Second)
		after(at, func() { f.note("region %d cut off for %v", region, length); f.cutOff(region) })
		after(at+length, func() { f.cutOff(-1) })
		return at + length
	}
	return 0
}

func (f *outageFleet) setLoss(loss float64) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.loss = loss
}

// cutOff cuts one region off from the others, or none.
func (f *outageFleet) cutOff(region int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.cutOff = fmt.Sprint("r-", region)
}

func (f *outageFleet) isolate(id string, isolated bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.isolated[id] = isolated
}

// confirmedVersion is a version and when it was confirmed.
type confirmedVersion struct {
	revision uint64
	at       time.Time
}

const outagePollInterval = 20 * time.Millisecond

// playOutage plays one random outage with changes around it, and returns by how much
// the latest host was late.
func playOutage(t *testing.T, seed uint64) (late time.Duration) {
	f := newOutageFleet(seed)
	defer f.stop()
	time.Sleep(4*time.Second + f.between(0, 6*time.Second))
	began := time.Now()
	var pending sync.WaitGroup
	after := func(d time.Duration, do func()) {
		pending.Go(func() {
			time.Sleep(d)
			do()
		})
	}
	end := f.scheduleFault(0, after)
	if f.rng.IntN(3) == 0 {
		end = max(end, f.scheduleFault(end+f.between(0, time.Second), after))
	}
	if f.rng.IntN(2) == 0 {
		end = max(end, f.schedulePeerTrouble(f.between(0, time.Second), after))
	}
	var mu sync.Mutex
	var versions []confirmedVersion
	changes := []time.Duration{end + f.between(-100*time.Millisecond, time.Second)}
	for range f.rng.IntN(3) {
		changes = append(changes, f.between(0, end))
	}
	for _, at := range changes {
		after(at, func() {
			mu.Lock()
			defer mu.Unlock()
			versions = append(versions, confirmedVersion{f.store.put(inventory.Configuration, "main"), time.Now()})
			f.note("version %d confirmed", versions[len(versions)-1].revision)
		})
	}
	for i := range 6 {
		name := fmt.Sprint("new-", i)
		after(f.between(0, end+4*time.Second), func() { f.store.put(inventory.Servers, name) })
	}
	after(f.between(0, end+4*time.Second), func() { f.store.remove(inventory.Servers, "i-0") })
	sound := began.Add(end)
	for time.Since(sound) < 14*time.Second {
		time.Sleep(outagePollInterval)
		now := time.Now()
		mu.Lock()
		for i := range f.ids {
			inForce := f.host(i).configVersion()
			for _, v := range versions {
				due := v.at.Add(outageApply)
				if v.at.Before(sound) {
					due = sound.Add(outageApply)
				}
				if inForce < v.revision && now.After(due) && now.Sub(due) > late {
					late = now.Sub(due)
					if late < 2*outagePollInterval {
						f.note("LATE: %s has version %d, not %d", f.ids[i], inForce, v.revision)
					}
				}
			}
		}
		mu.Unlock()
	}
	pending.Wait()
	want := len(f.store.objects[inventory.Servers])
	for i := range f.ids {
		if got := len(f.host(i).reader.View().Servers); got != want {
			t.Errorf("%s uses %d servers, want %d", f.ids[i], got, want)
		}
	}
	if late > 0 {
		f.network.mu.Lock()
		defer f.network.mu.Unlock()
		t.Log(f.log.String())
	}
	return late
}

// Guards against a host that keeps an older configuration after an outage of the store
// although the change was confirmed and servers arrive.
func TestConfirmedChangeIsInForceAfterAnOutage(t *testing.T) {
	for seed := range uint64(outageSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if late := playOutage(t, seed); late > 0 {
					t.Errorf("a confirmed version is not in force at a host %v after it was due", late)
				}
			})
		})
	}
}

// Guards against hosts that wait for the end of a watch that the store has forgotten
// while it responds to all other calls.
func TestChangeIsInForceAfterTheStoreForgotAllWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOutageFleet(0)
		defer f.stop()
		time.Sleep(10 * time.Second)
		// All watches start again with a change.
		for _, c := range inventory.WatchedCollections {
			f.store.put(c, "main")
		}
		time.Sleep(time.Second)
		f.store.forgetWatches(f.ids)
		version := f.store.put(inventory.Configuration, "main")
		confirmed := time.Now()
		time.Sleep(outageStable)
		for i, id := range f.ids {
			if got := f.host(i).configVersion(); got < version {
				t.Errorf("%s has version %d %v after %d was confirmed", id, got, time.Since(confirmed), version)
			}
		}
	})
}
