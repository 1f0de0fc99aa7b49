package operator

import (
	"context"
	_ "embed"
	"errors"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/statechart"
)

//go:embed promotion.ini
var promotionText string

var promotionChart = statechart.MustLoad("promotion.ini", promotionText, statechart.Vocabulary{
	States: []string{stateSubmitted, stateReading, stateWriting, stateResolving, stateRewriting,
		stateAccepted, stateConflict, stateRefused, stateUnavailable, stateUnresolved},
	Events: []string{eventValid, eventInvalid, eventBase, eventRepeated, eventSuperseded, eventTooLarge,
		eventWritten, eventRejected, eventNoAnswer, eventStoreDown, eventExhausted},
	Actions: []string{actionRead, actionWrite},
})

// States, events and actions of promotion.ini.
const (
	stateSubmitted   = "submitted"
	stateReading     = "reading"
	stateWriting     = "writing"
	stateResolving   = "resolving"
	stateRewriting   = "rewriting"
	stateAccepted    = "accepted"
	stateConflict    = "conflict"
	stateRefused     = "refused"
	stateUnavailable = "unavailable"
	stateUnresolved  = "unresolved"

	eventValid      = "valid"
	eventInvalid    = "invalid"
	eventBase       = "base"
	eventRepeated   = "repeated"
	eventSuperseded = "superseded"
	eventTooLarge   = "too-large"
	eventWritten    = "written"
	eventRejected   = "rejected"
	eventNoAnswer   = "no-answer"
	eventStoreDown  = "store-down"
	eventExhausted  = "exhausted"

	actionRead  = "read"
	actionWrite = "write"
)

// maxWrites is the number of times that one promotion sends its write.
const maxWrites = 3

// promotion writes one change to the store. It isn't safe for concurrent use.
type promotion struct {
	store   platform.Store
	key     string
	change  envobject.Change
	base    uint64
	machine *statechart.Machine

	value  []byte
	writes int
	// object and version are those of the last read.
	object  *envobject.Object
	version uint64
	// newVersion is the version that the write created.
	newVersion uint64
	err        error
}

func newPromotion(store platform.Store, key string, base uint64, change envobject.Change) *promotion {
	return &promotion{store: store, key: key, base: base, change: change, machine: promotionChart.New()}
}

// run runs the state chart to a final state and returns that state.
func (p *promotion) run(ctx context.Context, event string) string {
	for {
		actions, ok := p.machine.Fire(event)
		if !ok || len(actions) == 0 {
			return p.machine.State()
		}
		event = p.perform(ctx, actions[0])
	}
}

func (p *promotion) perform(ctx context.Context, action string) string {
	if action == actionWrite {
		return p.write(ctx)
	}
	if err := p.read(ctx); err != nil {
		p.err = err
		return eventStoreDown
	}
	return p.evaluate()
}

// read reads the object. A missing object has version platform.CreateOnly.
func (p *promotion) read(ctx context.Context) error {
	stored, err := p.store.Get(ctx, p.key)
	if errors.Is(err, platform.ErrNotFound) || (err == nil && stored.Deleted) {
		p.object, p.version = nil, platform.CreateOnly
		return nil
	}
	if err != nil {
		return err
	}
	object, err := envobject.Decode(stored.Value)
	if err != nil {
		return err
	}
	p.object, p.version = &object, stored.Version
	return nil
}

// evaluate compares the object that was read with the promotion and returns the
// resulting event.
func (p *promotion) evaluate() string {
	if p.object != nil {
		if version, ok := p.object.Find(p.change.WriteID, p.version); ok {
			p.newVersion = version
			return eventRepeated
		}
	}
	if p.version != p.base {
		return eventSuperseded
	}
	if p.writes >= maxWrites {
		return eventExhausted
	}
	if p.value == nil {
		return p.encode()
	}
	return eventBase
}

// encode sets the value once, so that all writes of the promotion are identical.
func (p *promotion) encode() string {
	p.value, p.err = envobject.Next(p.object, p.version, p.change).Encode()
	if p.err == nil && len(p.value) > envobject.MaxBytes {
		p.err = result.Errorf(result.DocumentInvalid, "the object has %d bytes, the store accepts %d", len(p.value), envobject.MaxBytes)
	}
	if p.err != nil {
		return eventTooLarge
	}
	return eventBase
}

func (p *promotion) write(ctx context.Context) string {
	p.writes++
	version, err := p.store.Put(ctx, p.key, p.value, p.base)
	p.err = err
	switch {
	case err == nil:
		p.newVersion = version
		return eventWritten
	case errors.Is(err, platform.ErrConflict):
		return eventRejected
	case errors.Is(err, platform.ErrUncertain):
		return eventNoAnswer
	default:
		return eventStoreDown
	}
}

// winner returns the newest accepted change.
func (p *promotion) winner() *Winner {
	if p.object == nil {
		return nil
	}
	return &Winner{Version: p.version, Author: p.object.Latest().Author, Accepted: p.object.Accepted().UTC().Format(time.RFC3339)}
}
