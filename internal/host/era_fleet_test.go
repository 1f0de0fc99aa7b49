package host

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

// Latencies of calls to the store and of messages between regions.
const (
	eraStoreLatency  = 20 * time.Millisecond
	eraRemoteLatency = 40 * time.Millisecond
)

// eraStore is a store in memory that can come back in a later era.
type eraStore struct {
	mu       sync.Mutex
	position model.Position
	servers  int
	restored chan struct{}
	// goneAfter is the highest revision from which a watch may continue.
	goneAfter uint64
	// calls counts the responses in the present era; first is the time of the first.
	calls int
	first time.Time
}

// restore brings the store back without its last servers. Watches go on or are gone.
func (s *eraStore) restore(servers int, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position.Era++
	s.servers, s.calls, s.first = servers, 0, time.Time{}
	if gone {
		s.goneAfter = 0
		close(s.restored)
	}
}

func (s *eraStore) content(c inventory.Collection) inventory.Batch {
	batch := inventory.Batch{Position: s.position}
	names := []string{"main"}
	if c == inventory.Servers {
		names = nil
		for i := range s.servers {
			names = append(names, fmt.Sprint("i-", i))
		}
	}
	for _, name := range names {
		batch.Objects = append(batch.Objects, inventory.Object{Name: name, Position: model.Position{Revision: 1}, Body: make([]byte, 200)})
	}
	return batch.InEra(s.position.Era)
}

// eraClient is the client of one host.
type eraClient struct {
	*eraStore
	observe func(model.Era, bool)
}

// OnEra implements Store.
func (c *eraClient) OnEra(observe func(model.Era, bool)) { c.observe = observe }

// respond takes the time of a call and states the era.
func (c *eraClient) respond(of inventory.Collection) inventory.Batch {
	time.Sleep(rand.N(2 * eraStoreLatency))
	c.mu.Lock()
	batch := c.content(of)
	if c.calls++; c.calls == 1 {
		c.first = time.Now()
	}
	c.mu.Unlock()
	c.observe(batch.Position.Era, true)
	return batch
}

// List implements Store.
func (c *eraClient) List(_ context.Context, of inventory.Collection) (inventory.Batch, error) {
	return c.respond(of), nil
}

// Watch implements Store.
func (c *eraClient) Watch(ctx context.Context, of inventory.Collection, after model.Position) (inventory.Batch, error) {
	c.mu.Lock()
	restored := c.restored
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return inventory.Batch{}, inventory.ErrUnavailable
	case <-restored:
	case <-time.After(5 * time.Second):
	}
	batch := c.respond(of)
	if after.Era < batch.Position.Era && c.goneAfter < after.Revision {
		return inventory.Batch{}, inventory.ErrHistoryGone
	}
	return inventory.Batch{Position: batch.Position}, nil
}

// Changes implements Store.
func (c *eraClient) Changes(_ context.Context, of inventory.Collection, _ model.Position) (inventory.Batch, error) {
	return inventory.Batch{Position: c.respond(of).Position}, nil
}

// Probe implements Store.
func (c *eraClient) Probe(context.Context) (model.Position, error) {
	return c.respond(inventory.Evacuations).Position, nil
}

// ListStale implements Store.
func (c *eraClient) ListStale(context.Context, inventory.Collection) (inventory.Batch, error) {
	return inventory.Batch{}, nil
}

// Put implements Store.
func (c *eraClient) Put(context.Context, inventory.Collection, string, any) error { return nil }

// Delete implements Store.
func (c *eraClient) Delete(context.Context, inventory.Collection, string) error { return nil }

// eraFleet is a fleet of hosts that read a store.
type eraFleet struct {
	hosts   []*Host
	network *fleetNetwork
}

func newEraFleet(n int, store *eraStore) *eraFleet {
	f := &eraFleet{network: newFleetNetwork(eraRemoteLatency)}
	for i := range n {
		region := fmt.Sprint("r-", i%fleetRegions)
		s := &Settings{ID: fmt.Sprint("h-", i), Region: region, Domain: region, RegionOf: map[string]string{region: region}, Seeds: []string{"127.0.0.1:1", "127.0.0.1:2"}}
		s.Listen.Peers = fmt.Sprint("127.0.0.1:", i+1)
		f.hosts = append(f.hosts, New(Base{Settings: s, Store: &eraClient{eraStore: store}, Decoder: textDecoder{}, Metrics: metrics.New(), Log: events.New(io.Discard, logrus.ErrorLevel, time.Now)}))
	}
	return f
}

func (f *eraFleet) run(ctx context.Context, running *sync.WaitGroup) {
	for _, h := range f.hosts {
		running.Go(func() {
			time.Sleep(rand.N(fleetSettled / 8))
			f.network.run(ctx, running, h)
		})
	}
}

// agrees reports whether all hosts hold the content of the store in its present era.
func (f *eraFleet) agrees(store *eraStore) bool {
	want := f.hosts[0].reader.Mark(inventory.Servers)
	store.mu.Lock()
	era, servers := store.position.Era, store.servers
	store.mu.Unlock()
	for _, h := range f.hosts {
		for _, c := range inventory.WatchedCollections {
			if h.reader.Mark(c).AsOf.Era != era {
				return false
			}
		}
		if !h.reader.Mark(inventory.Servers).SameContent(want) {
			return false
		}
	}
	return len(f.hosts[0].reader.Snapshot(inventory.Servers).Objects) == servers
}

// Guards against hosts that use the content of an earlier era for longer than a change
// may take.
func TestHostsAgreeOnALaterEraInTime(t *testing.T) {
	const bound = time.Second
	for _, size := range []fleetSize{{2, 6}, {22, 32}, {195, 900}} {
		for _, gone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v gone=%v", size, gone), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := &eraStore{position: model.Position{Era: 1, Revision: 100}, servers: size.servers, goneAfter: 200, restored: make(chan struct{})}
					f := newEraFleet(size.hosts, store)
					ctx, cancel := context.WithCancel(t.Context())
					var running sync.WaitGroup
					f.run(ctx, &running)
					time.Sleep(fleetSettled / 2)
					if !f.agrees(store) {
						t.Error("the hosts don't agree before the drill")
					}
					store.restore(size.servers/2, gone)
					for deadline := time.Now().Add(time.Minute); !f.agrees(store) && time.Now().Before(deadline); {
						time.Sleep(time.Millisecond)
						synctest.Wait()
					}
					store.mu.Lock()
					elapsed, calls := time.Since(store.first), store.calls
					store.mu.Unlock()
					t.Logf("agreement %v after the first response, %d calls", elapsed, calls)
					if elapsed > bound {
						t.Errorf("agreement %v after the first response, want %v", elapsed, bound)
					}
					cancel()
					running.Wait()
				})
			})
		}
	}
}
