package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store"): lists, watches, writes with an optional revision.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{}
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	Created  uint64 `json:"created,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	go server.Serve(l)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object as the operator or a server does.
func (s *store) put(kind, name, spec string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, json.RawMessage(spec), false)
}

func (s *store) write(kind, name string, spec json.RawMessage, deleted bool) uint64 {
	s.revision++
	of := s.objects[kind]
	if of == nil {
		of = map[string]*object{}
		s.objects[kind] = of
	}
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if known := of[name]; known != nil {
		o.Metadata.Created = known.Metadata.Created
		if deleted {
			o.Spec = known.Spec
		}
	}
	if deleted {
		delete(of, name)
	} else {
		of[name] = &o
	}
	s.history = append(s.history, change{kind: kind, revision: s.revision, object: o, deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the store's usual time for an answer
	rest, ok := strings.CutPrefix(r.URL.Path, "/wisteriacrank/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name, isStatus)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const page = 500
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > page
	items := []object{}
	for _, name := range names[:min(len(names), page)] {
		items = append(items, *s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "store-revision": revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	s.mu.Unlock()
	if o == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var o object
	if body, err := io.ReadAll(r.Body); err != nil || len(body) > 0 && json.Unmarshal(body, &o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	expected := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known != nil:
		answer(w, http.StatusConflict, known)
	case r.Method != http.MethodPost && known == nil:
		answer(w, http.StatusNotFound, map[string]any{})
	case known != nil && expected != 0 && expected != known.Metadata.Revision:
		answer(w, http.StatusConflict, known)
	case isStatus:
		known.Status = o.Status
		answer(w, http.StatusOK, known)
	case r.Method == http.MethodPut && string(known.Spec) == string(o.Spec):
		answer(w, http.StatusOK, known)
	default:
		s.write(kind, name, o.Spec, r.Method == http.MethodDelete)
		answer(w, http.StatusOK, map[string]any{"metadata": metadata{Name: name, Revision: s.revision}})
	}
}

// register writes the entry of a server in the store.
func (s *store) register(b *backend, state string, coldLeftMs int) {
	s.put("servers", b.id, fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"cold-left-ms":%d},"born":%d}`,
		b.address(), b.service, b.zone, b.slots, state, b.seq.Add(1), coldLeftMs, b.born))
}
