package entry

// requestStep is a point in the handling of a request at which tests kill or
// pause the daemon.
type requestStep int

const (
	// stepRecorded: the owner has recorded the ID and sent nothing.
	stepRecorded requestStep = iota + 1
	// stepForward: the owner forwards the request to a dispatcher.
	stepForward
	// stepDispatched: the dispatcher has the response and has not stored it.
	stepDispatched
	// stepStored: the dispatcher has stored the response and not replied.
	stepStored
	// stepWait: the owner waits for capacity or a dispatcher.
	stepWait
	// stepResponseReceived: the owner has the response and has not recorded it.
	stepResponseReceived
)

func (d *Daemon) step(at requestStep, req Request) {
	if d.requests.onStep != nil {
		d.requests.onStep(at, req)
	}
}
