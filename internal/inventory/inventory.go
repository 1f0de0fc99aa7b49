// Package inventory keeps the host's picture of the configuration, the backend
// servers and the evacuations, which it reads from the platform's store.
//
// While the store is away the last picture stays in force. Entries of servers
// that lapsed meanwhile are kept for a short time after its return, within
// which living servers register again.
package inventory

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
)

// Collection is a group of objects in the store.
type Collection int

// Collections that a host reads.
const (
	Configuration Collection = iota
	Servers
	Evacuations
	// Hosts is this system's own collection: the addresses of its hosts.
	Hosts
)

// WatchedCollections are those that are watched.
var WatchedCollections = []Collection{Configuration, Servers, Evacuations}

// String returns the collection's name as it is logged.
func (c Collection) String() string {
	return [...]string{"configuration", "servers", "evacuations", "hosts"}[c]
}

// Object is one object as the store holds it.
type Object struct {
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Batch is a listing of a whole collection, or the changes since a revision.
type Batch struct {
	Objects []Object
	// Revision is where the next watch continues.
	Revision uint64
}

// Errors of a Source.
var (
	// ErrHistoryGone means that a watch has to start with a new listing.
	ErrHistoryGone = errors.New("history of the store is gone")
	// ErrUnavailable means that the store did not answer or turned this host away.
	ErrUnavailable = errors.New("store unavailable")
)

// Source reads the store.
type Source interface {
	List(ctx context.Context, c Collection) (Batch, error)
	// Watch returns when there are changes after the revision, or none for long.
	Watch(ctx context.Context, c Collection, after uint64) (Batch, error)
	// Probe returns nil if the store serves this host. It is cheap.
	Probe(ctx context.Context) error
}

// Decoder turns the bodies of objects into the types of the product.
type Decoder interface {
	Config(o Object) (*fleet.Config, error)
	Server(o Object) (fleet.BackendServer, error)
}

// View is a picture of the fleet. It is immutable.
type View struct {
	// Config is nil until one is known.
	Config *fleet.Config
	// Sender is the peer that sent the latest change; empty if this host read it
	// from the store.
	Sender string
	// Servers are the listed servers, draining ones included.
	Servers map[string]fleet.BackendServer
	// Evacuated are the failure domains that get no requests.
	Evacuated map[string]bool
	// ReleasedAt is when a failure domain was last taken back.
	ReleasedAt map[string]time.Time
}
