package entry

// requestStep is a point in the handling of a request at which tests kill or
// pause the process.
type requestStep int

const (
	// stepRecorded: the owner has recorded the ID and sent nothing.
	stepRecorded requestStep = iota + 1
	// stepHandOver: the owner hands the request to a dispatcher.
	stepHandOver
	// stepDispatched: the dispatcher has the answer and has not kept it.
	stepDispatched
	// stepKept: the dispatcher has kept the answer and not replied.
	stepKept
	// stepWait: the owner waits for capacity or a dispatcher.
	stepWait
	// stepAnswered: the owner has the answer and has not recorded it.
	stepAnswered
)

func (d *Daemon) step(at requestStep, req Request) {
	if d.requests.onStep != nil {
		d.requests.onStep(at, req)
	}
}
