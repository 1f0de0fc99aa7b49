package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
)

// Key describes one key of the settings file.
type Key struct {
	Section, Name string
	// Default is the text of the value of a missing key. A required key has none.
	Default  string
	Required bool
	// Help describes the key for operators.
	Help string

	read   func(*Settings, inicheck.Section, string)
	format func(*Settings) string
}

// Keys returns the descriptions of all keys in the order of the file.
func Keys() []Key { return append([]Key(nil), table...) }

// sectionNames are the sections in the order of the file.
var sectionNames = []string{"host", "listen", "store", "peers", "limits"}

// Ranges of the limits. Sizes are in bytes.
const (
	maxBody        = 64 << 20
	maxFrame       = 80 << 20
	minHeader      = 1 << 10
	maxHeader      = 1 << 20
	maxConnections = 1_000_000
	maxQueue       = 10_000_000
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
)

var table = []Key{
	identifier("host", "id", "Name of this host, unique in the environment.",
		func(s *Settings) *string { return (*string)(&s.Host.ID) }),
	identifier("host", "environment", "Environment whose document this host applies: trial or production.",
		func(s *Settings) *string { return &s.Host.Environment }),
	identifier("host", "region", "Region of this host.",
		func(s *Settings) *string { return (*string)(&s.Host.Region) }),
	identifier("host", "failure-domain", "Failure domain of this host.",
		func(s *Settings) *string { return (*string)(&s.Host.FailureDomain) }),

	address("callers", true, "Entry daemon: requests of callers.", func(s *Settings) *string { return &s.Listen.Callers }),
	address("peers", true, "Entry daemon: other entry hosts.", func(s *Settings) *string { return &s.Listen.Peers }),
	address("lookup", true, "Lookup daemon: lookups of callers.", func(s *Settings) *string { return &s.Listen.Lookup }),
	address("agent", true, "Agent: other agents and the daemons of this host.", func(s *Settings) *string { return &s.Listen.Agent }),
	address("operators", true, "Agent: operators' API.", func(s *Settings) *string { return &s.Listen.Operators }),
	address("agent-metrics", false, "Agent: expvar metrics. Not served if missing.", func(s *Settings) *string { return &s.Listen.AgentMetrics }),
	address("entry-metrics", false, "Entry daemon: expvar metrics. Not served if missing.", func(s *Settings) *string { return &s.Listen.EntryMetrics }),
	address("lookup-metrics", false, "Lookup daemon: expvar metrics. Not served if missing.", func(s *Settings) *string { return &s.Listen.LookupMetrics }),

	{
		Section: "store", Name: "url", Required: true, Help: "Platform's store.",
		read:   func(s *Settings, in inicheck.Section, key string) { s.Store.URL = readURL(in, key) },
		format: func(s *Settings) string { return s.Store.URL },
	},
	{
		Section: "peers", Name: "agents", Help: "Agents to query while the store is down, separated by commas; list agents of at least two failure domains.",
		read:   func(s *Settings, in inicheck.Section, key string) { s.Peers.Agents = in.Addresses(key) },
		format: func(s *Settings) string { return strings.Join(s.Peers.Agents, ", ") },
	},

	size("body", "8 MB", 1, maxBody, "Body of a request or response.",
		func(s *Settings, v int64) { s.Limits.MaxBodyBytes = v },
		func(s *Settings) int64 { return s.Limits.MaxBodyBytes }),
	size("frame", "9 MB", 1, maxFrame, "Frame between processes; at least the body limit plus 64 KB.",
		func(s *Settings, v int64) { s.Limits.MaxFrameBytes = int(v) },
		func(s *Settings) int64 { return int64(s.Limits.MaxFrameBytes) }),
	size("header", "16 KB", minHeader, maxHeader, "Header of an HTTP request.",
		func(s *Settings, v int64) { s.Limits.MaxHeaderBytes = int(v) },
		func(s *Settings) int64 { return int64(s.Limits.MaxHeaderBytes) }),
	count("connections", "4096", maxConnections, "Open connections of one listener.", func(s *Settings) *int { return &s.Limits.MaxConnections }),
	count("queue", "20000", maxQueue, "Requests that wait on this host over all services.", func(s *Settings) *int { return &s.Limits.MaxQueue }),
	timeout("header-timeout", "5s", "Time to send a header.", func(s *Settings) *time.Duration { return &s.Limits.HeaderTimeout }),
	timeout("body-timeout", "30s", "Time to send a whole request.", func(s *Settings) *time.Duration { return &s.Limits.BodyTimeout }),
	timeout("idle-timeout", "1m", "Time after which an unused connection is closed.", func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
}

func identifier(section, name, help string, field func(*Settings) *string) Key {
	return Key{
		Section: section, Name: name, Required: true, Help: help,
		read:   func(s *Settings, in inicheck.Section, key string) { *field(s) = in.Identifier(key) },
		format: func(s *Settings) string { return *field(s) },
	}
}

func address(name string, required bool, help string, field func(*Settings) *string) Key {
	return Key{
		Section: "listen", Name: name, Required: required, Help: help,
		read:   func(s *Settings, in inicheck.Section, key string) { *field(s) = in.Address(key) },
		format: func(s *Settings) string { return *field(s) },
	}
}

func size(name, defaultText string, lowest, highest int64, help string, set func(*Settings, int64), get func(*Settings) int64) Key {
	return Key{
		Section: "limits", Name: name, Default: defaultText, Help: help,
		read:   func(s *Settings, in inicheck.Section, key string) { set(s, in.Size(key, lowest, highest)) },
		format: func(s *Settings) string { return inicheck.FormatSize(get(s)) },
	}
}

func count(name, defaultText string, highest int, help string, field func(*Settings) *int) Key {
	return Key{
		Section: "limits", Name: name, Default: defaultText, Help: help,
		read:   func(s *Settings, in inicheck.Section, key string) { *field(s) = in.Integer(key, 1, highest) },
		format: func(s *Settings) string { return strconv.Itoa(*field(s)) },
	}
}

func timeout(name, defaultText, help string, field func(*Settings) *time.Duration) Key {
	return Key{
		Section: "limits", Name: name, Default: defaultText, Help: help,
		read: func(s *Settings, in inicheck.Section, key string) {
			*field(s) = in.Duration(key, minTimeout, maxTimeout)
		},
		format: func(s *Settings) string { return field(s).String() },
	}
}
