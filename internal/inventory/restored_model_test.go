package inventory

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// modelStore is a store that comes back from older copies of itself.
type modelStore struct {
	position model.Position
	objects  map[Collection]map[string]Object
	history  map[Collection][]Object
	// oldest is the revision before which the history is gone.
	oldest uint64
	copies []modelStore
}

func (s *modelStore) clone() modelStore {
	c := modelStore{position: s.position, objects: map[Collection]map[string]Object{}, history: map[Collection][]Object{}, oldest: s.oldest}
	for _, of := range WatchedCollections {
		c.objects[of], c.history[of] = maps.Clone(s.objects[of]), slices.Clone(s.history[of])
	}
	return c
}

func (s *modelStore) write(c Collection, name, body string) {
	s.position.Revision++
	o := Object{Name: name, Position: s.position, Body: []byte(body), Deleted: body == ""}
	if o.Deleted {
		delete(s.objects[c], name)
	} else {
		s.objects[c][name] = o
	}
	s.history[c] = append(s.history[c], o)
}

// restore brings the store back from a copy, which later drills may use again.
func (s *modelStore) restore(i int) {
	copies, era := s.copies[:i+1], s.position.Era+1
	*s = copies[i].clone()
	s.copies, s.position.Era = copies, era
}

func (s *modelStore) list(c Collection) Batch {
	return Batch{Objects: slices.Collect(maps.Values(s.objects[c])), Position: s.position}.InEra(s.position.Era)
}

// watch returns the changes after a position, and false if their history is gone.
func (s *modelStore) watch(c Collection, after model.Position) (Batch, bool) {
	if after.Revision > s.position.Revision || after.Revision < s.oldest {
		return Batch{}, false
	}
	batch := Batch{Position: s.position}
	for _, o := range s.history[c] {
		if o.Position.Revision > after.Revision {
			batch.Objects = append(batch.Objects, o)
		}
	}
	return batch.InEra(s.position.Era), true
}

// modelHost is a host of the model, with what is known of it.
type modelHost struct {
	*Reader
	life    int
	asOf    map[Collection]model.Position
	version uint64
	// left are the servers that this host knew to be draining; entered is when it
	// got the first servers of the present era.
	left    map[string]bool
	entered time.Time
	// used are the servers that got requests at the last check.
	used map[string]string
}

// storeModel runs hosts, a store and what is under way between them.
type storeModel struct {
	*testing.T
	seed  uint64
	rand  *rand.Rand
	now   time.Time
	store modelStore
	hosts []*modelHost
	// underway are the messages that were sent and neither delivered nor lost.
	underway []func()
	// content is that of each mark that a host had.
	content map[modelContent]map[string]uint64
	// operator and running are what the operator and the servers want in the store,
	// drained the servers that have reported that they drain, latest the last starts.
	operator uint64
	running  map[string]string
	drained  map[string]bool
	latest   map[string]int64
	starts   int
	verbose  bool
}

type modelContent struct {
	c      Collection
	era    model.Era
	digest uint64
}

// runStoreModel runs 200 steps on average. The hosts settle after each of four parts.
func runStoreModel(t *testing.T, seed uint64, verbose bool) {
	m := &storeModel{
		T: t, seed: seed, verbose: verbose, rand: rand.New(rand.NewPCG(seed, 43)), now: start,
		store: modelStore{
			position: model.Position{Era: 1},
			objects:  map[Collection]map[string]Object{Configuration: {}, Servers: {}, Evacuations: {}},
			history:  map[Collection][]Object{},
		},
		content: map[modelContent]map[string]uint64{}, running: map[string]string{}, drained: map[string]bool{}, latest: map[string]int64{},
	}
	for range 2 + m.rand.IntN(3) {
		m.hosts = append(m.hosts, &modelHost{})
		m.restart(m.hosts[len(m.hosts)-1])
	}
	for range 4 {
		for range 1 + m.rand.IntN(100) {
			m.step()
		}
		m.settle()
	}
}

func (m *storeModel) restart(h *modelHost) {
	*h = modelHost{life: h.life + 1, asOf: map[Collection]model.Position{}, left: map[string]bool{}}
	h.Reader = NewReader(nil, wordDecoder{}, nil, func() time.Time { return m.now }, nil, Callbacks{View: func(*View) {}, Change: func(change Change) { m.forward(h, change) }})
}

func (m *storeModel) host() *modelHost { return m.hosts[m.rand.IntN(len(m.hosts))] }

func (m *storeModel) collection() Collection {
	return WatchedCollections[m.rand.IntN(len(WatchedCollections))]
}

// send delivers a message now or later, or never.
func (m *storeModel) send(h *modelHost, c Collection, what string, content any, deliver func()) {
	life, index := h.life, slices.Index(m.hosts, h)
	message := func() {
		if h.life == life {
			m.tracef("host %d: %s of %s: %v", index, what, c, content)
			deliver()
			m.check(h)
		}
	}
	switch n := m.rand.IntN(10); {
	case n < 6:
		message()
	case n < 9:
		m.underway = append(m.underway, message)
	}
}

func (m *storeModel) tracef(format string, args ...any) {
	if m.verbose {
		m.Logf("%v: %s", m.now.Sub(start), fmt.Sprintf(format, args...))
	}
}

// forward sends a change that a host has read to the others.
func (m *storeModel) forward(from *modelHost, change Change) {
	if !change.IsDelta() {
		return
	}
	// In a message, all objects belong to the era of the change.
	change.Objects = Batch{Objects: change.Objects}.InEra(change.After.AsOf.Era).Objects
	for _, h := range m.hosts {
		if h != from {
			m.send(h, change.Collection, "change", change, func() { h.ApplyChange(change, "peer") })
		}
	}
}

// read lists a collection, or watches it from what the host holds.
func (m *storeModel) read(h *modelHost, c Collection, whole bool) {
	held := h.Mark(c).AsOf
	if whole || h.needsListing(c) {
		batch := m.store.list(c)
		m.send(h, c, "listing", batch, func() { h.applyListed(c, batch) })
		return
	}
	if batch, ok := m.store.watch(c, held); !ok {
		m.send(h, c, "lost history", held, func() { h.relistAll(c) })
	} else if batch.Position.Era == held.Era {
		m.send(h, c, "watch", batch, func() { h.applyChanges(c, batch) })
	}
}

// report sends a mark, and a whole collection to a host whose content is older.
func (m *storeModel) report(from, to *modelHost, c Collection) {
	mark, snapshot := from.Mark(c), from.Snapshot(c)
	m.send(to, c, "mark", mark, func() {
		held := to.Mark(c)
		switch {
		case mark.AsOf.IsZero():
		case mark.SameContent(held) && !held.AsOf.IsZero():
			m.send(to, c, "confirmation", mark, func() { to.Confirm(c, mark.AsOf) })
		case mark.AsOf.After(held.AsOf):
			batch := snapshot.InEra(snapshot.Position.Era)
			m.send(to, c, "snapshot", batch, func() { to.ApplyListing(c, batch, "peer") })
		}
	})
}

// serverChange is a change of a server, or the repetition of one that the store lost.
func (m *storeModel) serverChange() {
	name := fmt.Sprint("s", m.rand.IntN(3))
	body, runs := m.running[name]
	_, listed := m.store.objects[Servers][name]
	switch n := m.rand.IntN(4); {
	case !runs && n < 2:
		m.starts++
		body = fmt.Sprint("ready@", m.starts)
		m.running[name], m.latest[name] = body, int64(m.starts)
	case runs && n == 0:
		body = "draining" + body[len("ready"):]
		delete(m.running, name)
		m.drained[name+body[len("draining"):]] = true
	case !runs && !listed:
		return
	}
	m.store.write(Servers, name, body)
}

func (m *storeModel) write() {
	switch c := m.collection(); c {
	case Configuration:
		m.operator += m.rand.Uint64N(3)
		m.store.write(c, "main", fmt.Sprint("v", m.operator))
	case Servers:
		m.serverChange()
	case Evacuations:
		domain := fmt.Sprint("d", m.rand.IntN(2))
		body := ""
		if _, listed := m.store.objects[c][domain]; !listed {
			body = "{}"
		}
		m.store.write(c, domain, body)
	}
	m.tracef("store at %v", m.store.position)
}

func (m *storeModel) step() {
	m.now = m.now.Add(time.Duration(m.rand.IntN(200)) * time.Millisecond)
	switch n := m.rand.IntN(100); {
	case n < 20:
		m.write()
	case n < 22:
		m.store.copies = append(m.store.copies, m.store.clone())
	case n < 24 && len(m.store.copies) > 0:
		m.store.restore(m.rand.IntN(len(m.store.copies)))
		m.tracef("store is back at %v: %v", m.store.position, m.store.objects)
	case n < 25:
		m.store.oldest = m.store.position.Revision
	case n < 26:
		h := m.host()
		m.restart(h)
		m.tracef("host %d restarts", slices.Index(m.hosts, h))
	case n < 55:
		m.read(m.host(), m.collection(), n < 35)
	case n < 75:
		m.report(m.host(), m.host(), m.collection())
	case n < 80:
		h := m.host()
		h.expireLapsed()
		m.check(h)
	case len(m.underway) > 0:
		i := m.rand.IntN(len(m.underway))
		message := m.underway[i]
		m.underway = slices.Delete(m.underway, i, i+1)
		message()
	}
}

// check compares a host with what must hold after each step.
func (m *storeModel) check(h *modelHost) {
	for _, c := range WatchedCollections {
		mark := h.Mark(c)
		if mark.AsOf.Before(h.asOf[c]) {
			m.failf("a host that held %s at %v holds %v", c, h.asOf[c], mark.AsOf)
		}
		if c == Servers && mark.AsOf.Era > h.asOf[c].Era {
			h.entered = m.now
		}
		h.asOf[c] = mark.AsOf
		held := revisions(h.Snapshot(c))
		key := modelContent{c, mark.AsOf.Era, mark.Digest}
		if known, ok := m.content[key]; ok && !maps.Equal(known, held) {
			m.failf("marks %+v of %s are equal for %v and %v", mark, c, known, held)
		}
		m.content[key] = held
	}
	m.checkView(h)
}

func (m *storeModel) checkView(h *modelHost) {
	view := h.View()
	if view.Config != nil {
		if view.Config.Version < h.version {
			m.failf("version %d is in effect after %d", view.Config.Version, h.version)
		}
		h.version = view.Config.Version
	}
	used := make(map[string]string)
	for name, server := range view.Servers {
		run := fmt.Sprint("@", server.StartUnixMillis)
		if server.State == fleet.Draining {
			h.left[name+run] = m.drained[name+run]
			continue
		}
		used[name] = "ready" + run
		if h.left[name+run] && m.now.Sub(h.entered) < leaveGrace {
			m.failf("%s%s gets requests %v after the era began although it had left", name, run, m.now.Sub(h.entered))
		}
		delete(h.left, name+run)
	}
	for name, body := range h.used {
		if used[name] != body && m.running[name] == body && m.now.Sub(h.entered) < lapseGrace {
			m.failf("%s %s gets no requests %v after the era began although it runs", name, body, m.now.Sub(h.entered))
		}
	}
	h.used = used
}

func revisions(batch Batch) map[string]uint64 {
	found := make(map[string]uint64, len(batch.Objects))
	for _, o := range batch.Objects {
		found[o.Name] = o.Position.Revision
	}
	return found
}

// settle lets every other host read the store and the rest pull, and compares
// them with the store after the graces.
func (m *storeModel) settle() {
	m.store.write(Configuration, "main", fmt.Sprint("v", m.operator))
	for i, h := range m.hosts {
		for _, c := range WatchedCollections {
			if i%2 == 0 {
				h.applyListed(c, m.store.list(c))
			} else {
				snapshot := m.hosts[0].Snapshot(c)
				h.ApplyListing(c, snapshot.InEra(snapshot.Position.Era), "peer")
			}
		}
		m.check(h)
	}
	m.now = m.now.Add(leaveGrace)
	for _, h := range m.hosts {
		h.expireLapsed()
		m.check(h)
		m.compare(h)
	}
}

// compare compares a host with the store.
func (m *storeModel) compare(h *modelHost) {
	fresh := NewState(wordDecoder{}, func(Collection, Object, error) {})
	for _, c := range WatchedCollections {
		listed := m.store.list(c)
		fresh.ApplyListing(m.now, c, listed)
		if got, want := revisions(h.Snapshot(c)), revisions(listed); !maps.Equal(got, want) || h.Mark(c) != fresh.Mark(c) {
			m.failf("a host holds %s %v at %+v, the store has %v at %+v", c, got, h.Mark(c), want, fresh.Mark(c))
		}
	}
	view, want := h.View(), fresh.View()
	for name, server := range want.Servers {
		// A host doesn't use the entry of an earlier start than one that it knows.
		if _, used := view.Servers[name]; !used && server.StartUnixMillis < m.latest[name] {
			delete(want.Servers, name)
		}
	}
	if !maps.Equal(view.Evacuated, want.Evacuated) || view.Config.Version != want.Config.Version || !maps.Equal(view.Servers, want.Servers) {
		m.failf("a host uses %+v, the store has %+v", view, want)
	}
}

func (m *storeModel) failf(format string, args ...any) {
	m.Helper()
	if !m.verbose {
		// The same run again, with its steps in the log.
		runStoreModel(m.T, m.seed, true)
	}
	m.Fatalf(format, args...)
}

// Guards against hosts that keep lost content of the store, take older content again
// or differ for good after drills, in any order of reads, reports and restarts.
func TestHostsEndWithTheContentOfARestoredStore(t *testing.T) {
	for seed := range uint64(1500) {
		runStoreModel(t, seed, false)
	}
}
