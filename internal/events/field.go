package events

import (
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// FieldName is the name of a field. Every name has one type of value, so a log
// line cannot carry a body or a header.
type FieldName string

// Field names.
const (
	FieldHost        FieldName = "host"
	FieldRegion      FieldName = "region"
	FieldDomain      FieldName = "failure_domain"
	FieldService     FieldName = "service"
	FieldRank        FieldName = "rank"
	FieldServer      FieldName = "server"
	FieldEnvironment FieldName = "environment"
	FieldGeneration  FieldName = "generation"
	FieldIncarnation FieldName = "incarnation"
	FieldState       FieldName = "state"
	FieldCode        FieldName = "code"
	FieldCount       FieldName = "count"
	FieldElapsed     FieldName = "elapsed"
	FieldAddress     FieldName = "address"
	FieldPeer        FieldName = "peer"
	FieldAuthor      FieldName = "author"
	FieldReason      FieldName = "reason"
	FieldRequest     FieldName = "request"
	FieldSubject     FieldName = "subject"
)

// Field is one typed value of a log line.
type Field struct {
	name  FieldName
	value any
}

// Host names a host.
func Host(id model.HostID) Field { return Field{FieldHost, string(id)} }

// Region names a region.
func Region(r model.Region) Field { return Field{FieldRegion, string(r)} }

// FailureDomain names a failure domain.
func FailureDomain(d model.FailureDomain) Field { return Field{FieldDomain, string(d)} }

// Service names a service.
func Service(s model.Service) Field { return Field{FieldService, string(s)} }

// Rank names a rank.
func Rank(r model.Rank) Field { return Field{FieldRank, string(r)} }

// Server names a backend server.
func Server(s model.ServerID) Field { return Field{FieldServer, string(s)} }

// Environment names an environment.
func Environment(name string) Field { return Field{FieldEnvironment, singleLine(name)} }

// Generation is a configuration generation.
func Generation(g model.Generation) Field { return Field{FieldGeneration, uint64(g)} }

// Incarnation identifies one start of a process.
func Incarnation(i model.Incarnation) Field { return Field{FieldIncarnation, uint64(i)} }

// State is the state of a host.
func State(s model.HostState) Field { return Field{FieldState, s.String()} }

// Code is a result code.
func Code(c result.Code) Field { return Field{FieldCode, uint32(c)} }

// Count is the number of items that the event is about.
func Count(n int) Field { return Field{FieldCount, n} }

// Elapsed is a duration.
func Elapsed(d time.Duration) Field { return Field{FieldElapsed, d.String()} }

// Address is an address on which this process listens or which it calls.
func Address(a string) Field { return Field{FieldAddress, singleLine(a)} }

// Peer names another process by its address.
func Peer(a string) Field { return Field{FieldPeer, singleLine(a)} }

// Author names the operator who made a change.
func Author(name string) Field { return Field{FieldAuthor, singleLine(name)} }

// Reason is the text of an error, truncated and on one line.
func Reason(err error) Field {
	if err == nil {
		return Field{FieldReason, ""}
	}
	return Field{FieldReason, singleLine(err.Error())}
}

// Request names a request by its ID.
func Request(id string) Field { return Field{FieldRequest, singleLine(id)} }

// Subject names what an event is about by its kind and name.
func Subject(s string) Field { return Field{FieldSubject, singleLine(s)} }

// maxTextBytes bounds the value of a text field, because errors may quote input.
const maxTextBytes = 200

// singleLine truncates a text to maxTextBytes and replaces control characters by
// spaces.
func singleLine(text string) string {
	if len(text) > maxTextBytes {
		text = strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
}
