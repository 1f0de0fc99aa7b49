// Package inventory keeps the host's view of the configuration, the backend
// servers and the evacuations, which it reads from the platform's store or gets
// from peers.
//
// While the store is unavailable, the last view stays in effect. Servers whose
// entries expired during the outage are kept for a short time after the store has
// recovered, within which live servers register again.
package inventory

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Collection is a group of objects in the store.
type Collection int

// Collections of the store.
const (
	Configuration Collection = iota
	Servers
	Evacuations
	// Hosts is wisteriacrank's own collection: the addresses of its hosts.
	Hosts
)

// WatchedCollections are the collections that a reader of the store watches.
var WatchedCollections = []Collection{Configuration, Servers, Evacuations}

// IsWatched reports whether a reader of the store watches the collection. It is
// false for a number that another program sent and that is no collection.
func (c Collection) IsWatched() bool { return slices.Contains(WatchedCollections, c) }

// String returns the collection's name as it is logged.
func (c Collection) String() string {
	names := [...]string{"configuration", "servers", "evacuations", "hosts"}
	if c < 0 || int(c) >= len(names) {
		return "unknown collection " + strconv.Itoa(int(c))
	}
	return names[c]
}

// Object is one object of the store.
type Object struct {
	Name string
	// Position is where the object was changed last. Its era is that of the listing or
	// the change with which the object was read.
	Position model.Position
	Body     json.RawMessage
	Deleted  bool
}

// Batch is a listing of a whole collection, or the changes since a position.
type Batch struct {
	Objects []Object
	// Position is where the next watch continues.
	Position model.Position
}

// countAfter returns the number of objects that were changed after a position.
func (b Batch) countAfter(at model.Position) (count int) {
	for _, o := range b.Objects {
		if o.Position.After(at) {
			count++
		}
	}
	return count
}

// InEra returns the batch and its objects with their positions in the era.
func (b Batch) InEra(era model.Era) Batch {
	objects := make([]Object, len(b.Objects))
	for i, o := range b.Objects {
		o.Position.Era = era
		objects[i] = o
	}
	return Batch{Objects: objects, Position: model.Position{Era: era, Revision: b.Position.Revision}}
}

// Errors of a Source.
var (
	// ErrHistoryGone means that a watch has to start with a new listing.
	ErrHistoryGone = errors.New("history of the store is gone")
	// ErrUnavailable means that the store did not respond or refused the call.
	ErrUnavailable = errors.New("store unavailable")
)

// Source reads the store. A response that states no valid era belongs to the one that was
// stated last, or to era 0 if none was.
type Source interface {
	// List returns a whole collection.
	List(ctx context.Context, c Collection) (Batch, error)
	// Watch returns the changes after the position as soon as there are any, or
	// none after a time that the Source chooses. The batch belongs to a later era if
	// the store has come back from an older copy while the watch waited.
	Watch(ctx context.Context, c Collection, after model.Position) (Batch, error)
	// Changes returns the changes after the position at once.
	Changes(ctx context.Context, c Collection, after model.Position) (Batch, error)
	// Probe returns no error if the store serves this host. It costs less than the
	// other calls. The position may be seconds old.
	Probe(ctx context.Context) (model.Position, error)
	// OnEra sets the function that is called with the era in each response of the
	// store, also to calls that failed, before the call returns. stated is false if
	// the response did not state a valid one.
	OnEra(observe func(era model.Era, stated bool))
}

// Decoder decodes the bodies of objects.
type Decoder interface {
	Config(o Object) (*fleet.Config, error)
	Server(o Object) (fleet.BackendServer, error)
}

// View is the fleet as this host sees it. It is immutable.
type View struct {
	// Config is nil until a configuration has been read.
	Config *fleet.Config
	// Sender is the peer that sent the latest change; empty if this host read it
	// from the store.
	Sender string
	// Servers are the listed servers, draining ones included.
	Servers map[string]fleet.BackendServer
	// Changed are the IDs of the servers that were added, changed or removed since
	// the view before, so that the cost of a change does not grow with the list.
	Changed []string
	// Evacuated are the failure domains that get no requests.
	Evacuated map[string]bool
	// ReleasedAt is when the evacuation of a failure domain last ended.
	ReleasedAt map[string]time.Time
}
