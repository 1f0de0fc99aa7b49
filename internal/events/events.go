// Package events writes numbered log events through logrus. The table in this
// package is the only definition of the events; docs/events.md lists them.
package events

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Rate limit of one event: a burst of lines, then one line per interval.
const (
	burst        = 10
	lineInterval = time.Second
)

// Log writes events. It is safe for concurrent use. A nil *Log discards them.
type Log struct {
	logger *logrus.Logger
	output io.Writer
	now    func() time.Time

	mu     sync.Mutex
	events map[ID]*limitedEvent
}

// limitedEvent is an event with its rate limiter and the number of lines dropped
// since its last line.
type limitedEvent struct {
	info    Info
	limiter *rate.Limiter
	dropped int
}

// New returns a log that writes to w. now is the clock of the rate limit.
func New(w io.Writer, level logrus.Level, now func() time.Time) *Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	l := &Log{logger: logger, output: w, now: now, events: make(map[ID]*limitedEvent, len(table))}
	for _, info := range table {
		l.events[info.ID] = &limitedEvent{info: info, limiter: rate.NewLimiter(rate.Every(lineInterval), burst)}
	}
	return l
}

// Levels lists the accepted log levels.
func Levels() []string { return []string{"debug", "info", "warning", "error"} }

// ParseLevel reads a log level.
func ParseLevel(name string) (logrus.Level, bool) {
	if !slices.Contains(Levels(), name) {
		return logrus.InfoLevel, false
	}
	level, err := logrus.ParseLevel(name)
	return level, err == nil
}

// Emit writes an event unless its rate limit is reached. The next line of the
// same event has the number of dropped lines. Fields that the table does not
// declare for the event are listed by name without their values.
func (l *Log) Emit(id ID, fields ...Field) {
	if l == nil {
		return
	}
	event, dropped, ok := l.allow(id)
	if !ok {
		return
	}
	values := logrus.Fields{"event": int(id)}
	if dropped > 0 {
		values["dropped"] = dropped
	}
	var undeclared []string
	for _, f := range fields {
		if !slices.Contains(event.info.Fields, f.name) {
			undeclared = append(undeclared, string(f.name))
			continue
		}
		values[string(f.name)] = f.value
	}
	if len(undeclared) > 0 {
		values["undeclared"] = strings.Join(undeclared, ",")
	}
	l.logger.WithFields(values).Log(event.info.Level, event.info.Name)
}

// RecoverPanic ends a panic and logs it. It is deferred by what handles one request
// or one message, so that a fault in one of them does not end the process. Locks
// that are held have to be released by deferred calls, too.
func (l *Log) RecoverPanic(subject string) {
	if cause := recover(); cause != nil {
		l.Emit(PanicRecovered, Subject(subject), Reason(fmt.Errorf("%v at %s", cause, panicSite())))
	}
}

// panicSite returns the place in the source at which the current panic began.
func panicSite() string {
	const maxFrames = 16
	callers := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
	panicking := false
	for {
		frame, more := frames.Next()
		inRuntime := strings.HasPrefix(frame.Function, "runtime.")
		if panicking && !inRuntime {
			return frame.Function + ":" + strconv.Itoa(frame.Line)
		}
		panicking = panicking || inRuntime
		if !more {
			return "unknown"
		}
	}
}

// DebugEnabled reports whether the debug level is logged.
func (l *Log) DebugEnabled() bool { return l != nil && l.logger.IsLevelEnabled(logrus.DebugLevel) }

// Congested reports whether the output's buffer is at least half full, so that
// callers can omit lines about ordinary outcomes.
func (l *Log) Congested() bool {
	if l == nil {
		return false
	}
	buffered, ok := l.output.(*Buffered)
	return ok && buffered.congested()
}

// allow reports whether a line of the event may be written. It counts the line
// against the event's rate limit and returns the number of lines dropped before.
func (l *Log) allow(id ID) (event *limitedEvent, dropped int, ok bool) {
	event, found := l.events[id]
	if !found || !l.logger.IsLevelEnabled(event.info.Level) {
		return nil, 0, false
	}
	if event.info.exemptFromRateLimit() {
		return event, 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !event.limiter.AllowN(l.now(), 1) {
		event.dropped++
		return nil, 0, false
	}
	dropped, event.dropped = event.dropped, 0
	return event, dropped, true
}

// Flush reports the lines that were dropped and that no later line reported.
// A daemon calls it when it stops.
func (l *Log) Flush() {
	if l == nil {
		return
	}
	l.mu.Lock()
	sum := 0
	for _, event := range l.events {
		sum += event.dropped
		event.dropped = 0
	}
	l.mu.Unlock()
	if sum > 0 {
		l.Emit(EventsDropped, Count(sum))
	}
}
