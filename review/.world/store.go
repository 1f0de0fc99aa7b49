package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store.
type object struct {
	name     string
	revision uint64
	spec     string
}

func (o object) encode() string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":1,"finalizers":[],"deletion-pending":false},"spec":%s,"status":null}`, o.name, o.revision, o.spec)
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// store is the platform's store: objects by kind and name, one revision counter,
// listings and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	// cut is closed to cut off the watches that wait.
	cut chan struct{}
	// losing are the kinds whose watches get no answer now: a lost answer, after
	// which the connection returns nothing further.
	losing  map[string]bool
	answers int
	lost    int
	// down makes the store answer 503 to every call of the hosts.
	down    bool
	listing net.Listener
}

const (
	objectsPath = "/wisteriacrank/objects/"
	pageItems   = 500
	callTime    = 4 * time.Millisecond
)

func newStore() *store {
	s := &store{revision: 500, objects: make(map[string]map[string]object), changed: make(chan struct{}), cut: make(chan struct{}), losing: make(map[string]bool)}
	s.listing = mustListen(loopback(250) + ":0")
	go func() { _ = http.Serve(s.listing, s) }()
	return s
}

func (s *store) address() string { return s.listing.Addr().String() }

// put writes an object, as the operator or a server does. It returns the time of
// the store's confirmation.
func (s *store) put(kind, name, spec string) time.Time { return s.write(kind, name, spec, false) }

// remove deletes an object.
func (s *store) remove(kind, name string) time.Time { return s.write(kind, name, "null", true) }

func (s *store) write(kind, name, spec string, deleted bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	known, exists := s.objects[kind][name]
	if exists && !deleted && known.spec == spec || deleted && !exists {
		return time.Now()
	}
	s.revision++
	o := object{name: name, revision: s.revision, spec: spec}
	if deleted {
		o.spec = known.spec
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.history = append(s.history, change{kind: kind, object: o, deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// cutWatches cuts off all watches that wait: their connections are closed
// without a response.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// setLosing makes the answers to watches of a kind get lost, or no longer.
func (s *store) setLosing(kind string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing[kind] = on
}

// setDown makes the store be down, or return. Watches that wait are cut off.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.cutWatches()
	}
}

// count returns how many answers there were since the last call, and how many of
// them were lost.
func (s *store) count() (answers, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers, lost = s.answers, s.lost
	s.answers, s.lost = 0, 0
	return answers, lost
}

// answered counts an answer, and reports whether it is lost.
func (s *store) answered(kind string, watch bool) (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost = watch && s.losing[kind]; lost {
		s.lost++
	}
	s.answers++
	return lost
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callTime)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		reply(w, http.StatusServiceUnavailable, `{}`)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, `{}`)
			return
		}
		reply(w, http.StatusOK, o.encode())
	default:
		s.call(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.answered(kind, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	names = names[:min(len(names), pageItems)]
	items := make([]string, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name].encode())
	}
	reply(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"more":%t,"store-revision":%d}`, strings.Join(items, ","), more, s.revision))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []string
		for _, c := range s.history {
			if c.kind == kind && c.object.revision > after {
				events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, c.object.encode(), c.deleted))
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		body := fmt.Sprintf(`{"events":[%s],"store-revision":%d}`, strings.Join(events, ","), revision)
		if len(events) > 0 {
			if s.answered(kind, true) {
				<-r.Context().Done()
				return
			}
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answered(kind, true)
			reply(w, http.StatusOK, body)
			return
		case <-cut:
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = conn.Close()
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

// call serves POST, PUT and DELETE.
func (s *store) call(w http.ResponseWriter, r *http.Request, kind, name string) {
	var doc struct {
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&doc); err != nil {
			reply(w, http.StatusBadRequest, `{}`)
			return
		}
	}
	if name == "" {
		name = doc.Metadata.Name
	}
	s.mu.Lock()
	known, exists := s.objects[kind][name]
	s.mu.Unlock()
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, known.encode())
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, `{}`)
	default:
		s.write(kind, name, string(doc.Spec), r.Method == http.MethodDelete)
		reply(w, http.StatusOK, `{}`)
	}
}

func reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}
