package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
)

// Guards against servers that are used or ranked differently after changes than
// after a new list of all servers.
func TestChangesGiveTheSameServersAsAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changed := New("west")
		now := time.Unix(1000, 0)
		listed := make(map[string]Server)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			var specs []Server
			var removed []string
			for range rapid.IntRange(1, 4).Draw(t, "servers") {
				id := fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "id"))
				if slices.Contains(removed, id) || slices.ContainsFunc(specs, func(s Server) bool { return s.ID == id }) {
					continue
				}
				if rapid.Bool().Draw(t, "removed") {
					removed = append(removed, id)
					delete(listed, id)
					continue
				}
				spec := Server{
					ID: id, Service: rapid.SampledFrom([]string{"desk", "vault"}).Draw(t, "service"), Region: rapid.SampledFrom([]string{"west", "east"}).Draw(t, "region"),
					Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Closed: rapid.Bool().Draw(t, "closed"),
				}
				specs = append(specs, spec)
				listed[id] = spec
			}
			regions := rapid.IntRange(2, 3).Draw(t, "regions")
			changed.UpdateServers(now, specs, removed, regions)
			whole := New("west")
			whole.SetServers(now, slices.Collect(maps.Values(listed)), regions)
			for _, service := range []string{"desk", "vault"} {
				if changed.service(service).callerRegions != regions {
					// A service is ranked for the new number of regions with its next change.
					continue
				}
				for key := range 5 {
					job := func() *Job {
						return &Job{Service: service, Sticky: true, Object: placement.Object{Key: fmt.Sprint(key), Origin: "west"}}
					}
					got, want := idsOf(changed, job()), idsOf(whole, job())
					if !slices.Equal(got, want) {
						t.Fatalf("%s: servers %v, want %v", service, got, want)
					}
				}
			}
		}
	})
}

func idsOf(s *Scheduler, job *Job) []string {
	var ids []string
	for _, server := range s.candidates(time.Unix(1000, 0), s.service(job.Service), job) {
		ids = append(ids, server.ID)
	}
	return ids
}

// Guards against a job that finds no server although one of many is usable.
func TestLastUsableServerIsFound(t *testing.T) {
	s := New("west")
	var specs []Server
	for i := range 5 * rankedServers {
		specs = append(specs, Server{ID: fmt.Sprint("i-", i), Service: "desk", Region: "west", Slots: 1, Closed: i != 7})
	}
	s.SetServers(time.Unix(1000, 0), specs, 1)
	for key := range 50 {
		job := &Job{Service: "desk", Sticky: true, Object: placement.Object{Key: fmt.Sprint(key), Origin: "west"}}
		if got := idsOf(s, job); !slices.Equal(got, []string{"i-7"}) {
			t.Fatalf("object %d: servers %v, want i-7", key, got)
		}
	}
}
