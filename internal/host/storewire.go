package host

import (
	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Translation between the content of the store and its form in messages to peers. In a
// message, all revisions belong to one era, which hosts that don't know eras leave out.

func changeToWire(change inventory.Change) *wirepb.CollectionChange {
	return &wirepb.CollectionChange{
		Collection: uint32(change.Collection),
		FromDigest: change.Before.Digest,
		FromEra:    eraToWire(change.Before.AsOf),
		AsOf:       change.After.AsOf.Revision,
		Era:        eraToWire(change.After.AsOf),
		Objects:    objectsToWire(change.Objects),
	}
}

// changeFromWire returns the change in a message. The default is the era if the message
// states none.
func changeFromWire(pushed *wirepb.CollectionChange, byDefault model.Era) inventory.Change {
	era := eraFromWire(pushed.Era, byDefault)
	return inventory.Change{
		Collection: inventory.Collection(pushed.GetCollection()),
		Before:     inventory.Mark{AsOf: model.Position{Era: eraFromWire(pushed.FromEra, byDefault)}, Digest: pushed.GetFromDigest()},
		After:      inventory.Mark{AsOf: model.Position{Era: era, Revision: pushed.GetAsOf()}},
		Objects:    objectsFromWire(pushed.GetObjects(), era),
	}
}

func snapshotToWire(collection uint32, batch inventory.Batch) *wirepb.CollectionSnapshot {
	return &wirepb.CollectionSnapshot{
		Collection: collection,
		AsOf:       batch.Position.Revision,
		Era:        eraToWire(batch.Position),
		Objects:    objectsToWire(batch.Objects),
	}
}

// snapshotFromWire returns the listing in a message, of era 0 if it states none.
func snapshotFromWire(snapshot *wirepb.CollectionSnapshot) inventory.Batch {
	era := eraFromWire(snapshot.Era, 0)
	return inventory.Batch{
		Objects:  objectsFromWire(snapshot.GetObjects(), era),
		Position: model.Position{Era: era, Revision: snapshot.GetAsOf()},
	}
}

func markToWire(c inventory.Collection, mark inventory.Mark) *wirepb.CollectionState {
	return &wirepb.CollectionState{Collection: uint32(c), AsOf: mark.AsOf.Revision, Era: eraToWire(mark.AsOf), Digest: mark.Digest, HasLost: mark.HasLost}
}

// markFromWire returns the mark in a message, of era 0 if it states none.
func markFromWire(state *wirepb.CollectionState) inventory.Mark {
	return inventory.Mark{
		AsOf:    model.Position{Era: eraFromWire(state.Era, 0), Revision: state.GetAsOf()},
		Digest:  state.GetDigest(),
		HasLost: state.GetHasLost(),
	}
}

func objectsToWire(objects []inventory.Object) []*wirepb.StoredObject {
	encoded := make([]*wirepb.StoredObject, 0, len(objects))
	for _, o := range objects {
		encoded = append(encoded, &wirepb.StoredObject{Name: o.Name, Revision: o.Position.Revision, Body: o.Body, Deleted: o.Deleted})
	}
	return encoded
}

func objectsFromWire(encoded []*wirepb.StoredObject, era model.Era) []inventory.Object {
	objects := make([]inventory.Object, 0, len(encoded))
	for _, o := range encoded {
		objects = append(objects, inventory.Object{
			Name:     o.GetName(),
			Position: model.Position{Era: era, Revision: o.GetRevision()},
			Body:     o.GetBody(),
			Deleted:  o.GetDeleted(),
		})
	}
	return objects
}

func eraToWire(at model.Position) *uint64 { return proto.Uint64(uint64(at.Era)) }

func eraFromWire(era *uint64, byDefault model.Era) model.Era {
	if era == nil {
		return byDefault
	}
	return model.Era(*era)
}
