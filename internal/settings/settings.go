// Package settings reads the daemons' settings file. It is apart from the
// operators' document: it says who and where this host is.
package settings

import (
	"fmt"

	"gopkg.in/ini.v1"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Settings are the settings of the daemons of one host.
type Settings struct {
	Host   Host
	Listen Listen
	Store  Store
	Peers  Peers
	Limits Limits
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
	// Callers and Peers belong to the entry daemon.
	Callers string
	Peers   string
	Lookup  string
	Agent   string
	// Operators is the agent's operator API.
	Operators string
	// EntryMetrics and the other metrics addresses serve expvar.
	EntryMetrics  string
	LookupMetrics string
}

// Store is the section [store].
type Store struct {
	URL string
}

// Peers is the section [peers]: agents to ask while the host list is not
// available.
type Peers struct {
	Agents []string
}

// Limits is the section [limits].
type Limits struct {
	MaxBodyBytes   int64
	MaxFrameBytes  int
	MaxConnections int
}

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxFrameBytes  = 9 << 20
	defaultMaxConnections = 4096
)

// Load reads a settings file.
func Load(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	host, listen := file.Section("host"), file.Section("listen")
	s := &Settings{
		Host: Host{
			ID:            model.HostID(host.Key("id").String()),
			Environment:   host.Key("environment").String(),
			Region:        model.Region(host.Key("region").String()),
			FailureDomain: model.FailureDomain(host.Key("failure-domain").String()),
		},
		Listen: Listen{
			Callers:       listen.Key("callers").String(),
			Peers:         listen.Key("peers").String(),
			Lookup:        listen.Key("lookup").String(),
			Agent:         listen.Key("agent").String(),
			Operators:     listen.Key("operators").String(),
			EntryMetrics:  listen.Key("entry-metrics").String(),
			LookupMetrics: listen.Key("lookup-metrics").String(),
		},
		Store:  Store{URL: file.Section("store").Key("url").String()},
		Peers:  Peers{Agents: file.Section("peers").Key("agents").Strings(",")},
		Limits: Limits{MaxBodyBytes: defaultMaxBodyBytes, MaxFrameBytes: defaultMaxFrameBytes, MaxConnections: defaultMaxConnections},
	}
	return s, nil
}
