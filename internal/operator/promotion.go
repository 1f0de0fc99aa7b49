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

// Names of the chart.
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

// maxWrites bounds how often one promotion sends its write.
const maxWrites = 3

// promotion carries one change to the store. It is used by one goroutine.
type promotion struct {
	store   platform.Store
	key     string
	change  envobject.Change
	base    uint64
	machine *statechart.Machine

	value  []byte
	writes int
	// object and version are what the last read found.
	object  *envobject.Object
	version uint64
	// made is the version that the write made.
	made uint64
	err  error
}

func newPromotion(store platform.Store, key string, base uint64, change envobject.Change) *promotion {
	return &promotion{store: store, key: key, base: base, change: change, machine: promotionChart.New()}
}

// run follows the chart to a final state and returns it.
func (p *promotion) run(ctx context.Context, event string) string {
	for {
		actions, ok := p.machine.Fire(event)
		if !ok || len(actions) == 0 {
			return p.machine.State()
		}
		event = p.act(ctx, actions[0])
	}
}

func (p *promotion) act(ctx context.Context, action string) string {
	if action == actionWrite {
		return p.write(ctx)
	}
	if err := p.read(ctx); err != nil {
		p.err = err
		return eventStoreDown
	}
	return p.judge()
}

// read gets the object. A missing one has version platform.CreateOnly.
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

// judge compares the object with the promotion.
func (p *promotion) judge() string {
	if p.object != nil {
		if made, ok := p.object.Find(p.change.WriteID, p.version); ok {
			p.made = made
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
		return p.build()
	}
	return eventBase
}

// build makes the value once, so that every write of the promotion is the same.
func (p *promotion) build() string {
	p.value, p.err = envobject.Next(p.object, p.version, p.change).Encode()
	if p.err == nil && len(p.value) > envobject.MaxBytes {
		p.err = result.Errorf(result.DocumentInvalid, "the object has %d bytes, the store takes %d", len(p.value), envobject.MaxBytes)
	}
	if p.err != nil {
		return eventTooLarge
	}
	return eventBase
}

func (p *promotion) write(ctx context.Context) string {
	p.writes++
	made, err := p.store.Put(ctx, p.key, p.value, p.base)
	p.err = err
	switch {
	case err == nil:
		p.made = made
		return eventWritten
	case errors.Is(err, platform.ErrConflict):
		return eventRejected
	case errors.Is(err, platform.ErrUncertain):
		return eventNoAnswer
	default:
		return eventStoreDown
	}
}

// winner describes the newest accepted change.
func (p *promotion) winner() *Winner {
	if p.object == nil {
		return nil
	}
	return &Winner{Version: p.version, Author: p.object.Latest().Author, Accepted: p.object.Accepted().UTC().Format(time.RFC3339)}
}
