package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// stoppingScheduler has completed runs of a class that took the given times.
func stoppingScheduler(t *testing.T, runs ...time.Duration) *Scheduler {
	t.Helper()
	s := newScheduler(servers(4, 3))
	for i, took := range runs {
		at := start.Add(time.Duration(i) * time.Second)
		job := newJob(at, fmt.Sprint(i), 0, time.Minute)
		if granted(s.Submit(at, job), job) == "" {
			t.Fatal("an idle server was not granted")
		}
		s.Done(at.Add(took), job, Succeeded, nil)
	}
	return s
}

// Guards against a job that a stopping host starts although it is cut off at the stop.
func TestStoppingHostStartsOnlyWhatItCompletes(t *testing.T) {
	runs := make([]time.Duration, recentRuns)
	for i := range runs {
		runs[i] = 300 * time.Millisecond
	}
	const slow = 2500 * time.Millisecond
	runs[10] = slow
	now := start.Add(time.Hour)
	for left, want := range map[time.Duration]Reason{
		slow - 100*time.Millisecond: HostStopping,
		slow + 100*time.Millisecond: NotRefused,
	} {
		s := stoppingScheduler(t, runs...)
		s.Stop(now, now, now.Add(left))
		job := newJob(now, "late", 0, 10*time.Second)
		verdicts := s.Submit(now, job)
		if len(verdicts) != 1 || verdicts[0].Refused != want {
			t.Errorf("%v before the stop: %+v, want %v", left, verdicts, want)
		}
		if want == HostStopping && verdicts[0].RetryAfter != 0 {
			t.Errorf("callers wait %v before they use another host", verdicts[0].RetryAfter)
		}
	}
}

// Guards against refusals of jobs whose own deadline comes before the stop.
func TestJobsThatEndBeforeTheStopAreNotRefused(t *testing.T) {
	s := stoppingScheduler(t, 4*time.Second)
	now := start.Add(time.Hour)
	s.Stop(now, now, now.Add(2*time.Second))
	job := newJob(now, "short", 0, 1900*time.Millisecond)
	if granted(s.Submit(now, job), job) == "" {
		t.Error("a job was refused although its deadline comes before the stop")
	}
}

// Guards against the failure of a request whose first run was cancelled to be moved.
func TestResentJobIsNotRefusedBecauseTheHostStops(t *testing.T) {
	s := stoppingScheduler(t, 4*time.Second)
	now := start.Add(time.Hour)
	s.Stop(now, now, now.Add(5*time.Second))
	job := newJob(now, "moved", 0, time.Minute)
	job.MayHaveRun = true
	if granted(s.Submit(now, job), job) == "" {
		t.Error("a job that may have run was refused")
	}
}

// Guards against slow first runs that a host starts because it has seen few runs.
func TestStoppingHostAllowsForSlowRunsItHasNotSeen(t *testing.T) {
	s := stoppingScheduler(t, 100*time.Millisecond)
	now := start.Add(time.Hour)
	s.Stop(now, now, now.Add(2*s.class(newJob(now, "new", 0, 0)).cold))
	job := newJob(now, "new", 0, time.Minute)
	if verdicts := s.Submit(now, job); len(verdicts) != 1 || verdicts[0].Refused != HostStopping {
		t.Errorf("%+v with twice the expected time left, want a refusal", verdicts)
	}
}

// Guards against runs that are cut because nothing is known of their class.
func TestStoppingHostStartsNoClassThatItHasNotSeen(t *testing.T) {
	s := newScheduler(servers(4, 3))
	s.Stop(start, start, start.Add(time.Minute))
	job := newJob(start, "a", 0, time.Hour)
	if verdicts := s.Submit(start, job); len(verdicts) != 1 || verdicts[0].Refused != HostStopping {
		t.Errorf("%+v, want a refusal", verdicts)
	}
}

// Guards against jobs that wait for a server until the host stops.
func TestWaitingJobsAreRefusedOnceTheyCannotComplete(t *testing.T) {
	s := newScheduler(servers(1, 1))
	first := newJob(start, "a", 0, time.Minute)
	s.Submit(start, first)
	s.Done(start.Add(100*time.Millisecond), first, Succeeded, nil)
	running, waiting := newJob(start, "a", 0, time.Minute), newJob(start, "a", 0, time.Minute)
	s.Submit(start, running)
	if verdicts := s.Submit(start, waiting); len(verdicts) != 0 {
		t.Fatalf("%+v, want a job that waits", verdicts)
	}
	stopAt := start.Add(5 * time.Second)
	if verdicts := s.Stop(start, start, stopAt); len(verdicts) != 0 {
		t.Errorf("%+v although enough time is left", verdicts)
	}
	for now := start; now.Before(stopAt); now = now.Add(100 * time.Millisecond) {
		if verdicts := s.Tick(now); len(verdicts) == 1 {
			if verdicts[0].Refused != HostStopping {
				t.Errorf("%+v, want a refusal", verdicts)
			}
			return
		}
	}
	t.Error("the job waited until the host stopped")
}

// Guards against a request that arrives late in a stop, is estimated too short and is
// cut off at the stop.
func TestLateRequestStartsOnlyIfItsDeadlineComesBeforeTheStop(t *testing.T) {
	s := stoppingScheduler(t, 100*time.Millisecond, 100*time.Millisecond)
	now := start.Add(time.Hour)
	stopAt := now.Add(5 * time.Second)
	s.Stop(now, now, stopAt)
	now = now.Add(time.Millisecond)
	for limit, want := range map[time.Duration]Reason{4 * time.Second: NotRefused, 6 * time.Second: HostStopping} {
		job := newJob(now, "late", 0, limit)
		job.Received = now
		if verdicts := s.Submit(now, job); len(verdicts) != 1 || verdicts[0].Refused != want {
			t.Errorf("a late request with the limit %v: %+v, want %v", limit, verdicts, want)
		}
	}
}
