package agent

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/pkg/configreplica"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	hostKeyPrefix = "hosts/"

	firstStoreDelay = 200 * time.Millisecond
	// maxStoreDelay bounds the calls of a long outage and the delay after it.
	maxStoreDelay = 3 * time.Second
	// maxRegisterDelay spreads the registrations of hosts that started during
	// a long outage; nothing waits for them.
	maxRegisterDelay = 30 * time.Second
	// watchPause is the time between two checks of a host that does not watch.
	watchPause = 200 * time.Millisecond
	// registerWait gives the entry daemon time to report its addresses.
	registerWait = 10 * time.Second
	// seedInterval is the time between two attempts to reach seeds that are
	// not in the view, which heals a partition that outlasted all records.
	seedInterval = 30 * time.Second
	// settingsAttempts are made before the store is asked for seeds.
	settingsAttempts = 3
)

func storeBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstStoreDelay
	policy.MaxInterval = maxStoreDelay
	policy.RandomizationFactor = 0.5
	return policy
}

// take puts a stored object in the replica. A document that cannot be parsed
// is not put in force anywhere.
func (a *Agent) take(ctx context.Context, object platform.Object) {
	if object.Deleted || object.Key != envobject.Key(a.settings.Host.Environment) {
		return
	}
	stored, err := envobject.Decode(object.Value)
	if err == nil {
		_, err = document.Parse(stored.Document)
	}
	if err != nil {
		a.refuseConfig(object.Version, err)
		return
	}
	now := time.Now()
	a.mu.Lock()
	actions := a.replica.FromStore(now, configreplica.Snapshot{
		Generation: model.Generation(object.Version),
		Text:       stored.Document,
		Meta:       metaFromWire(stored.Meta()),
	})
	a.observeConfig(now, fromStore, "")
	a.publish(now)
	a.mu.Unlock()
	a.perform(ctx, outbox{replica: actions})
}

// firstRead reads the object once per start, unless the peers were faster
// while the store was down.
func (a *Agent) firstRead(ctx context.Context) {
	for policy := storeBackoff(); ctx.Err() == nil && !a.ready(); sleep(ctx, policy.NextBackOff()) {
		object, err := a.platform.Get(ctx, envobject.Key(a.settings.Host.Environment))
		_ = a.storeCall(err)
		if errors.Is(err, platform.ErrNotFound) {
			a.mu.Lock()
			a.replica.StoreEmpty()
			a.mu.Unlock()
			return
		}
		if err == nil {
			a.take(ctx, object)
			return
		}
	}
}

func (a *Agent) ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.replica.Ready()
}

// watchLoop watches the object while this host is a watcher.
func (a *Agent) watchLoop(ctx context.Context) {
	policy := storeBackoff()
	// after also skips versions that could not be parsed.
	after := uint64(0)
	for ctx.Err() == nil {
		a.mu.Lock()
		watches, held := a.replica.Watches(), uint64(a.replica.Current().Generation)
		a.mu.Unlock()
		if !watches {
			sleep(ctx, watchPause)
			continue
		}
		after = max(after, held)
		began := time.Now()
		objects, err := a.platform.Watch(ctx, envobject.Key(a.settings.Host.Environment), after)
		if a.storeCall(err) != nil {
			// A call that waited for its answer was a pause by itself.
			sleep(ctx, policy.NextBackOff()-time.Since(began))
			continue
		}
		policy.Reset()
		for _, object := range objects {
			after = max(after, object.Version)
			a.take(ctx, object)
		}
	}
}

// register writes this host's record once per start.
func (a *Agent) register(ctx context.Context) {
	for start := time.Now(); ctx.Err() == nil && time.Since(start) < registerWait; sleep(ctx, watchPause) {
		if self := a.selfRecord(); self.CallerAddress != "" && self.LookupAddress != "" {
			break
		}
	}
	policy := storeBackoff()
	policy.MaxInterval = maxRegisterDelay
	for ; ctx.Err() == nil; sleep(ctx, policy.NextBackOff()) {
		if a.registerOnce(ctx) {
			return
		}
	}
}

// registerOnce reports whether the record, or that of a later start, is in
// the store. A write without an answer is resolved by the next attempt's read.
func (a *Agent) registerOnce(ctx context.Context) bool {
	self := a.selfRecord()
	key := hostKeyPrefix + a.settings.Host.Environment + "/" + string(self.Host)
	object, err := a.platform.Get(ctx, key)
	_ = a.storeCall(err)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	var stored model.HostRecord
	if err == nil && json.Unmarshal(object.Value, &stored) == nil && stored.Incarnation >= self.Incarnation {
		return true
	}
	value, err := json.Marshal(self)
	if err != nil {
		return true
	}
	_, err = a.platform.Put(ctx, key, value, object.Version)
	return a.storeCall(err) == nil
}

func (a *Agent) selfRecord() model.HostRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.Self()
}

// joinLoop asks seeds for all records until this host knows others, and later
// tries seeds that are missing from the view.
func (a *Agent) joinLoop(ctx context.Context) {
	policy := storeBackoff()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		missing, alone := a.missingSeeds()
		if alone && attempt >= settingsAttempts {
			missing = append(missing, a.storedSeeds(ctx)...)
		}
		if len(missing) > 0 {
			a.join(ctx, missing[rand.IntN(len(missing))])
		}
		if _, alone := a.missingSeeds(); alone {
			sleep(ctx, policy.NextBackOff())
			continue
		}
		policy.Reset()
		sleep(ctx, seedInterval/2+rand.N(seedInterval/2))
	}
}

func (a *Agent) join(ctx context.Context, address string) {
	a.mu.Lock()
	message := a.members.JoinMessage()
	a.mu.Unlock()
	_ = a.probe(ctx, address, exchangeTimeout, message, a.members.Received)
}

// missingSeeds returns the agents of the settings that are not in the view,
// and whether this host knows no other.
func (a *Agent) missingSeeds() (missing []string, alone bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	live := a.members.Live()
	known := make(map[string]bool, len(live))
	for _, r := range live {
		known[r.AgentAddress] = true
	}
	for _, address := range a.settings.Peers.Agents {
		if !known[address] && address != a.settings.Listen.Agent {
			missing = append(missing, address)
		}
	}
	return missing, len(live) <= 1
}

// storedSeeds returns the agents that are registered in the store and that
// the host list, if it can be read, still has.
func (a *Agent) storedSeeds(ctx context.Context) []string {
	objects, err := a.platform.List(ctx, hostKeyPrefix+a.settings.Host.Environment+"/")
	_ = a.storeCall(err)
	if err != nil {
		return nil
	}
	listed := make(map[string]bool)
	if machines, err := a.platform.Machines(ctx); a.storeCall(err) == nil {
		for _, m := range machines {
			listed[m.Name] = true
		}
	}
	var preferred, others []string
	for _, object := range objects {
		var record model.HostRecord
		if json.Unmarshal(object.Value, &record) != nil || record.Host == a.settings.Host.ID || record.AgentAddress == "" {
			continue
		}
		if listed[string(record.Host)] {
			preferred = append(preferred, record.AgentAddress)
		} else {
			others = append(others, record.AgentAddress)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return others
}
