// Package result defines the numbered result codes. The class of a code says
// whether the request ran. docs/result-codes.md lists all codes.
package result

import "fmt"

// Code is a numbered result.
type Code uint32

// Class groups the codes by what is known about the execution of a request.
type Class int

// Classes of result codes.
const (
	ClassInvalid Class = iota
	ClassServed
	ClassNotRun
	ClassUnknown
	ClassProtocol
	ClassOperator
)

var classNames = [...]string{"invalid", "served", "not-run", "unknown", "protocol", "operator"}

func (c Class) String() string {
	if int(c) >= len(classNames) || c < 0 {
		return classNames[ClassInvalid]
	}
	return classNames[c]
}

// Result codes.
const (
	Served       Code = 100
	ServedReplay Code = 101

	NotReady          Code = 200
	Stopping          Code = 201
	UnknownService    Code = 202
	UnknownRank       Code = 203
	BadRequest        Code = 204
	DeadlineBeforeRun Code = 205
	QueueFull         Code = 206
	WouldMissDeadline Code = 207
	NoCapacity        Code = 208
	NoGrant           Code = 209
	MoveCapReached    Code = 210
	LinkLimit         Code = 211
	Quarantined       Code = 212
	OwnerRequired     Code = 213
	BodyTooLarge      Code = 214
	ServerShed        Code = 215
	NoServer          Code = 216
	RequestIDReused   Code = 217
	RecordsFull       Code = 218
	ConnectFailed     Code = 219
	NotDispatcher     Code = 220

	ConnectionLost        Code = 300
	DeadlineAfterDispatch Code = 301
	OwnerGone             Code = 302
	ServerCrashed         Code = 303
	AnswerTruncated       Code = 304
	TokenExpired          Code = 305
	OwnerUnreachable      Code = 306
	AnswerNotKept         Code = 307
	ServerFailed          Code = 308
	StoppedAfterDispatch  Code = 309

	UnknownMessage Code = 400
	FrameTooLarge  Code = 401
	BadGreeting    Code = 402

	DocumentInvalid  Code = 500
	Conflict         Code = 501
	StoreUnavailable Code = 502
	WriteUnresolved  Code = 503
	NotFound         Code = 504
	WaitTimeout      Code = 505
	BadCommand       Code = 506
)

// Info is the description of a code.
type Info struct {
	Code Code
	Name string
	// HTTPStatus is the status of a response to a caller or operator.
	HTTPStatus int
	// ResendSafe reports whether a resend with the same request ID is safe.
	ResendSafe bool
	Meaning    string
	Action     string
}

// codesPerClass is the number of codes in the range of one class.
const codesPerClass = 100

// Class returns the class of the code's number range.
func (c Code) Class() Class {
	class := Class(c / codesPerClass)
	if class > ClassOperator {
		return ClassInvalid
	}
	return class
}

// Info returns the description of a code.
func (c Code) Info() (Info, bool) {
	info, ok := byCode[c]
	return info, ok
}

// HTTPStatus returns the HTTP status of the code, and 500 for an unknown code.
func (c Code) HTTPStatus() int {
	info, ok := byCode[c]
	if !ok {
		return statusInternalError
	}
	return info.HTTPStatus
}

func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return fmt.Sprintf("%d %s", uint32(c), info.Name)
	}
	return fmt.Sprintf("%d", uint32(c))
}

// Error is an error that carries a result code.
type Error struct {
	Code   Code
	Detail string
}

// Errorf returns an Error with the given code and a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Code.String()
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Detail)
}
