// Package envobject defines the store object of one environment: the operators'
// document and the metadata of its acceptance.
package envobject

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

// keyPrefix precedes the environment's name in the store.
const keyPrefix = "documents/"

// Key returns the store key of an environment.
func Key(environment string) string { return keyPrefix + environment }

// MaxBytes is the store's limit on one value.
const MaxBytes = 1 << 20

// maxWrites is the number of writes that the object records. A lost response is
// resolved within seconds, so its write is found unless 16 others have followed.
const maxWrites = 16

// Object is the value of an environment's store object.
type Object struct {
	Document string `json:"document,omitempty"`
	// Compressed has the document, compressed by gzip, instead of Document if the
	// document is large.
	Compressed []byte `json:"compressed,omitempty"`
	// AcceptedUnixMillis is the acceptance time of this version.
	AcceptedUnixMillis int64 `json:"accepted_unix_millis"`
	// WeightsBefore are the effective region shares at acceptance.
	WeightsBefore map[string]float64 `json:"weights_before,omitempty"`
	// Writes are the latest writes, newest first. A lost response is resolved by
	// looking up the write ID here.
	Writes []Write `json:"writes"`
}

// Write is one accepted write.
type Write struct {
	ID     string `json:"id"`
	Author string `json:"author,omitempty"`
	// AcceptedUnixMillis is the acceptance time.
	AcceptedUnixMillis int64 `json:"accepted_unix_millis"`
	// Version is the version that the write created. It is 0 for the newest write,
	// whose version is that of the object.
	Version uint64 `json:"version,omitempty"`
	// Source is the version of the other environment that was promoted.
	Source uint64 `json:"source,omitempty"`
}

// Accepted returns the acceptance time of this version.
func (o Object) Accepted() time.Time { return time.UnixMilli(o.AcceptedUnixMillis) }

// Latest returns the newest write.
func (o Object) Latest() Write {
	if len(o.Writes) == 0 {
		return Write{}
	}
	return o.Writes[0]
}

// Find returns the version that the write with that ID created, if the write is
// recorded. version is the version of the object.
func (o Object) Find(writeID string, version uint64) (uint64, bool) {
	for i, write := range o.Writes {
		if write.ID != writeID {
			continue
		}
		if i == 0 {
			return version, true
		}
		return write.Version, true
	}
	return 0, false
}

// Decode reads a stored value.
func Decode(value []byte) (Object, error) {
	var o Object
	if err := json.Unmarshal(value, &o); err != nil {
		return Object{}, fmt.Errorf("decode environment object: %w", err)
	}
	if err := o.decompress(); err != nil {
		return Object{}, fmt.Errorf("decode environment object: %w", err)
	}
	return o, nil
}

// Encode returns the value to store.
func (o Object) Encode() ([]byte, error) {
	if err := o.compress(); err != nil {
		return nil, fmt.Errorf("encode environment object: %w", err)
	}
	value, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode environment object: %w", err)
	}
	return value, nil
}

// Meta returns the metadata that is distributed with the document.
func (o Object) Meta() *wirepb.ConfigMeta {
	return &wirepb.ConfigMeta{
		AcceptedUnixMillis: o.AcceptedUnixMillis,
		WeightsBefore:      o.WeightsBefore,
		WriteId:            o.Latest().ID,
	}
}
