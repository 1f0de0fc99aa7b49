package fleet

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// ServerState is the state that a backend server reports.
type ServerState int

// States of a backend server.
const (
	Ready ServerState = iota
	// Draining servers finish the requests they have and get no new ones.
	Draining
)

// BackendServer is an entry of the list of backend servers.
type BackendServer struct {
	ID      string
	Service string
	Address string
	// Domain is the failure domain, Region the region that contains it.
	Domain string
	Region string
	Slots  int
	State  ServerState
	// ColdRemaining is the time for which the server stays cold, as reported
	// when it wrote its entry.
	ColdRemaining time.Duration
	// StartUnixMillis is the server's start time in Unix milliseconds. It
	// distinguishes two starts under the same ID.
	StartUnixMillis int64
	// Entry is the position of the entry in the store.
	Entry model.Position
}
