// Package envobject defines the store object of one environment: the
// operators' document and what is known of its acceptance.
package envobject

import (
	"encoding/json"
	"fmt"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

// keyPrefix precedes the environment's name in the store.
const keyPrefix = "documents/"

// Key returns the store key of an environment.
func Key(environment string) string { return keyPrefix + environment }

// Object is the value of an environment's store object.
type Object struct {
	Document string `json:"document"`
	// AcceptedUnixMillis is the acceptance time of this version.
	AcceptedUnixMillis int64 `json:"accepted_unix_millis"`
	// WeightsBefore are the region weights in force at acceptance.
	WeightsBefore map[string]float64 `json:"weights_before,omitempty"`
	// WriteIDs are the latest writes, newest first. A lost answer is resolved
	// by looking for the write ID here.
	WriteIDs []string `json:"write_ids"`
	// Author is the operator of the newest write.
	Author string `json:"author,omitempty"`
}

// Decode reads a stored value.
func Decode(value []byte) (Object, error) {
	var o Object
	if err := json.Unmarshal(value, &o); err != nil {
		return Object{}, fmt.Errorf("decode environment object: %w", err)
	}
	return o, nil
}

// Encode returns the value to store.
func (o Object) Encode() ([]byte, error) {
	value, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode environment object: %w", err)
	}
	return value, nil
}

// Meta returns the part that travels beside the document.
func (o Object) Meta() *wirepb.ConfigMeta {
	meta := &wirepb.ConfigMeta{
		AcceptedUnixMillis: o.AcceptedUnixMillis,
		WeightsBefore:      o.WeightsBefore,
	}
	if len(o.WriteIDs) > 0 {
		meta.WriteId = o.WriteIDs[0]
	}
	return meta
}
