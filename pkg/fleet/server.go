package fleet

import "time"

// ServerState is what a backend server reports of itself.
type ServerState int

// States of a backend server.
const (
	Ready ServerState = iota
	// Draining servers finish their work and get none.
	Draining
)

// BackendServer is one entry of the list of backend servers.
type BackendServer struct {
	ID      string
	Service string
	Address string
	// Domain is the failure domain, Region the region it lies in.
	Domain string
	Region string
	Slots  int
	State  ServerState
	// ColdRemaining is how much longer the server said it stays cold when it wrote
	// its entry.
	ColdRemaining time.Duration
	// StartUnixMillis is the Unix millisecond of the server's start; it tells two starts
	// under one ID apart.
	StartUnixMillis int64
	// Revision is the store's revision of the entry.
	Revision uint64
}
