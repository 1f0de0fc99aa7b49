package inventory

import (
	"fmt"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// eras has what a Reader knows about the eras of the store. The Reader's lock guards it.
type eras struct {
	// known is the highest era that the store or a peer has stated.
	known model.Era
	// logged is the latest era whose beginning was logged.
	logged model.Era
	// stated is true once a response of the store has stated its era.
	stated bool
	// changes counts the changes of the era, unstated the responses without one.
	changes, unstated int
}

// Era returns the highest era of the store that this host knows.
func (r *Reader) Era() model.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eras.known
}

// EraCounts returns how often the store has changed its era and how many of its
// responses did not state one.
func (r *Reader) EraCounts() (changes, unstated int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eras.changes, r.eras.unstated
}

// observeEra applies the era that a response of the store states. In a later one
// all collections are listed again; waiting watches may miss changes of it.
func (r *Reader) observeEra(era model.Era, stated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !stated {
		if r.eras.unstated == 0 {
			r.log.Emit(events.StoreEraUnstated)
		}
		r.eras.unstated++
		return
	}
	r.eras.stated = true
	r.learnEra(era)
}

// learnEra ends the watches if the era is a later one. It is called with the lock held.
func (r *Reader) learnEra(era model.Era) {
	if era > r.eras.known {
		r.eras.known = era
		r.watches.cancelAll()
	}
}

// inKnownEra returns the batch in the era that was known when the call began, if the
// store does not state eras to this host.
func (r *Reader) inKnownEra(batch Batch, known model.Era) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eras.stated {
		return batch
	}
	return batch.InEra(known)
}

// inInferredEra returns a listing from before what this host held when the call began in
// the next era, if the store does not state eras: it shows that the store has gone back.
func (r *Reader) inInferredEra(batch Batch) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eras.stated || batch.Position.Era < r.eras.known {
		return batch
	}
	r.learnEra(batch.Position.Era + 1)
	return batch.InEra(r.eras.known)
}

// logEra records the era of new content. It logs the first content that follows that of
// an earlier era. It is called with the lock held.
func (r *Reader) logEra(change Change, sender string) {
	before, after := change.Before.AsOf, change.After.AsOf
	r.learnEra(after.Era)
	if before == (model.Position{}) || after.Era <= before.Era || r.eras.logged >= after.Era {
		return
	}
	r.eras.logged = after.Era
	r.eras.changes++
	r.log.Emit(events.StoreRestored, events.Subject(change.Collection.String()), events.Peer(sender), events.Reason(fmt.Errorf("%v follows %v", after, before)))
}
