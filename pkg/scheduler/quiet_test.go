package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests to a server within a time for which it has asked for
// none, whatever else happens: responses, refusals, restarts, waiting requests and
// changes of the list.
func TestNoRequestsWhileAServerWantsQuiet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("west")
		now := time.Unix(1000, 0)
		ids := []string{"i-0", "i-1", "i-2"}
		list := func() {
			var specs []Server
			for _, id := range ids {
				specs = append(specs, Server{ID: id, Service: "desk", Region: "west", Slots: 2})
			}
			s.SetServers(now, specs, 1)
		}
		list()
		quietUntil := make(map[string]time.Time)
		var running []*Job
		check := func(verdicts []Verdict) {
			for _, v := range verdicts {
				if v.Server == "" {
					if v.RetryAfter < MinRetryAfter || v.RetryAfter > maxQuiet {
						t.Fatalf("Retry-After %s", v.RetryAfter)
					}
					continue
				}
				if now.Before(quietUntil[v.Server]) {
					t.Fatalf("server %s got a request %s before the end of its quiet time", v.Server, quietUntil[v.Server].Sub(now))
				}
				running = append(running, v.Job)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				check(s.Submit(now, testJob(fmt.Sprint(i), now)))
			case 1, 2:
				if len(running) == 0 {
					continue
				}
				job := running[0]
				running = running[1:]
				id := job.server.ID
				outcome := rapid.SampledFrom([]Result{Succeeded, Failed, Shed, Abandoned}).Draw(t, "outcome")
				if outcome == Shed && rapid.Bool().Draw(t, "asks") {
					asked := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "asked ms")) * time.Millisecond
					if until := now.Add(s.SetQuiet(now, id, asked)); until.After(quietUntil[id]) {
						quietUntil[id] = until
					}
				}
				check(s.Done(now, job, outcome, nil))
			case 3:
				id := rapid.SampledFrom(ids).Draw(t, "restarted")
				s.Forget(now, id)
				delete(quietUntil, id)
			case 4:
				list()
				check(s.Tick(now))
			}
		}
	})
}

func testJob(key string, now time.Time) *Job {
	job := &Job{Class: "read", Service: "desk", Target: time.Second, TargetAt: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}
	job.Object.Key, job.Object.Origin = key, "west"
	return job
}

// Guards against a refusal that lets a caller return while all servers still want
// quiet, and against a value that takes a service out of use for good.
func TestRefusalSaysWhenServersMayBeUsedAgain(t *testing.T) {
	s := New("west")
	now := time.Unix(1000, 0)
	s.SetServers(now, []Server{{ID: "i-0", Service: "desk", Region: "west", Slots: 2}, {ID: "i-1", Service: "desk", Region: "west", Slots: 2}}, 1)
	s.SetQuiet(now, "i-0", 3*time.Second)
	s.SetQuiet(now, "i-1", 1000*time.Hour)
	verdicts := s.Submit(now, testJob("a", now))
	if len(verdicts) != 1 || verdicts[0].Refused != NoServer || verdicts[0].RetryAfter != 3*time.Second {
		t.Fatalf("%+v, want a refusal with the quiet time of the first server", verdicts)
	}
	later := now.Add(maxQuiet)
	if verdicts := s.Submit(later, testJob("b", later)); len(verdicts) != 1 || verdicts[0].Server == "" {
		t.Errorf("%+v after the longest quiet time, want a server", verdicts)
	}
}

// Guards against a server that refuses every request and gets as many as one that
// serves them, and against a first refusal of a full server that has that effect.
func TestServerThatOnlyRefusesIsPreferredLess(t *testing.T) {
	s := New("west")
	now := time.Unix(1000, 0)
	s.SetServers(now, []Server{{ID: "i-0", Service: "desk", Region: "west", Slots: 2}, {ID: "i-1", Service: "desk", Region: "west", Slots: 2}}, 1)
	sent := make(map[string]int)
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for _, v := range s.Submit(now, testJob(fmt.Sprint(now), now)) {
			if v.Server == "" {
				continue
			}
			sent[v.Server]++
			outcome := Succeeded
			if v.Server == "i-0" {
				outcome = Shed
			}
			s.Done(now.Add(50*time.Millisecond), v.Job, outcome, nil)
		}
	}
	if sent["i-0"] > sent["i-1"]/4 {
		t.Errorf("the server that refuses got %d requests, the other one %d", sent["i-0"], sent["i-1"])
	}
	if sent["i-0"] < 2 {
		t.Errorf("the server that refuses got %d requests, so a full server would not be tried again", sent["i-0"])
	}
}
