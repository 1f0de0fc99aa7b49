package capacity

// The size to design for.
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

// Limits of one node's control work and of the store.
const (
	limitCore       = 2.4 // percent
	limitMemory     = 256 << 20
	limitBytes      = 5_000 // per second
	limitReads      = 2_000 // per second
	limitWrites     = 300   // per second; "several hundred"
	limitStoreValue = 1 << 20
)

// Assumptions of the page, which says so.
const (
	// MeasuredRegions is the number of regions measured per client block.
	MeasuredRegions = 3
	secondsPerDay   = 86_400
	cacheSeconds    = 10
	probesPerSec    = 2
	watchersPerDom  = 2
	watchSeconds    = 2
	feedFanOut      = 8
	// statesPerFailure and statesPerRestart are the record changes that spread.
	statesPerFailure = 2
	statesPerRestart = 4
	// keepAliveBytes is what a connection sends and receives per second when
	// idle: a ping and an answer from either side, each 12 bytes and 52 bytes
	// of TCP and IP headers.
	keepAliveBytes = 4 * (12 + 52)
	// quietFleet and smallFleet are the numbers of agents of one region whose
	// quiet traffic is measured.
	quietFleet = 24
	smallFleet = 8
	// objectBytes is the size of one host registration as JSON in the store.
	objectBytes = 400
)
