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

	// firstStoreDelay is the first delay between two attempts.
	firstStoreDelay = 200 * time.Millisecond
	// maxStoreDelay is the longest delay between two attempts, without jitter. It
	// bounds the calls during a long outage and the delay until its end is noticed.
	maxStoreDelay = 3 * time.Second
	// maxRegisterDelay is the longest delay between two attempts to register. It is
	// long to spread the registrations of hosts that started during a long outage,
	// for which nothing waits.
	maxRegisterDelay = 30 * time.Second
	// watchCheckInterval is the time between two checks of whether this host has
	// become a watcher.
	watchCheckInterval = 200 * time.Millisecond
	// registerWait bounds the wait for the daemons to report their addresses.
	registerWait = 10 * time.Second
	// seedInterval is the longest time between two attempts to reach seeds that are
	// not in the view. They rejoin hosts after a partition that lasted until both
	// sides had removed each other's records.
	seedInterval = 30 * time.Second
	// settingsAttempts is the number of attempts to join by the seeds of the settings
	// before seeds are read from the store.
	settingsAttempts = 3
)

// storeBackoff returns the delays between attempts to call the store.
func storeBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstStoreDelay
	policy.MaxInterval = maxStoreDelay
	policy.RandomizationFactor = 0.5
	return policy
}

// applyObject passes a stored object to the replica. It ignores an object whose
// document can't be parsed, so that this is never in force.
func (a *Agent) applyObject(ctx context.Context, object platform.Object) {
	if object.Deleted || object.Key != envobject.Key(a.settings.Host.Environment) {
		return
	}
	stored, err := envobject.Decode(object.Value)
	if err == nil {
		_, err = document.Parse(stored.Document)
	}
	if err != nil {
		a.logRefusedConfig(object.Version, err)
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

// initialRead reads the object once after the start. It ends earlier if the peers
// provide the configuration first, such as while the store is down.
func (a *Agent) initialRead(ctx context.Context) {
	for policy := storeBackoff(); ctx.Err() == nil && !a.ready(); sleep(ctx, policy.NextBackOff()) {
		object, err := a.platform.Get(ctx, envobject.Key(a.settings.Host.Environment))
		_ = a.recordStoreCall(err)
		if errors.Is(err, platform.ErrNotFound) {
			a.mu.Lock()
			a.replica.StoreEmpty()
			a.mu.Unlock()
			return
		}
		if err == nil {
			a.applyObject(ctx, object)
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
			sleep(ctx, watchCheckInterval)
			continue
		}
		after = max(after, held)
		began := time.Now()
		objects, err := a.platform.Watch(ctx, envobject.Key(a.settings.Host.Environment), after)
		if a.recordStoreCall(err) != nil {
			// The time that the call took counts as part of the delay.
			sleep(ctx, policy.NextBackOff()-time.Since(began))
			continue
		}
		policy.Reset()
		for _, object := range objects {
			after = max(after, object.Version)
			a.applyObject(ctx, object)
		}
	}
}

// register writes this host's record once per start.
func (a *Agent) register(ctx context.Context) {
	for start := time.Now(); ctx.Err() == nil && time.Since(start) < registerWait; sleep(ctx, watchCheckInterval) {
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

// registerOnce tries to write this host's record and reports whether no further
// attempt is needed: this record or that of a later start is in the store. A write
// without a response is resolved by the read of the next attempt.
func (a *Agent) registerOnce(ctx context.Context) bool {
	self := a.selfRecord()
	key := hostKeyPrefix + a.settings.Host.Environment + "/" + string(self.Host)
	object, err := a.platform.Get(ctx, key)
	_ = a.recordStoreCall(err)
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
	return a.recordStoreCall(err) == nil
}

func (a *Agent) selfRecord() model.HostRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.Self()
}

// joinLoop requests all records from seeds until other hosts are in the view.
// After that it tries seeds that are missing from the view.
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

// missingSeeds returns the agents of the settings that are not in the view. alone
// reports whether no other live host is in the view.
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

// storedSeeds returns the agents that are registered in the store: those that are
// in the host list, or all if there are none.
func (a *Agent) storedSeeds(ctx context.Context) []string {
	objects, err := a.platform.List(ctx, hostKeyPrefix+a.settings.Host.Environment+"/")
	_ = a.recordStoreCall(err)
	if err != nil {
		return nil
	}
	listed := make(map[string]bool)
	if machines, err := a.platform.Machines(ctx); a.recordStoreCall(err) == nil {
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
