package entry

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/admission"
	"github.com/wisteriacrank/wisteriacrank/pkg/grant"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// startGranted occupies a slot for a request of another region. Its grant
// reserves a free slot, so the request does not wait.
func (s *scheduler) startGranted(now time.Time, item admission.Item, id grant.ID, holder model.HostID, moved bool) (*run, result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if code := s.ledger.Start(now, id, holder); code != result.Served {
		return nil, code
	}
	if moved {
		if code := s.moves.Start(now); code != result.Served {
			s.ledger.Finish(now, id)
			return nil, code
		}
	}
	s.lastID++
	item.ID = s.lastID
	r, ok := s.acquire(now, item, moved)
	if !ok {
		s.finishMove(now, moved)
		s.ledger.Finish(now, id)
		return nil, result.NoCapacity
	}
	r.grantID = id
	s.queue.Started(now, item.Rank)
	return r, result.Served
}

// checkMove returns the code with which the cap refuses a moved request now, or
// result.Served. It reserves nothing, because only running requests count
// against the cap.
func (s *scheduler) checkMove(now time.Time) result.Code {
	s.mu.Lock()
	defer s.mu.Unlock()
	code := s.moves.Start(now)
	s.finishMove(now, code == result.Served)
	return code
}

// finishMove ends the run of a moved request. The caller holds the mutex.
func (s *scheduler) finishMove(now time.Time, moved bool) {
	if moved {
		s.moves.Finish(now)
	}
}

// issue grants spare slots to an entry host of another region. Slots that local
// queued requests need are not spare.
func (s *scheduler) issue(now time.Time, holder model.HostID, want int) (grant.Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spare := min(s.table.Free(now), s.ledger.FreeLocalSlots(now)) - s.queue.Len()
	if spare <= 0 {
		return grant.Grant{}, false
	}
	return s.ledger.Issue(now, holder, want, spare)
}

// returnSlots frees slots of a grant that its holder returns.
func (s *scheduler) returnSlots(now time.Time, id grant.ID, holder model.HostID, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Return(now, id, holder, count)
	s.startWaiting(now)
}
