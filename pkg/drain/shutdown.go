package drain

import "time"

const (
	// responseMargin is the end of the grace period that is left for sending the
	// last responses and for the exit.
	responseMargin = 700 * time.Millisecond
	// exitMargin is the part of responseMargin that is left for the exit.
	exitMargin = 250 * time.Millisecond
	// maxResponseShare bounds responseMargin, so that a short grace period leaves time
	// to complete requests.
	maxResponseShare = 0.125
	// lookupMargin is how long after the last use of a lookup new connections are
	// accepted: they may be on their way.
	lookupMargin = 300 * time.Millisecond
	// signalDelay bounds the time by which the host sees the stop signal later than
	// it was sent.
	signalDelay = 200 * time.Millisecond
	// maxAcceptShare bounds the part of a shutdown in which new connections are
	// accepted, so that a short grace period leaves time to complete requests.
	maxAcceptShare = 0.6
)

// Shutdown is the schedule of a graceful shutdown.
type Shutdown struct {
	Began time.Time
	// LateFrom is when no caller has a lookup any more that names the host. Callers
	// that still use it have an open connection, and other hosts to turn to.
	LateFrom time.Time
	// AcceptUntil is when the host closes its listener and idle connections.
	AcceptUntil time.Time
	// RespondBy is when every accepted request has a response: that of a backend
	// server, or the host's own.
	RespondBy time.Time
	// ExitBy is when the process exits, even if callers have not read all responses.
	ExitBy time.Time
}

// PlanShutdown returns the schedule of a shutdown that began at the given time and
// ends in a kill after the grace period. Callers may use a lookup response for
// lookupUse after it was sent.
func PlanShutdown(began time.Time, grace, lookupUse time.Duration) Shutdown {
	margin := min(responseMargin, time.Duration(maxResponseShare*float64(grace)))
	usable := grace - margin
	return Shutdown{
		Began:       began,
		LateFrom:    began.Add(max(lookupUse-signalDelay, 0)),
		AcceptUntil: began.Add(min(lookupUse+lookupMargin, time.Duration(maxAcceptShare*float64(usable)))),
		RespondBy:   began.Add(usable),
		ExitBy:      began.Add(grace - margin*exitMargin/responseMargin),
	}
}
