package drain

import "time"

const (
	// responseMargin is the end of the grace period that is left for sending the
	// last responses and for the exit.
	responseMargin = 700 * time.Millisecond
	// exitMargin is the part of responseMargin that is left for the exit.
	exitMargin = 100 * time.Millisecond
	// maxResponseShare bounds responseMargin, so that a short grace period leaves time
	// to complete requests.
	maxResponseShare = 0.125
	// maxAcceptShare bounds the part of a shutdown in which new connections are
	// accepted, so that a short grace period leaves time to complete requests.
	maxAcceptShare = 0.6
)

// Shutdown is the schedule of a graceful shutdown.
type Shutdown struct {
	Began time.Time
	// AcceptUntil is when the host closes its listener and idle connections.
	AcceptUntil time.Time
	// RespondBy is when every accepted request has a response: that of a backend
	// server, or the host's own.
	RespondBy time.Time
	// ExitBy is when the process exits, even if callers have not read all responses.
	ExitBy time.Time
}

// PlanShutdown returns the schedule of a shutdown that began at the given time and
// ends in a kill after the grace period. Callers may use the host for lookupTime
// after it has left the lookup responses.
func PlanShutdown(began time.Time, grace, lookupTime time.Duration) Shutdown {
	margin := min(responseMargin, time.Duration(maxResponseShare*float64(grace)))
	usable := grace - margin
	return Shutdown{
		Began:       began,
		AcceptUntil: began.Add(min(lookupTime, time.Duration(maxAcceptShare*float64(usable)))),
		RespondBy:   began.Add(usable),
		ExitBy:      began.Add(grace - margin*exitMargin/responseMargin),
	}
}
