package capacity

import "fmt"

const (
	nanosPerSecond = 1e9
	percent        = 100
	mega           = 1 << 20
	membersPerDom  = (Hosts + FailureDomains - 1) / FailureDomains
	changesPerSec  = float64(ChangesPerDay) / secondsPerDay
	// recordChanges are the changes of host records per day that spread.
	recordChanges = FailuresPerDay*statesPerFailure + RestartsPerDay*statesPerRestart
)

// core is the share of one core that work of some nanoseconds takes at a rate.
func core(nanos, perSecond float64) float64 {
	return nanos * perSecond / nanosPerSecond * percent
}

func (f *figures) lookup() []row {
	perNode := float64(LookupsPerSecond) / Hosts
	http, answer := f.get(httpNanos, ClientBlocks), f.get(answerSize, ClientBlocks)
	block, site := f.get(blockBytes, ClientBlocks), f.get(siteBytes, 10*Sites)
	hosts := f.get(fleetBytes, Hosts)
	measurement, measurements := f.get(measureNanos, ClientBlocks), float64(ClientBlocks*MeasuredRegions)
	weights, all, change := f.get(rebuildWeight, ClientBlocks), f.get(rebuildAll, ClientBlocks), f.get(rebuildOther, ClientBlocks)
	hostChanges := float64(recordChanges) / secondsPerDay
	return []row{
		{"Look-ups per node", fmt.Sprintf("%s / %s", group(fmt.Sprint(LookupsPerSecond)), group(fmt.Sprint(Hosts))), perNode, "per s", 0, "every node answers; callers cache for 10 s"},
		{"Table look-up with its text", fmt.Sprintf("%s ns × %s per s", number(f.get(tableNanos, ClientBlocks)), number(perNode)), core(f.get(tableNanos, ClientBlocks), perNode), "% of a core", 0, "immutable table, no lock, no allocation"},
		{"HTTP path, client included", fmt.Sprintf("%s ns × %s per s", number(http), number(perNode)), core(http, perNode), "% of a core", 0, "work for callers, not control; the client runs elsewhere"},
		{"Answers sent", fmt.Sprintf("%s bytes × %s per s", number(answer), number(perNode)), answer * perNode, "bytes/s", 0, "work for callers, not control; at most 8 hosts per answer"},
		{"Memory of the table", fmt.Sprintf("(%s × %s + %s × %s + %s) bytes", group(fmt.Sprint(ClientBlocks)), number(block), group(fmt.Sprint(Sites)), number(site), number(hosts)), (ClientBlocks*block + Sites*site + hosts) / mega, "MB", limitMemory / mega, "sites share the blocks; two tables share what did not change"},
		{"Rebuild after a host change", fmt.Sprintf("%s ns × %s per day", number(f.get(rebuildHost, ClientBlocks)), group(fmt.Sprint(recordChanges))), core(f.get(rebuildHost, ClientBlocks), hostChanges), "% of a core", limitCore, "only the region's host lists are rebuilt"},
		{"Configuration change outside regions and blocks", fmt.Sprintf("%s ns × %s per s", number(change), number(changesPerSec)), core(change, changesPerSec), "% of a core", limitCore, "blocks and host lists are shared; parsing not included"},
		{"Configuration change of regions or blocks", fmt.Sprintf("%s ns × %s per s", number(all), number(changesPerSec)), core(all, changesPerSec), "% of a core", limitCore, "to be done if every change were one: replace single blocks"},
		{"Ramp of weights or moves, move-interval 10 s", fmt.Sprintf("%s ns × 0.1 per s", number(weights)), core(weights, 0.1), "% of a core", limitCore, "a build at the end of an interval; each second would take ten times as much"},
		{"Measurements, all blocks once per minute", fmt.Sprintf("%s ns × %s / 60 s", number(measurement), number(measurements)), core(measurement, measurements/60), "% of a core", limitCore, "filter per block and region"},
	}
}

func (f *figures) entry() []row {
	record := f.get(recordBytes, 1)
	call, session := f.get(callNanos, bodySizes[0]), f.get(sessionBytes, sessions)
	peers := float64(Hosts) / Regions
	return []row{
		{"Membership records", fmt.Sprintf("%s × %s bytes as messages", group(fmt.Sprint(Hosts)), number(record)), Hosts * record / mega, "MB", limitMemory / mega, "fed by the agent of the host"},
		{"Sessions to the hosts of the region", fmt.Sprintf("%s / %d × %s bytes", group(fmt.Sprint(Hosts)), Regions, number(session)), peers * session / mega, "MB", limitMemory / mega, "one session per pair, both ends measured"},
		{"Keepalives of these sessions", fmt.Sprintf("%s × %d bytes", number(peers), keepAliveBytes), peers * keepAliveBytes, "bytes/s", limitBytes, "`IdleTimeout` of the client closes those without calls; a pair with calls keeps its session"},
		{"Forwarded call", fmt.Sprintf("%s ns at %d bytes", number(call), bodySizes[0]), call / 1000, "µs", 0, "one stream per call; both ends measured"},
		{"Forwarded upload", fmt.Sprintf("%s ns at 64 KB", number(f.get(callNanos, bodySizes[1]))), f.get(callNanos, bodySizes[1]) / 1000, "µs", 0, "pieces of 32 KB; both ends measured"},
	}
}

func (f *figures) agent() []row {
	probe, probeNanos := f.getUnit("membership.Probe", Hosts, "bytes/op"), f.getUnit("membership.Probe", Hosts, "ns/op")
	change := f.getUnit("membership.Change.fanout=3", 250, "bytes/op")
	config := f.getUnit("configreplica.Change.fanout=8", 100, "bytes/op")
	root := f.getUnit("configreplica.Change.fanout=8", 100, "root-bytes/op")
	open, record := f.get(dialNanos, 1), f.get(recordBytes, 1)
	quiet := f.getUnit("agent.QuietAgent", quietFleet, "bytes/s")
	probeBytes, changeBytes := probe*probesPerSec, change*recordChanges/secondsPerDay
	feedBytes := root / watchersPerDom * changesPerSec
	total := quiet + changeBytes + feedBytes
	return []row{
		{"Messages of probes", fmt.Sprintf("%s bytes × %d per s", number(probe), probesPerSec), probeBytes, "bytes/s", limitBytes, "SWIM-style: one member per 500 ms at any size"},
		{"Quiet agent, with sessions and packet headers", fmt.Sprintf("highest of %d agents", quietFleet), quiet, "bytes/s", limitBytes, "quiet sessions: greeting with the first call, no keepalives; 52 bytes per segment are estimated"},
		{"Changes of host records", fmt.Sprintf("%s bytes × %s per day", number(change), group(fmt.Sprint(recordChanges))), changeBytes, "bytes/s", limitBytes, "changed records only; measured at 250 members, the largest size"},
		{"Configuration, member", fmt.Sprintf("%s bytes × %s per s", number(config), number(changesPerSec)), config * changesPerSec, "bytes/s", limitBytes, "changed sections only; measured at 100 members of a failure domain"},
		{"Configuration, watcher", fmt.Sprintf("%s bytes / %d × %s per s", number(root), watchersPerDom, number(changesPerSec)), feedBytes, "bytes/s", limitBytes, "feed tree of fan-out 8"},
		{"Sum for a watcher", fmt.Sprintf("%s + %s + %s", number(quiet), number(changeBytes), number(feedBytes)), total, "bytes/s", limitBytes, "sessions of the feed and measurements not included"},
		{"Probe work", fmt.Sprintf("%s ns × %d per s", number(probeNanos), probesPerSec), core(probeNanos, probesPerSec), "% of a core", limitCore, "without the network"},
		{"New connection per probe", fmt.Sprintf("%s ns × %d per s", number(open), probesPerSec), core(open, probesPerSec), "% of a core", limitCore, "both ends measured"},
		{"Members at 6,100 nodes", fmt.Sprintf("%s × %s bytes as messages", group(fmt.Sprint(Hosts)), number(record)), Hosts * record / mega, "MB", limitMemory / mega, "memory of the view itself not measured"},
	}
}

func (f *figures) store() []row {
	watches := float64(FailureDomains * watchersPerDom)
	few := f.getUnit("agent.QuietAgent", smallFleet, "store-calls/s")
	many := f.getUnit("agent.QuietAgent", quietFleet, "store-calls/s")
	return []row{
		{"Polls of the host list and of measurements", fmt.Sprintf("%s per s and region × %d", number(many), Regions), many * Regions, "calls/s", limitReads, fmt.Sprintf("one host per region polls: %s per s at %d hosts, %s at %d", number(few), smallFleet, number(many), quietFleet)},
		{"Waiting watches", fmt.Sprintf("%d × %d", FailureDomains, watchersPerDom), watches, "calls", limitReads, "two watchers per failure domain"},
		{"Watches that end with a change", fmt.Sprintf("%s × %s per s", number(watches), number(changesPerSec)), watches * changesPerSec, "calls/s", limitReads, "each watcher waits again"},
		{"Watches that end without one", fmt.Sprintf("%s / %d s", number(watches), watchSeconds), watches / float64(watchSeconds), "calls/s", limitReads, "a watch waits for 2 s, so that a silent store shows within 5 s"},
		{"Promotions", fmt.Sprintf("%s / day", group(fmt.Sprint(ChangesPerDay))), changesPerSec, "writes/s", limitWrites, "one conditional write each"},
		{"Registrations", fmt.Sprintf("(%d + %d) / day", FailuresPerDay, RestartsPerDay), float64(FailuresPerDay+RestartsPerDay) / secondsPerDay, "writes/s", limitWrites, "one write per start"},
		{"All hosts start at once, within 60 s", fmt.Sprintf("%s / 60 s", group(fmt.Sprint(Hosts))), float64(Hosts) / 60, "writes/s", limitWrites, "jittered backoff"},
		{"All agents poll (code before the feed tree)", fmt.Sprintf("%s × 3 per s", group(fmt.Sprint(Hosts))), Hosts * 3, "calls/s", limitReads, "replaced by watchers and the feed tree"},
	}
}

func (f *figures) callers() []row {
	answer := f.get(answerSize, ClientBlocks)
	active := float64(LookupsPerSecond) * cacheSeconds
	return []row{
		{"Callers with a valid answer", fmt.Sprintf("%s per s × %d s", group(fmt.Sprint(LookupsPerSecond)), cacheSeconds), active, "callers", 0, "each looks up once per cache time"},
		{"Answers received per caller", fmt.Sprintf("%s bytes / %d s", number(answer), cacheSeconds), answer / cacheSeconds, "bytes/s", 0, "at most 8 hosts per answer"},
		{"Memory per caller", "one answer", answer, "bytes", 0, "the answer of its block"},
	}
}

func (f *figures) failures() []row {
	change := f.getUnit("membership.Change.fanout=3", 250, "bytes/op")
	record := f.get(recordBytes, 1)
	const rack = 40
	return []row{
		{"Host failures of a day", fmt.Sprintf("%d × %d changes × %s bytes", FailuresPerDay, statesPerFailure, number(change)), FailuresPerDay * statesPerFailure * change, "bytes per member and day", 0, "suspect, then dead after 2 s"},
		{"Restarts of a day", fmt.Sprintf("%d × %d changes × %s bytes", RestartsPerDay, statesPerRestart, number(change)), RestartsPerDay * statesPerRestart * change, "bytes per member and day", 0, "stopping, left, starting, ready"},
		{"State that one start asks for", fmt.Sprintf("%s × %s bytes + 1 MB document", group(fmt.Sprint(Hosts)), number(record)), Hosts*record + limitStoreValue, "bytes", 0, "one join and one pull; sent by one or two peers"},
		{"Starts of a day, per member", fmt.Sprintf("%d × %s bytes / %s", RestartsPerDay+FailuresPerDay, number(Hosts*record+limitStoreValue), group(fmt.Sprint(Hosts))), (RestartsPerDay + FailuresPerDay) * (Hosts*record + limitStoreValue) / Hosts / secondsPerDay, "bytes/s", limitBytes, "average; the peer that is asked exceeds the limit for minutes"},
		{"A rack of 40 hosts", fmt.Sprintf("%d × %d changes × %s bytes / 10 s", rack, statesPerFailure, number(change)), rack * statesPerFailure * change / 10, "bytes/s", limitBytes, "spread over the 10 s in which the changes spread"},
		{"A failure domain", fmt.Sprintf("%d × %d changes × %s bytes / 10 s", membersPerDom, statesPerFailure, number(change)), membersPerDom * statesPerFailure * change / 10, "bytes/s", limitBytes, "look-ups name the other domains of the region"},
		{"A region partitioned", fmt.Sprintf("%s / %d hosts × %d changes × %s bytes / 60 s", group(fmt.Sprint(Hosts)), Regions, statesPerFailure, number(change)), float64(Hosts) / Regions * statesPerFailure * change / 60, "bytes/s", limitBytes, "over a minute, on either side; again when it heals"},
		{"Blocks of a dead region", fmt.Sprintf("%s / %d at 10%% of a region's share per interval", group(fmt.Sprint(ClientBlocks)), Regions), 10, "intervals if one region takes them all", 0, "move limit; callers get live hosts at once"},
	}
}

func (f *figures) gaps() []row {
	text, parse := f.get(documentText, 10_000), f.get(documentParse, 10_000)
	record := f.get(recordBytes, 1)
	const wholeState = 1 << 20
	measurements := float64(ClientBlocks * MeasuredRegions)
	const measurementBytes = 32
	return []row{
		{"Document with every client block", fmt.Sprintf("%s × %s bytes", group(fmt.Sprint(ClientBlocks)), number(text)), ClientBlocks * text, "bytes", limitStoreValue, "declare blocks only where they differ from a shorter one; measured blocks need no section"},
		{"Parse of such a document per change", fmt.Sprintf("%s × %s ns × %s per s", group(fmt.Sprint(ClientBlocks)), number(parse), number(changesPerSec)), core(parse*ClientBlocks, changesPerSec), "% of a core", limitCore, "parse changed sections only"},
		{"Feeder that sends the whole document", fmt.Sprintf("1 MB × %d × %s per s", feedFanOut, number(changesPerSec)), wholeState * feedFanOut * changesPerSec, "bytes/s", limitBytes, "changed sections against a base generation"},
		{"State that the agent pushes to a daemon per change", fmt.Sprintf("(%s × %s bytes + 1 MB) × %s per s", group(fmt.Sprint(Hosts)), number(record), number(changesPerSec)), (Hosts*record + wholeState) * changesPerSec, "bytes/s", limitBytes, "loopback only, but its processor time counts; to be done: changed parts on the local watch"},
		{"Measurements in one local state", fmt.Sprintf("%s × %d bytes", number(measurements), measurementBytes), measurements * measurementBytes, "bytes", 9 << 20, "to be done: changed measurements only, in several frames"},
		{"Measurements to every node, once per minute", fmt.Sprintf("%s × %d bytes / 60 s", number(measurements), measurementBytes), measurements * measurementBytes / 60, "bytes/s", limitBytes, "the whole list; the agents pass on at most 256 changes per 5 s instead, the greatest first"},
		{"State that one start asks for, sent by one peer within a minute", fmt.Sprintf("(%s × %s bytes + 1 MB) / 60 s", group(fmt.Sprint(Hosts)), number(record)), (Hosts*record + wholeState) / 60, "bytes/s", limitBytes, "to be done: ask several peers for a part each; a rolling restart waits between hosts"},
		{"One object per host in one watch", fmt.Sprintf("%s × %d bytes", group(fmt.Sprint(Hosts)), objectBytes), Hosts * objectBytes, "bytes", limitStoreValue, "only starting agents list the hosts, and those with peers ask these"},
	}
}
