package events

import "github.com/sirupsen/logrus"

// ID is the number of an event.
type ID int

// Events, grouped by subject in hundreds.
const (
	DaemonStarted  ID = 1000
	DaemonStopping ID = 1001
	DaemonStopped  ID = 1002
	DaemonFailed   ID = 1003
	EventsDropped  ID = 1004

	SettingsReloaded ID = 1005
	SettingsRefused  ID = 1006

	RequestsUnfinished ID = 1007
	PanicRecovered     ID = 1008
	RequestUnfinished  ID = 1009

	ConfigInForce     ID = 1100
	ConfigRefused     ID = 1101
	ConfigFromPeers   ID = 1102
	ConfigRepaired    ID = 1103
	AgentLost         ID = 1104
	AgentReached      ID = 1105
	MeasurementsStale ID = 1106

	HostStateChanged ID = 1200
	HostSuspected    ID = 1201
	HostDead         ID = 1202
	SuspicionRefuted ID = 1203
	PeerSeen         ID = 1204
	PeerSilent       ID = 1205

	ServerTaken       ID = 1300
	ServerHandedOver  ID = 1301
	ServerDraining    ID = 1302
	ServerUnreachable ID = 1303
	ServerShedding    ID = 1304
	ConnectionSilent  ID = 1305
	RequestSuspected  ID = 1306
	RequestConvicted  ID = 1307
	RequestCleared    ID = 1308
	RequestRefused    ID = 1309
	OutcomeUnknown    ID = 1310
	RetryBudgetSpent  ID = 1311
	LinkLimitReached  ID = 1312
	MoveLimitReached  ID = 1313
	GrantRefused      ID = 1314
	RecordTableFull   ID = 1315
	ResponseDropped   ID = 1316
	ServerAdded       ID = 1317
	ServerRemoved     ID = 1318
	ServerReachable   ID = 1319
	ServerCold        ID = 1320
	DomainEvacuated   ID = 1321
	DomainReleased    ID = 1322
	ServerQuiet       ID = 1323

	RequestGranted ID = 1330
	RequestResent  ID = 1331
	RequestEnded   ID = 1332
	LinesDropped   ID = 1333
	RequestServed  ID = 1334

	StoreCallFailed  ID = 1400
	StoreReached     ID = 1401
	StoreWriteUnsure ID = 1402
	HostListStale    ID = 1403
	StoreHistoryGone ID = 1404
	EntrySkipped     ID = 1405
	StateFromPeer    ID = 1406
	StoreRead        ID = 1407
	StoreReaderBegan ID = 1408
	StoreReaderEnded ID = 1409
	StoreLost        ID = 1410
	StoreRestored    ID = 1411
	StoreEraUnstated ID = 1412
	WatchForgotten   ID = 1413

	PromotionAccepted ID = 1500
	PromotionRefused  ID = 1501
	PromotionLostRace ID = 1502
	PromotionReadBack ID = 1503

	PeerConnectionLost ID = 1600
	GreetingRefused    ID = 1601
	MessageUnknown     ID = 1602
	FrameTooLarge      ID = 1603
	SlowSenderClosed   ID = 1604
	ConnectionsFull    ID = 1605
)

// Info describes an event.
type Info struct {
	ID     ID
	Level  logrus.Level
	Name   string
	Fields []FieldName
	// Meaning explains the event to operators.
	Meaning string
}

// exemptFromRateLimit reports whether the rate limit does not apply to the event: a
// line of a request's trace, which is logged completely or not at all, a request
// that a shutdown leaves without a response, or a read of the store.
func (i Info) exemptFromRateLimit() bool {
	return i.ID >= RequestGranted && i.ID <= RequestServed && i.ID != LinesDropped || i.ID == RequestUnfinished || i.ID == StoreRead
}

func fields(names ...FieldName) []FieldName { return names }

var table = []Info{
	{DaemonStarted, logrus.InfoLevel, "daemon-started", fields(FieldHost, FieldRegion, FieldDomain), "The daemon starts with checked settings."},
	{DaemonStopping, logrus.InfoLevel, "daemon-stopping", fields(FieldHost), "A graceful shutdown began."},
	{DaemonStopped, logrus.InfoLevel, "daemon-stopped", fields(FieldHost, FieldElapsed), "The daemon ended without an error, this long after its start."},
	{DaemonFailed, logrus.ErrorLevel, "daemon-failed", fields(FieldHost, FieldReason), "The daemon ends because it cannot serve."},
	{EventsDropped, logrus.WarnLevel, "events-dropped", fields(FieldCount), "Lines that the rate limit dropped and no later line reported."},

	{RequestsUnfinished, logrus.WarnLevel, "requests-unfinished", fields(FieldHost, FieldCount), "The grace period of a shutdown ended while this many requests had no response. The host answers each of them itself. A request whose body is still arriving does not count."},
	{PanicRecovered, logrus.ErrorLevel, "panic-recovered", fields(FieldSubject, FieldReason), "A fault of the program ended the handling of one request or message, which is the subject; the process continues. The reason has the place in the source."},
	{RequestUnfinished, logrus.WarnLevel, "request-unfinished", fields(FieldHost, FieldRequest, FieldServer, FieldElapsed, FieldReason), "A request had no response this long after its arrival when the grace period of a shutdown ended. The server was granted to it; without one it was waiting. The host answers it with code 309 if it was sent to the server, and as not run otherwise. The reason says whether the request arrived before or after the stop signal."},

	{SettingsReloaded, logrus.InfoLevel, "settings-reloaded", nil, "Changed settings were applied."},
	{SettingsRefused, logrus.WarnLevel, "settings-refused", fields(FieldReason), "Changed settings, or a part of them, were not applied; the old ones stay active."},

	{ConfigInForce, logrus.InfoLevel, "config-in-force", fields(FieldEnvironment, FieldGeneration, FieldElapsed, FieldPeer), "A generation of the document is in force on this host. wisteria-host adds the peer that sent it, unless it read the generation from the store."},
	{ConfigRefused, logrus.ErrorLevel, "config-refused", fields(FieldEnvironment, FieldGeneration, FieldReason), "A generation was refused; the previous one stays in force."},
	{ConfigFromPeers, logrus.WarnLevel, "config-from-peers", fields(FieldGeneration, FieldCount), "The store is down; the host started with the highest generation of its peers."},
	{ConfigRepaired, logrus.InfoLevel, "config-repaired", fields(FieldGeneration, FieldPeer), "The host had missed a generation and pulled it."},
	{AgentLost, logrus.WarnLevel, "agent-lost", fields(FieldAddress, FieldReason), "The agent of this host does not respond; the last state stays active."},
	{AgentReached, logrus.InfoLevel, "agent-reached", fields(FieldAddress), "The agent of this host responds again."},
	{MeasurementsStale, logrus.WarnLevel, "measurements-stale", fields(FieldElapsed), "Latency measurements stopped; the region order decays to the document's."},

	{HostStateChanged, logrus.InfoLevel, "host-state", fields(FieldHost, FieldRegion, FieldState, FieldIncarnation), "A host reported another state."},
	{HostSuspected, logrus.WarnLevel, "host-suspected", fields(FieldHost, FieldRegion, FieldPeer), "A host did not answer any probe."},
	{HostDead, logrus.WarnLevel, "host-dead", fields(FieldHost, FieldRegion), "A suspected host did not refute the suspicion in time and was declared dead."},
	{SuspicionRefuted, logrus.InfoLevel, "suspicion-refuted", fields(FieldHost, FieldIncarnation), "A suspected host proved that it is live."},
	{PeerSeen, logrus.InfoLevel, "peer-seen", fields(FieldPeer, FieldAddress), "A host of the region sent its first heartbeat, or the first one after an interruption."},
	{PeerSilent, logrus.WarnLevel, "peer-silent", fields(FieldPeer), "A host of the region has sent no heartbeat for as long as heartbeats may be late, or has left."},

	{ServerTaken, logrus.InfoLevel, "server-taken", fields(FieldServer, FieldService), "This host now dispatches to the backend server."},
	{ServerHandedOver, logrus.InfoLevel, "server-handed-over", fields(FieldServer, FieldService), "Another host now dispatches to the backend server."},
	{ServerDraining, logrus.InfoLevel, "server-draining", fields(FieldServer, FieldReason), "The backend server is leaving and gets no new work."},
	{ServerUnreachable, logrus.WarnLevel, "server-unreachable", fields(FieldServer, FieldAddress, FieldReason), "No connection to the backend server could be opened."},
	{ServerShedding, logrus.WarnLevel, "server-shedding", fields(FieldServer, FieldCount), "The backend server refuses work and is used less."},
	{ConnectionSilent, logrus.WarnLevel, "connection-silent", fields(FieldServer, FieldElapsed), "The backend server stopped responding on an open connection, which was abandoned."},
	{RequestSuspected, logrus.WarnLevel, "request-suspected", fields(FieldService, FieldServer, FieldCount), "A request ran on a backend server that crashed; the entry daemon runs it alone from now on."},
	{RequestConvicted, logrus.ErrorLevel, "request-convicted", fields(FieldService, FieldServer), "A request crashed a second backend server and is refused."},
	{RequestCleared, logrus.InfoLevel, "request-cleared", fields(FieldService), "A suspected request completed."},
	{RequestRefused, logrus.DebugLevel, "request-refused", fields(FieldService, FieldRank, FieldCode), "A request was refused and did not run."},
	{OutcomeUnknown, logrus.WarnLevel, "outcome-unknown", fields(FieldService, FieldRank, FieldCode), "A request may have run."},
	{RetryBudgetSpent, logrus.WarnLevel, "retry-budget-spent", fields(FieldService), "A request was not retried because the retry budget is exhausted."},
	{LinkLimitReached, logrus.WarnLevel, "link-limit-reached", fields(FieldRegion), "The host's share of a link's byte budget is exhausted."},
	{MoveLimitReached, logrus.WarnLevel, "move-limit-reached", fields(FieldRegion, FieldService, FieldCount), "Traffic moved from another region reached the cap of this interval."},
	{GrantRefused, logrus.WarnLevel, "grant-refused", fields(FieldRegion, FieldService, FieldCode), "A dispatcher refused a request that had no valid grant."},
	{RecordTableFull, logrus.ErrorLevel, "record-table-full", fields(FieldCount), "New non-idempotent requests are refused until records expire."},
	{ResponseDropped, logrus.WarnLevel, "response-dropped", fields(FieldService, FieldCode, FieldReason), "A truncated or mismatched response was not forwarded."},
	{ServerAdded, logrus.InfoLevel, "server-added", fields(FieldServer, FieldService, FieldDomain), "A backend server was added to the list."},
	{ServerRemoved, logrus.InfoLevel, "server-removed", fields(FieldServer, FieldService), "A backend server was removed from the list and gets no new work."},
	{ServerReachable, logrus.InfoLevel, "server-reachable", fields(FieldServer), "A probe of the backend server succeeded; it gets work again."},
	{ServerCold, logrus.InfoLevel, "server-cold", fields(FieldServer, FieldElapsed), "The backend server is cold for this long and gets few requests."},
	{DomainEvacuated, logrus.InfoLevel, "domain-evacuated", fields(FieldDomain), "The servers of the failure domain get no new work."},
	{DomainReleased, logrus.InfoLevel, "domain-released", fields(FieldDomain), "The servers of the failure domain get work again; they are treated as cold."},
	{ServerQuiet, logrus.InfoLevel, "server-quiet", fields(FieldServer, FieldElapsed, FieldReason), "The backend server has asked for no requests for this long; the reason says if its time was ignored or bounded."},

	{RequestGranted, logrus.InfoLevel, "request-granted", fields(FieldHost, FieldRequest, FieldService, FieldServer, FieldGeneration, FieldElapsed, FieldReason), "A backend server was chosen for a request, this long after its arrival; the reason has the key, the load and the expected time."},
	{RequestResent, logrus.InfoLevel, "request-resent", fields(FieldHost, FieldRequest, FieldServer, FieldElapsed, FieldReason), "A request is resent to another backend server after this failure."},
	{RequestEnded, logrus.InfoLevel, "request-ended", fields(FieldHost, FieldRequest, FieldService, FieldServer, FieldCode, FieldGeneration, FieldElapsed, FieldReason), "A request got a response other than success."},
	{RequestServed, logrus.InfoLevel, "request-served", fields(FieldHost, FieldRequest, FieldService, FieldServer, FieldCode, FieldGeneration, FieldElapsed, FieldReason), "A request got its whole response from a backend server. Only resent requests and a sample are logged."},
	{LinesDropped, logrus.WarnLevel, "lines-dropped", fields(FieldCount), "Log lines that were dropped because the output was not read fast enough."},

	{StoreCallFailed, logrus.WarnLevel, "store-call-failed", fields(FieldSubject, FieldReason, FieldElapsed), "A call to the store failed; it is retried with backoff."},
	{StoreReached, logrus.InfoLevel, "store-reached", fields(FieldElapsed), "The store responds again after an outage of this length."},
	{StoreWriteUnsure, logrus.WarnLevel, "store-write-unsure", fields(FieldEnvironment, FieldReason), "The response to a write was lost, and reading the object back did not show whether the write took effect."},
	{StoreHistoryGone, logrus.InfoLevel, "store-history-gone", fields(FieldSubject), "The store no longer has the history that a watch needs; the watch starts again with a listing."},
	{StateFromPeer, logrus.InfoLevel, "state-from-peer", fields(FieldSubject, FieldPeer, FieldCount), "A collection of the store was pulled from a peer that had a newer version of it."},
	{StoreRead, logrus.DebugLevel, "store-read", fields(FieldSubject, FieldCount, FieldGeneration), "A call to the store returned this many objects; the generation is the store's revision."},
	{EntrySkipped, logrus.WarnLevel, "entry-skipped", fields(FieldSubject, FieldReason), "An entry of the store is skipped, because it cannot be decoded or its revision is older than the one held; the others are applied."},
	{StoreReaderBegan, logrus.InfoLevel, "store-reader-began", nil, "The host now reads the store itself and notifies its peers."},
	{StoreReaderEnded, logrus.InfoLevel, "store-reader-ended", nil, "The host no longer reads the store itself; it gets updates from its peers."},
	{StoreLost, logrus.WarnLevel, "store-lost", fields(FieldElapsed), "The store has not responded for this long; peers are notified to read it instead."},
	{StoreRestored, logrus.WarnLevel, "store-restored", fields(FieldSubject, FieldPeer, FieldReason), "The store has come back from an older copy, in a higher era. The reason has the positions before and after of the collection that was read first, and the peer is the one that sent it, if this host did not read it from the store."},
	{StoreEraUnstated, logrus.InfoLevel, "store-era-unstated", nil, "A response of the store does not state a valid era. The era that was stated last counts; a store that states none and comes back from an older copy is only recognized if it refuses a watch and then lists a lower revision. Logged once; the counter store_eras has all."},
	{WatchForgotten, logrus.WarnLevel, "store-watch-forgotten", fields(FieldSubject, FieldCount), "The store has not returned this many changes to a watch that waited for them. A call beside the watch has read them, because other responses showed that the store had written since; another watch follows."},
	{HostListStale, logrus.WarnLevel, "host-list-stale", fields(FieldElapsed), "The platform's host list could not be read for this long."},

	{PromotionAccepted, logrus.InfoLevel, "promotion-accepted", fields(FieldEnvironment, FieldGeneration, FieldAuthor), "A document was written to the store."},
	{PromotionRefused, logrus.WarnLevel, "promotion-refused", fields(FieldEnvironment, FieldAuthor, FieldCode, FieldCount), "A document was refused, with this number of faults."},
	{PromotionLostRace, logrus.WarnLevel, "promotion-lost-race", fields(FieldEnvironment, FieldGeneration, FieldAuthor), "Another change was accepted first; generation and author are those of the accepted change."},
	{PromotionReadBack, logrus.InfoLevel, "promotion-read-back", fields(FieldEnvironment, FieldGeneration), "The response to a write was lost; reading the object back showed the outcome."},

	{PeerConnectionLost, logrus.WarnLevel, "peer-connection-lost", fields(FieldPeer, FieldReason), "A connection to another process of the system ended."},
	{GreetingRefused, logrus.WarnLevel, "greeting-refused", fields(FieldPeer, FieldReason), "A process of another environment or an unknown one was refused."},
	{MessageUnknown, logrus.WarnLevel, "message-unknown", fields(FieldPeer), "A peer sent a message that this version does not support."},
	{FrameTooLarge, logrus.WarnLevel, "frame-too-large", fields(FieldPeer, FieldCount), "A peer sent a frame over the limit."},
	{SlowSenderClosed, logrus.WarnLevel, "slow-sender-closed", fields(FieldPeer, FieldElapsed), "A caller sent its request too slowly."},
	{ConnectionsFull, logrus.WarnLevel, "connections-full", fields(FieldCount), "The limit of open connections is reached."},
}

// All returns the descriptions of all events in order.
func All() []Info { return append([]Info(nil), table...) }
