package capacity

// Design size: the largest installation that the system is designed for.
const (
	Hosts            = 6_100
	ClientBlocks     = 160_000
	Sites            = 3_500
	LookupsPerSecond = 14_000_000
	Regions          = 25
	FailureDomains   = 65
	ChangesPerDay    = 54_000
	FailuresPerDay   = 25
	RestartsPerDay   = 310
)

// Limits of the control work of one host, and of the store.
const (
	limitCorePercent     = 2.4
	limitMemoryBytes     = 256 << 20
	limitBytesPerSecond  = 5_000
	limitReadsPerSecond  = 2_000
	limitWritesPerSecond = 300 // stated as "several hundred"
	limitStoreValueBytes = 1 << 20
)

// Assumptions, which the page states.
const (
	// MeasuredRegions is the number of regions measured per client block.
	MeasuredRegions   = 3
	secondsPerDay     = 86_400
	cacheSeconds      = 10
	probesPerSecond   = 2
	watchersPerDomain = 2
	watchSeconds      = 2
	feedFanout        = 8
	// statesPerFailure and statesPerRestart are the numbers of changes of a host
	// record that the agents replicate per failure and per restart.
	statesPerFailure = 2
	statesPerRestart = 4
	// keepAliveBytesPerSecond is the traffic of an idle connection: each second
	// a ping and its reply from either side, each of 12 bytes and 52 bytes of
	// TCP and IP headers.
	keepAliveBytesPerSecond = 4 * (12 + 52)
	// largeFleet and smallFleet are the numbers of agents of one region at which
	// the traffic of idle agents is measured.
	largeFleet = 24
	smallFleet = 8
	// objectBytes is the size of a host registration as JSON in the store.
	objectBytes = 400
)
