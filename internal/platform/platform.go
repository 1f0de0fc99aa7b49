// Package platform has the interfaces to the platform's object store, host list
// and latency measurements, and their HTTP client.
package platform

import (
	"context"
	"errors"
	"time"
)

// Object is one object of the store. Versions are unique in the store and
// rise with every write.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// AnyVersion makes a write unconditional. CreateOnly requires that the object
// does not exist.
const (
	CreateOnly uint64 = 0
	AnyVersion        = ^uint64(0)
)

// MachineState is a state in the platform's host list.
type MachineState string

// States of the host list.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the platform's host list: a host of wisteriacrank or a
// backend server. The list lags behind the machines' actual states.
type Machine struct {
	Name    string       `json:"name"`
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// Latency is one measurement of the platform between a client block and a
// region.
type Latency struct {
	Block    string    `json:"block"`
	Region   string    `json:"region"`
	Millis   float64   `json:"millis"`
	Measured time.Time `json:"measured"`
}

// Errors of the store. ErrUncertain means that a write failed but may have taken
// effect: its response was lost, or the store responded with an error.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object has another version")
	ErrUnavailable = errors.New("store unavailable")
	ErrUncertain   = errors.New("write outcome unknown")
)

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes if the object has version ifVersion and returns the new version.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// Watch waits until an object under prefix has a version above after and
	// returns the changed objects. It returns none once the store's own time
	// limit is over.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
}

// HostList is the platform's lagging list of live and leaving machines.
type HostList interface {
	Machines(ctx context.Context) ([]Machine, error)
}

// Measurements are the platform's latency measurements. They lag, and may stop
// being updated.
type Measurements interface {
	Latencies(ctx context.Context) ([]Latency, error)
}

// Platform combines the interfaces of the platform.
type Platform interface {
	Store
	HostList
	Measurements
}
