package capacity

import "fmt"

const (
	nanosPerSecond   = 1e9
	percent          = 100
	bytesPerMB       = 1 << 20
	hostsPerDomain   = (Hosts + FailureDomains - 1) / FailureDomains
	changesPerSecond = float64(ChangesPerDay) / secondsPerDay
	// recordChangesPerDay is the number of changes of host records per day that
	// the agents replicate.
	recordChangesPerDay = FailuresPerDay*statesPerFailure + RestartsPerDay*statesPerRestart
)

// corePercent returns the percentage of one core that an operation of the given
// processor time takes at a rate.
func corePercent(nanos, perSecond float64) float64 {
	return nanos * perSecond / nanosPerSecond * percent
}

func (b *tableBuilder) lookup() []row {
	perHost := float64(LookupsPerSecond) / Hosts
	http, response := b.get(httpNanos, ClientBlocks), b.get(responseBytes, ClientBlocks)
	block, site := b.get(blockBytes, ClientBlocks), b.get(siteBytes, 10*Sites)
	hosts := b.get(hostsBytes, Hosts)
	measurement, measurements := b.get(measurementNanos, ClientBlocks), float64(ClientBlocks*MeasuredRegions)
	weights, all, change := b.get(rebuildWeight, ClientBlocks), b.get(rebuildAll, ClientBlocks), b.get(rebuildOther, ClientBlocks)
	hostChanges := float64(recordChangesPerDay) / secondsPerDay
	return []row{
		{"Look-ups per node", fmt.Sprintf("%s / %s", groupDigits(fmt.Sprint(LookupsPerSecond)), groupDigits(fmt.Sprint(Hosts))), perHost, "per s", 0, "every node answers; callers cache for 10 s"},
		{"Table look-up with its text", fmt.Sprintf("%s ns × %s per s", formatNumber(b.get(tableNanos, ClientBlocks)), formatNumber(perHost)), corePercent(b.get(tableNanos, ClientBlocks), perHost), "% of a core", 0, "immutable table, no lock, no allocation"},
		{"HTTP path, client included", fmt.Sprintf("%s ns × %s per s", formatNumber(http), formatNumber(perHost)), corePercent(http, perHost), "% of a core", 0, "work for callers, not control; the client runs elsewhere"},
		{"Answers sent", fmt.Sprintf("%s bytes × %s per s", formatNumber(response), formatNumber(perHost)), response * perHost, "bytes/s", 0, "work for callers, not control; at most 8 hosts per answer"},
		{"Memory of the table", fmt.Sprintf("(%s × %s + %s × %s + %s) bytes", groupDigits(fmt.Sprint(ClientBlocks)), formatNumber(block), groupDigits(fmt.Sprint(Sites)), formatNumber(site), formatNumber(hosts)), (ClientBlocks*block + Sites*site + hosts) / bytesPerMB, "MB", limitMemoryBytes / bytesPerMB, "sites share the blocks; two tables share what did not change"},
		{"Rebuild after a host change", fmt.Sprintf("%s ns × %s per day", formatNumber(b.get(rebuildHost, ClientBlocks)), groupDigits(fmt.Sprint(recordChangesPerDay))), corePercent(b.get(rebuildHost, ClientBlocks), hostChanges), "% of a core", limitCorePercent, "only the region's host lists are rebuilt"},
		{"Configuration change outside regions and blocks", fmt.Sprintf("%s ns × %s per s", formatNumber(change), formatNumber(changesPerSecond)), corePercent(change, changesPerSecond), "% of a core", limitCorePercent, "blocks and host lists are shared; parsing not included"},
		{"Configuration change of regions or blocks", fmt.Sprintf("%s ns × %s per s", formatNumber(all), formatNumber(changesPerSecond)), corePercent(all, changesPerSecond), "% of a core", limitCorePercent, "to be done if every change were one: replace single blocks"},
		{"Ramp of weights or moves, move-interval 10 s", fmt.Sprintf("%s ns × 0.1 per s", formatNumber(weights)), corePercent(weights, 0.1), "% of a core", limitCorePercent, "a build at the end of an interval; each second would take ten times as much"},
		{"Measurements, all blocks once per minute", fmt.Sprintf("%s ns × %s / 60 s", formatNumber(measurement), formatNumber(measurements)), corePercent(measurement, measurements/60), "% of a core", limitCorePercent, "filter per block and region"},
	}
}

func (b *tableBuilder) entry() []row {
	record := b.get(recordBytes, 1)
	call, session := b.get(callNanos, bodySizes[0]), b.get(sessionBytes, sessionCount)
	peers := float64(Hosts) / Regions
	return []row{
		{"Membership records", fmt.Sprintf("%s × %s bytes as messages", groupDigits(fmt.Sprint(Hosts)), formatNumber(record)), Hosts * record / bytesPerMB, "MB", limitMemoryBytes / bytesPerMB, "fed by the agent of the host"},
		{"Sessions to the hosts of the region", fmt.Sprintf("%s / %d × %s bytes", groupDigits(fmt.Sprint(Hosts)), Regions, formatNumber(session)), peers * session / bytesPerMB, "MB", limitMemoryBytes / bytesPerMB, "one session per pair, both ends measured"},
		{"Keepalives of these sessions", fmt.Sprintf("%s × %d bytes", formatNumber(peers), keepAliveBytesPerSecond), peers * keepAliveBytesPerSecond, "bytes/s", limitBytesPerSecond, "`IdleTimeout` of the client closes those without calls; a pair with calls keeps its session"},
		{"Forwarded call", fmt.Sprintf("%s ns at %d bytes", formatNumber(call), bodySizes[0]), call / 1000, "µs", 0, "one stream per call; both ends measured"},
		{"Forwarded upload", fmt.Sprintf("%s ns at 64 KB", formatNumber(b.get(callNanos, bodySizes[1]))), b.get(callNanos, bodySizes[1]) / 1000, "µs", 0, "pieces of 32 KB; both ends measured"},
	}
}

func (b *tableBuilder) agent() []row {
	probe, probeNanos := b.getUnit("membership.Probe", Hosts, "bytes/op"), b.getUnit("membership.Probe", Hosts, "ns/op")
	change := b.getUnit("membership.Change.fanout=3", 250, "bytes/op")
	config := b.getUnit("configreplica.Change.fanout=8", 100, "bytes/op")
	root := b.getUnit("configreplica.Change.fanout=8", 100, "root-bytes/op")
	open, record := b.get(dialNanos, 1), b.get(recordBytes, 1)
	idle := b.getUnit("agent.QuietAgent", largeFleet, "bytes/s")
	probeBytes, changeBytes := probe*probesPerSecond, change*recordChangesPerDay/secondsPerDay
	feedBytes := root / watchersPerDomain * changesPerSecond
	total := idle + changeBytes + feedBytes
	return []row{
		{"Messages of probes", fmt.Sprintf("%s bytes × %d per s", formatNumber(probe), probesPerSecond), probeBytes, "bytes/s", limitBytesPerSecond, "SWIM-style: one member per 500 ms at any size"},
		{"Quiet agent, with sessions and packet headers", fmt.Sprintf("highest of %d agents", largeFleet), idle, "bytes/s", limitBytesPerSecond, "quiet sessions: greeting with the first call, no keepalives; 52 bytes per segment are estimated"},
		{"Changes of host records", fmt.Sprintf("%s bytes × %s per day", formatNumber(change), groupDigits(fmt.Sprint(recordChangesPerDay))), changeBytes, "bytes/s", limitBytesPerSecond, "changed records only; measured at 250 members, the largest size"},
		{"Configuration, member", fmt.Sprintf("%s bytes × %s per s", formatNumber(config), formatNumber(changesPerSecond)), config * changesPerSecond, "bytes/s", limitBytesPerSecond, "changed sections only; measured at 100 members of a failure domain"},
		{"Configuration, watcher", fmt.Sprintf("%s bytes / %d × %s per s", formatNumber(root), watchersPerDomain, formatNumber(changesPerSecond)), feedBytes, "bytes/s", limitBytesPerSecond, "feed tree of fan-out 8"},
		{"Sum for a watcher", fmt.Sprintf("%s + %s + %s", formatNumber(idle), formatNumber(changeBytes), formatNumber(feedBytes)), total, "bytes/s", limitBytesPerSecond, "sessions of the feed and measurements not included"},
		{"Probe work", fmt.Sprintf("%s ns × %d per s", formatNumber(probeNanos), probesPerSecond), corePercent(probeNanos, probesPerSecond), "% of a core", limitCorePercent, "without the network"},
		{"New connection per probe", fmt.Sprintf("%s ns × %d per s", formatNumber(open), probesPerSecond), corePercent(open, probesPerSecond), "% of a core", limitCorePercent, "both ends measured"},
		{"Members at 6,100 nodes", fmt.Sprintf("%s × %s bytes as messages", groupDigits(fmt.Sprint(Hosts)), formatNumber(record)), Hosts * record / bytesPerMB, "MB", limitMemoryBytes / bytesPerMB, "memory of the view itself not measured"},
	}
}

func (b *tableBuilder) store() []row {
	watches := float64(FailureDomains * watchersPerDomain)
	few := b.getUnit("agent.QuietAgent", smallFleet, "store-calls/s")
	many := b.getUnit("agent.QuietAgent", largeFleet, "store-calls/s")
	return []row{
		{"Polls of the host list and of measurements", fmt.Sprintf("%s per s and region × %d", formatNumber(many), Regions), many * Regions, "calls/s", limitReadsPerSecond, fmt.Sprintf("one host per region polls: %s per s at %d hosts, %s at %d", formatNumber(few), smallFleet, formatNumber(many), largeFleet)},
		{"Waiting watches", fmt.Sprintf("%d × %d", FailureDomains, watchersPerDomain), watches, "calls", limitReadsPerSecond, "two watchers per failure domain"},
		{"Watches that end with a change", fmt.Sprintf("%s × %s per s", formatNumber(watches), formatNumber(changesPerSecond)), watches * changesPerSecond, "calls/s", limitReadsPerSecond, "each watcher waits again"},
		{"Watches that end without one", fmt.Sprintf("%s / %d s", formatNumber(watches), watchSeconds), watches / float64(watchSeconds), "calls/s", limitReadsPerSecond, "a watch waits for 2 s, so that a silent store shows within 5 s"},
		{"Promotions", fmt.Sprintf("%s / day", groupDigits(fmt.Sprint(ChangesPerDay))), changesPerSecond, "writes/s", limitWritesPerSecond, "one conditional write each"},
		{"Registrations", fmt.Sprintf("(%d + %d) / day", FailuresPerDay, RestartsPerDay), float64(FailuresPerDay+RestartsPerDay) / secondsPerDay, "writes/s", limitWritesPerSecond, "one write per start"},
		{"All hosts start at once, within 60 s", fmt.Sprintf("%s / 60 s", groupDigits(fmt.Sprint(Hosts))), float64(Hosts) / 60, "writes/s", limitWritesPerSecond, "jittered backoff"},
		{"All agents poll (code before the feed tree)", fmt.Sprintf("%s × 3 per s", groupDigits(fmt.Sprint(Hosts))), Hosts * 3, "calls/s", limitReadsPerSecond, "replaced by watchers and the feed tree"},
	}
}

func (b *tableBuilder) callers() []row {
	response := b.get(responseBytes, ClientBlocks)
	active := float64(LookupsPerSecond) * cacheSeconds
	return []row{
		{"Callers with a valid answer", fmt.Sprintf("%s per s × %d s", groupDigits(fmt.Sprint(LookupsPerSecond)), cacheSeconds), active, "callers", 0, "each looks up once per cache time"},
		{"Answers received per caller", fmt.Sprintf("%s bytes / %d s", formatNumber(response), cacheSeconds), response / cacheSeconds, "bytes/s", 0, "at most 8 hosts per answer"},
		{"Memory per caller", "one answer", response, "bytes", 0, "the answer of its block"},
	}
}

func (b *tableBuilder) failures() []row {
	change := b.getUnit("membership.Change.fanout=3", 250, "bytes/op")
	record := b.get(recordBytes, 1)
	const rack = 40
	return []row{
		{"Host failures of a day", fmt.Sprintf("%d × %d changes × %s bytes", FailuresPerDay, statesPerFailure, formatNumber(change)), FailuresPerDay * statesPerFailure * change, "bytes per member and day", 0, "suspect, then dead after 2 s"},
		{"Restarts of a day", fmt.Sprintf("%d × %d changes × %s bytes", RestartsPerDay, statesPerRestart, formatNumber(change)), RestartsPerDay * statesPerRestart * change, "bytes per member and day", 0, "stopping, left, starting, ready"},
		{"State that one start asks for", fmt.Sprintf("%s × %s bytes + 1 MB document", groupDigits(fmt.Sprint(Hosts)), formatNumber(record)), Hosts*record + limitStoreValueBytes, "bytes", 0, "one join and one pull; sent by one or two peers"},
		{"Starts of a day, per member", fmt.Sprintf("%d × %s bytes / %s", RestartsPerDay+FailuresPerDay, formatNumber(Hosts*record+limitStoreValueBytes), groupDigits(fmt.Sprint(Hosts))), (RestartsPerDay + FailuresPerDay) * (Hosts*record + limitStoreValueBytes) / Hosts / secondsPerDay, "bytes/s", limitBytesPerSecond, "average; the peer that is asked exceeds the limit for minutes"},
		{"A rack of 40 hosts", fmt.Sprintf("%d × %d changes × %s bytes / 10 s", rack, statesPerFailure, formatNumber(change)), rack * statesPerFailure * change / 10, "bytes/s", limitBytesPerSecond, "spread over the 10 s in which the changes spread"},
		{"A failure domain", fmt.Sprintf("%d × %d changes × %s bytes / 10 s", hostsPerDomain, statesPerFailure, formatNumber(change)), hostsPerDomain * statesPerFailure * change / 10, "bytes/s", limitBytesPerSecond, "look-ups name the other domains of the region"},
		{"A region partitioned", fmt.Sprintf("%s / %d hosts × %d changes × %s bytes / 60 s", groupDigits(fmt.Sprint(Hosts)), Regions, statesPerFailure, formatNumber(change)), float64(Hosts) / Regions * statesPerFailure * change / 60, "bytes/s", limitBytesPerSecond, "over a minute, on either side; again when it heals"},
		{"Blocks of a dead region", fmt.Sprintf("%s / %d at 10%% of a region's share per interval", groupDigits(fmt.Sprint(ClientBlocks)), Regions), 10, "intervals if one region takes them all", 0, "move limit; callers get live hosts at once"},
	}
}

func (b *tableBuilder) gaps() []row {
	text, parse := b.get(documentText, 10_000), b.get(documentParse, 10_000)
	record := b.get(recordBytes, 1)
	const wholeState = 1 << 20
	measurements := float64(ClientBlocks * MeasuredRegions)
	const measurementBytes = 32
	return []row{
		{"Document with every client block", fmt.Sprintf("%s × %s bytes", groupDigits(fmt.Sprint(ClientBlocks)), formatNumber(text)), ClientBlocks * text, "bytes", limitStoreValueBytes, "declare blocks only where they differ from a shorter one; measured blocks need no section"},
		{"Parse of such a document per change", fmt.Sprintf("%s × %s ns × %s per s", groupDigits(fmt.Sprint(ClientBlocks)), formatNumber(parse), formatNumber(changesPerSecond)), corePercent(parse*ClientBlocks, changesPerSecond), "% of a core", limitCorePercent, "parse changed sections only"},
		{"Feeder that sends the whole document", fmt.Sprintf("1 MB × %d × %s per s", feedFanout, formatNumber(changesPerSecond)), wholeState * feedFanout * changesPerSecond, "bytes/s", limitBytesPerSecond, "changed sections against a base generation"},
		{"State that the agent pushes to a daemon per change", fmt.Sprintf("(%s × %s bytes + 1 MB) × %s per s", groupDigits(fmt.Sprint(Hosts)), formatNumber(record), formatNumber(changesPerSecond)), (Hosts*record + wholeState) * changesPerSecond, "bytes/s", limitBytesPerSecond, "loopback only, but its processor time counts; to be done: changed parts on the local watch"},
		{"Measurements in one local state", fmt.Sprintf("%s × %d bytes", formatNumber(measurements), measurementBytes), measurements * measurementBytes, "bytes", 9 << 20, "to be done: changed measurements only, in several frames"},
		{"Measurements to every node, once per minute", fmt.Sprintf("%s × %d bytes / 60 s", formatNumber(measurements), measurementBytes), measurements * measurementBytes / 60, "bytes/s", limitBytesPerSecond, "the whole list; the agents pass on at most 256 changes per 5 s instead, the greatest first"},
		{"State that one start asks for, sent by one peer within a minute", fmt.Sprintf("(%s × %s bytes + 1 MB) / 60 s", groupDigits(fmt.Sprint(Hosts)), formatNumber(record)), (Hosts*record + wholeState) / 60, "bytes/s", limitBytesPerSecond, "to be done: ask several peers for a part each; a rolling restart waits between hosts"},
		{"One object per host in one watch", fmt.Sprintf("%s × %d bytes", groupDigits(fmt.Sprint(Hosts)), objectBytes), Hosts * objectBytes, "bytes", limitStoreValueBytes, "only starting agents list the hosts, and those with peers ask these"},
	}
}
