package lease

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	duration = 9 * time.Second
	step     = 250 * time.Millisecond
)

// store is one object with conditional writes whose responses can be lost.
type store struct {
	now           time.Time
	version       uint64
	record        Record
	down          bool
	loseResponses int
	history       []porcupine.Operation
}

func (s *store) write(w Write) (Outcome, uint64) {
	if s.down {
		return Failed, 0
	}
	ok := w.IfVersion == s.version
	if ok {
		s.version++
		s.record = w.Record
	}
	at := int64(len(s.history)) * 2
	s.history = append(s.history, porcupine.Operation{Input: w, Output: [2]uint64{s.version, s.record.WriteID}, Call: at, Return: at + 1})
	if s.loseResponses > 0 {
		s.loseResponses--
		return Uncertain, 0
	}
	if !ok {
		return Refused, 0
	}
	return Written, s.version
}

func (s *store) run(l *Lease, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Read:
			if s.down {
				s.run(l, l.ReadFailed(s.now))
			} else {
				s.run(l, l.ReadDone(s.now, s.version, s.record))
			}
		case Write:
			outcome, version := s.write(a)
			s.run(l, l.WriteDone(s.now, outcome, version))
		}
	}
}

func candidates(n int) (*store, []*Lease) {
	var all []*Lease
	for i := range n {
		all = append(all, New(fmt.Sprintf("host-%d", i), duration, rand.New(rand.NewSource(int64(i)))))
	}
	return &store{now: time.Unix(1000, 0)}, all
}

// advance runs the candidates and fails if two hold the lease at once.
func (s *store) advance(t *testing.T, d time.Duration, running ...*Lease) *Lease {
	t.Helper()
	var holder *Lease
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		for _, l := range running {
			s.run(l, l.Tick(s.now))
		}
		holder = nil
		for _, l := range running {
			if !l.Held(s.now) {
				continue
			}
			if holder != nil {
				t.Fatalf("%s and %s hold the lease at once", holder.holder, l.holder)
			}
			holder = l
		}
	}
	return holder
}

// Guards against a holder that was paused beyond its lease and writes after
// another candidate has acquired it.
func TestPausedHolderIsRefused(t *testing.T) {
	s, all := candidates(2)
	first := s.advance(t, 20*time.Second, all...)
	if first == nil {
		t.Fatal("no candidate holds the lease")
	}
	other := all[0]
	if other == first {
		other = all[1]
	}
	delayed := first.write(s.now).(Write) // the pause falls between check and write
	delayed.Record.Payload = []byte("late")
	if s.advance(t, 30*time.Second, other) != other {
		t.Fatal("the other candidate did not acquire the lease of the paused holder")
	}
	if outcome, _ := s.write(delayed); outcome != Refused || string(s.record.Payload) == "late" {
		t.Errorf("write of the paused holder: outcome %v, payload %q", outcome, s.record.Payload)
	}
	if first.Held(s.now) {
		t.Error("the paused holder considers its lease valid")
	}
}

// Guards against a lost response that is treated as a failure: the candidate
// would wait for its own lease to expire, or write twice.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	s, all := candidates(1)
	s.loseResponses = 1
	s.run(all[0], all[0].Tick(s.now))
	if !all[0].Held(s.now) || s.version != 1 || all[0].Version() != 1 {
		t.Errorf("held %v after a lost response, object version %d, candidate's %d", all[0].Held(s.now), s.version, all[0].Version())
	}
}

// Guards against a lease that two candidates hold, or that none acquires again,
// after outages, lost responses and pauses. The writes must be those of a register
// with conditional updates.
func TestLeaseUnderFaults(t *testing.T) {
	s, all := candidates(3)
	rng := rand.New(rand.NewSource(5))
	for round := range 60 {
		s.down = round%10 == 3
		s.loseResponses = rng.Intn(2)
		paused := rng.Intn(len(all))
		running := append(append([]*Lease(nil), all[:paused]...), all[paused+1:]...)
		s.advance(t, time.Duration(rng.Intn(15))*time.Second, running...)
	}
	s.down, s.loseResponses = false, 0
	if s.advance(t, 30*time.Second, all...) == nil {
		t.Error("no candidate holds the lease after the faults")
	}
	model := porcupine.Model{
		Init: func() any { return [2]uint64{} },
		Step: func(state, input, output any) (bool, any) {
			held, w := state.([2]uint64), input.(Write)
			if w.IfVersion == held[0] {
				held = [2]uint64{held[0] + 1, w.Record.WriteID}
			}
			return output == any(held), held
		},
	}
	if !porcupine.CheckOperations(model, s.history) {
		t.Error("the writes are not those of a register with conditional updates")
	}
	t.Logf("%d writes", len(s.history))
}
