// Package membership maintains a host's view of the other hosts in the manner of
// SWIM: random probing, suspicion, refutation and dissemination of changed
// records.
//
// The package does no I/O. Methods take the current time and return the
// messages to send as actions. Members is not safe for concurrent use.
package membership

import (
	"math/rand"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Config holds the protocol's times and limits.
type Config struct {
	// ProbeInterval is the time between two probes of this host.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe and, again, the indirect ones.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time after which a suspect that has not refuted is
	// declared dead.
	SuspectTimeout time.Duration
	// DeadRetention is how long records of hosts that are dead or have left are
	// kept.
	DeadRetention time.Duration
	// FreezeThreshold is the gap between two ticks that shows that this
	// process was frozen.
	FreezeThreshold time.Duration
	// ReconnectInterval is the time between two attempts to reach a member that is
	// declared dead: it may be live, beyond a partition that has healed.
	ReconnectInterval time.Duration
	// SyncQuietPeriod and SyncInterval limit full exchanges after a digest
	// mismatch: none within SyncQuietPeriod of a change, which may not have reached
	// all hosts, and none within SyncInterval of the last one.
	SyncQuietPeriod time.Duration
	SyncInterval    time.Duration
	// IndirectProbes is the number of members that are requested to probe on
	// behalf of this host.
	IndirectProbes int
	// PushFanout is the number of members to which a change is pushed.
	PushFanout int
	// MaxPiggyback bounds the records of one message.
	MaxPiggyback int
	// RetransmitFactor times log2 of the member count bounds how often one host
	// sends the same change.
	RetransmitFactor int
}

// DefaultConfig returns the protocol's defaults.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     500 * time.Millisecond,
		ProbeTimeout:      400 * time.Millisecond,
		SuspectTimeout:    2 * time.Second,
		DeadRetention:     time.Hour,
		FreezeThreshold:   time.Second,
		ReconnectInterval: 5 * time.Second,
		SyncQuietPeriod:   5 * time.Second,
		SyncInterval:      30 * time.Second,
		IndirectProbes:    3,
		PushFanout:        3,
		MaxPiggyback:      32,
		RetransmitFactor:  2,
	}
}

// Message is the content of a probe, a reply, a push or a full exchange.
type Message struct {
	// From is the sender's own record.
	From model.HostRecord
	// Records are changed records, or all of a full exchange.
	Records []model.HostRecord
	// Digest summarizes the sender's records of live hosts.
	Digest uint64
	// WantAll requests all records of the receiver.
	WantAll bool
}

// Action is a message to send: one of SendProbe, SendIndirectProbe,
// SendRecords and SendFullExchange.
type Action interface{ isAction() }

// SendProbe probes a member. The outcome is passed to ProbeAnswered or
// ProbeMissed with the same number.
type SendProbe struct {
	Number  uint64
	To      model.HostRecord
	Message Message
}

// SendIndirectProbe requests that Via probe Target. The outcome is passed to
// IndirectAnswered with the same number.
type SendIndirectProbe struct {
	Number uint64
	Via    model.HostRecord
	Target model.HostRecord
}

// SendRecords pushes changed records. A reply is passed to Received, a failure
// is ignored.
type SendRecords struct {
	To      model.HostRecord
	Message Message
}

// SendFullExchange sends all records and requests all of the receiver's.
type SendFullExchange struct {
	To      model.HostRecord
	Message Message
}

func (SendProbe) isAction()         {}
func (SendIndirectProbe) isAction() {}
func (SendRecords) isAction()       {}
func (SendFullExchange) isAction()  {}

// Members is one host's membership view.
type Members struct {
	cfg  Config
	rng  *rand.Rand
	self model.HostRecord
	// superseded is set when a later incarnation of this host is seen.
	superseded bool

	records    map[model.HostID]model.HostRecord
	suspects   map[model.HostID]time.Time // time at which the host is declared dead
	tombstones map[model.HostID]time.Time // time at which the record is pruned
	digest     uint64
	version    uint64
	lastChange time.Time

	// live lists the members that are probed, without this host. It is rebuilt
	// after a member was added or removed.
	live      []model.HostID
	liveStale bool

	updates    []*update
	unpushed   []model.HostID
	probeOrder []model.HostID
	probes     map[uint64]*probe
	lastProbe  uint64

	lastTick      time.Time
	nextProbe     time.Time
	nextReconnect time.Time
	nextSync      time.Time
}

// New returns a view that knows only this host.
func New(self model.HostRecord, cfg Config, now time.Time, rng *rand.Rand) *Members {
	m := &Members{
		cfg:        cfg,
		rng:        rng,
		self:       self,
		records:    make(map[model.HostID]model.HostRecord),
		suspects:   make(map[model.HostID]time.Time),
		tombstones: make(map[model.HostID]time.Time),
		probes:     make(map[uint64]*probe),
		lastTick:   now,
	}
	m.nextProbe = now.Add(time.Duration(rng.Int63n(int64(cfg.ProbeInterval))))
	m.nextReconnect = now.Add(cfg.ReconnectInterval)
	m.selfChanged(now)
	return m
}

// Self returns this host's own record.
func (m *Members) Self() model.HostRecord { return m.self }

// Superseded reports whether a later incarnation of this host was seen, so that
// this process has to stop.
func (m *Members) Superseded() bool { return m.superseded }

// Version returns the version of the view, which rises with every change.
func (m *Members) Version() uint64 { return m.version }

// Update applies a change to this host's own record, except to its host ID,
// incarnation and sequence.
func (m *Members) Update(now time.Time, change func(*model.HostRecord)) {
	next := m.self
	change(&next)
	next.Host, next.Incarnation, next.Sequence = m.self.Host, m.self.Incarnation, m.self.Sequence
	if next == m.self {
		return
	}
	next.Sequence++
	m.self = next
	m.selfChanged(now)
}

// Leave marks this host as left and returns the messages that announce it.
func (m *Members) Leave(now time.Time) []Action {
	m.Update(now, func(r *model.HostRecord) { r.State = model.HostLeft })
	return m.push()
}

// Tick starts probes, ends overdue ones, declares overdue suspects dead and prunes
// old records. It is called several times per probe interval.
func (m *Members) Tick(now time.Time) []Action {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if m.cfg.FreezeThreshold > 0 && gap > m.cfg.FreezeThreshold {
		return m.resume(now, gap)
	}
	m.expireSuspects(now)
	m.prune(now)
	actions := m.expireProbes(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
		actions = append(actions, m.startProbe(now)...)
	}
	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(m.cfg.ReconnectInterval)
		actions = append(actions, m.reconnect()...)
	}
	return append(actions, m.push()...)
}

// resume handles a freeze of this process. Its timers expired without evidence, so
// they are extended, and other hosts may have declared this one dead, so it
// refutes.
func (m *Members) resume(now time.Time, gap time.Duration) []Action {
	clear(m.probes)
	for host, deadline := range m.suspects {
		m.suspects[host] = deadline.Add(gap)
	}
	m.refute(now, m.self.Sequence)
	actions := m.push()
	for _, to := range m.randomMembers(1, "") {
		actions = append(actions, SendFullExchange{To: to, Message: m.fullMessage(true)})
	}
	return actions
}

// reconnect notifies a random member that it is declared dead in this view;
// members that left are omitted. If the member is live, it refutes, and the
// digests start an exchange.
func (m *Members) reconnect() []Action {
	var dead []model.HostID
	for host := range m.tombstones {
		if m.records[host].State == model.HostDead {
			dead = append(dead, host)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	sortHosts(dead)
	to := m.records[dead[m.rng.Intn(len(dead))]]
	return []Action{SendRecords{To: to, Message: m.messageTo(to)}}
}

// JoinMessage returns the message to a seed, whose reply is passed to Received.
func (m *Members) JoinMessage() Message { return m.fullMessage(true) }
