// Package standin has small stand-ins for the platform's store, its host list
// and backend servers. They inject faults and serve only tests and the demo.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/platform"
)

// maxWatchWait is how long a watch waits at most before it returns nothing.
const maxWatchWait = 20 * time.Second

// maxValueBytes is the platform's limit on one value.
const maxValueBytes = 1 << 20

// Faults are the faults that the store injects.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// Delay delays every call.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the number of writes that take effect but whose response is
	// lost.
	LoseResponses int `json:"lose_answers"`
	// HostListLag is the age of the host list that a call returns.
	HostListLag time.Duration `json:"host_list_lag"`
}

// hostList is one version of the host list.
type hostList struct {
	since    time.Time
	machines []platform.Machine
}

// Store is an in-memory store with versions, conditional writes and watches.
// It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	version   uint64
	objects   map[string]platform.Object
	changed   chan struct{}
	hostLists []hostList // in order of time
	latencies []platform.Latency
	faults    Faults
	calls     int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetMachines replaces the host list.
func (s *Store) SetMachines(machines []platform.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLists = append(s.hostLists, hostList{since: time.Now(), machines: machines})
}

// laggedMachines returns the host list as it was before the injected lag, or
// the first one if that is newer.
func (s *Store) laggedMachines() []platform.Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.hostLists) == 0 {
		return []platform.Machine{}
	}
	asOf := time.Now().Add(-s.faults.HostListLag)
	list := s.hostLists[0]
	for _, later := range s.hostLists[1:] {
		if !later.since.After(asOf) {
			list = later
		}
	}
	return list.machines
}

// SetLatencies replaces the measured latencies.
func (s *Store) SetLatencies(latencies []platform.Latency) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies = latencies
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/object", s.get)
	mux.HandleFunc("PUT /v1/object", s.put)
	mux.HandleFunc("DELETE /v1/object", s.remove)
	mux.HandleFunc("GET /v1/objects", s.list)
	mux.HandleFunc("GET /v1/watch", s.watch)
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.laggedMachines())
	})
	mux.HandleFunc("GET /v1/latencies", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, s.latencies)
	})
	root := http.NewServeMux()
	root.HandleFunc("POST /control/faults", s.controlFaults)
	root.HandleFunc("POST /control/machines", s.controlMachines)
	root.HandleFunc("POST /control/latencies", s.controlLatencies)
	root.Handle("/v1/", s.withFaults(mux))
	return root
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.calls++
		s.mu.Unlock()
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		if faults.Down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	object, ok := s.objects[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, object)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	objects := s.objectsAfter(r.URL.Query().Get("prefix"), 0, false)
	s.mu.Unlock()
	writeJSON(w, objects)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.write(w, r, value, false)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, nil, true)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, value []byte, deleted bool) {
	key := r.URL.Query().Get("key")
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("if-version"), 10, 64)
	if err != nil {
		http.Error(w, "if-version: "+err.Error(), http.StatusBadRequest)
		return
	}
	version, loseResponse, ok := s.apply(key, value, ifVersion, deleted)
	if !ok {
		http.Error(w, "object has another version", http.StatusConflict)
		return
	}
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]uint64{"version": version})
}

func (s *Store) apply(key string, value []byte, ifVersion uint64, deleted bool) (version uint64, loseResponse, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	currentVersion := current.Version
	if current.Deleted {
		currentVersion = platform.CreateOnly
	}
	if ifVersion != platform.AnyVersion && currentVersion != ifVersion {
		return 0, false, false
	}
	s.version++
	s.objects[key] = platform.Object{Key: key, Version: s.version, Value: value, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		loseResponse = true
	}
	return s.version, loseResponse, true
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait := maxWatchWait
	if ms, err := strconv.ParseInt(r.URL.Query().Get("wait-millis"), 10, 64); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		objects := s.objectsAfter(r.URL.Query().Get("prefix"), after, true)
		changed := s.changed
		s.mu.Unlock()
		if len(objects) > 0 {
			writeJSON(w, objects)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, []platform.Object{})
			return
		}
	}
}

func (s *Store) objectsAfter(prefix string, after uint64, withDeleted bool) []platform.Object {
	objects := []platform.Object{}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Version > after && (withDeleted || !object.Deleted) {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	return objects
}

func (s *Store) controlFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Store) controlMachines(w http.ResponseWriter, r *http.Request) {
	var machines []platform.Machine
	if readJSON(w, r, &machines) {
		s.SetMachines(machines)
	}
}

func (s *Store) controlLatencies(w http.ResponseWriter, r *http.Request) {
	var latencies []platform.Latency
	if readJSON(w, r, &latencies) {
		s.SetLatencies(latencies)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
