// Package settings reads and strictly checks the settings file of the daemons. The
// settings are separate from the operators' document: they define the identity,
// addresses and limits of one host.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Settings are the settings of the daemons of one host.
type Settings struct {
	Host   Host
	Listen Listen
	Store  Store
	Peers  Peers
	Limits Limits
	// defaulted has the keys that the file omits, as "section.key".
	defaulted map[string]bool
}

// Host is the section [host].
type Host struct {
	ID            model.HostID
	Environment   string
	Region        model.Region
	FailureDomain model.FailureDomain
}

// Listen is the section [listen]: the addresses of the daemons.
type Listen struct {
	// Callers and Peers are addresses of the entry daemon.
	Callers string
	Peers   string
	Lookup  string
	Agent   string
	// Operators is the agent's operator API.
	Operators string
	// AgentMetrics, EntryMetrics and LookupMetrics are the addresses of the metrics
	// servers. A daemon whose address is empty serves no metrics.
	AgentMetrics  string
	EntryMetrics  string
	LookupMetrics string
}

// Store is the section [store].
type Store struct {
	URL string
}

// Peers is the section [peers]: agents to query while the host list is not
// available.
type Peers struct {
	Agents []string
}

// Limits is the section [limits].
type Limits struct {
	// MaxBodyBytes bounds the body of a request or response, MaxFrameBytes a frame
	// between processes, and MaxHeaderBytes the header of an HTTP request.
	MaxBodyBytes   int64
	MaxFrameBytes  int
	MaxHeaderBytes int
	// MaxConnections bounds the open connections of one listener.
	MaxConnections int
	// MaxQueue bounds the requests that wait on this host over all services.
	MaxQueue int
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send a
	// header and a whole request; IdleTimeout closes unused connections.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
}

// Load reads a settings file. The error lists every fault of the file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, faults := Check(path, string(text))
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// DefaultLimits returns the limits of a file without the section [limits].
func DefaultLimits() Limits {
	s := &Settings{}
	checker := inicheck.New("defaults")
	readSection(checker, s, missingSection(checker, "limits"))
	return s.Limits
}
