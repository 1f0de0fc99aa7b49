package result

import "net/http"

const statusInternalError = http.StatusInternalServerError

var byCode = indexTable()

func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(table))
	for _, info := range table {
		index[info.Code] = info
	}
	return index
}

// All returns the descriptions of all codes in the order of the table.
func All() []Info {
	return append([]Info(nil), table...)
}

var table = []Info{
	{Served, "served", http.StatusOK, true, "The backend server ran the request; its complete response follows.", "None."},
	{ServedReplay, "served-replay", http.StatusOK, true, "The request had run before; the stored response follows.", "None."},

	{NotReady, "not-ready", http.StatusServiceUnavailable, true, "The host has no configuration yet.", "Use the next host of the lookup response."},
	{Stopping, "stopping", http.StatusServiceUnavailable, true, "The host is shutting down, and the request might not complete before.", "Look up again, or use another host of the lookup response."},
	{UnknownService, "unknown-service", http.StatusNotFound, true, "The document has no such service.", "Correct the service name."},
	{UnknownRank, "unknown-rank", http.StatusBadRequest, true, "The document has no such rank.", "Correct the rank."},
	{BadRequest, "bad-request", http.StatusBadRequest, true, "A header is missing or malformed.", "Correct the request."},
	{DeadlineBeforeRun, "deadline-before-run", http.StatusGatewayTimeout, true, "The deadline passed before the request was dispatched.", "Resend with a new deadline if the response is still needed."},
	{QueueFull, "queue-full", http.StatusTooManyRequests, true, "The queue of this rank is full.", "Resend later."},
	{WouldMissDeadline, "would-miss-deadline", http.StatusTooManyRequests, true, "The expected wait exceeds the deadline.", "Resend later."},
	{NoCapacity, "no-capacity", http.StatusServiceUnavailable, true, "No region has capacity for this service.", "Resend later."},
	{NoGrant, "no-grant", http.StatusServiceUnavailable, true, "The dispatcher has no valid grant for the sender.", "Resend later."},
	{MoveCapReached, "move-cap-reached", http.StatusServiceUnavailable, true, "The cap on traffic moved between regions is reached.", "Resend later."},
	{LinkLimit, "link-limit", http.StatusServiceUnavailable, true, "The link between the regions is at its limit.", "Resend later."},
	{Quarantined, "quarantined", http.StatusForbidden, true, "The request crashed backend servers and is refused.", "Do not resend; report it."},
	{OwnerRequired, "owner-required", http.StatusPreconditionRequired, true, "A non-idempotent request needs an ID that starts with an owner token.", "Look up first."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, true, "The body exceeds the service's limit.", "Send a smaller body."},
	{ServerShed, "server-shed", http.StatusServiceUnavailable, true, "Backend servers shed the request without running it.", "Resend later."},
	{NoServer, "no-server", http.StatusServiceUnavailable, true, "No backend server of the service accepts work.", "Resend later."},
	{RequestIDReused, "request-id-reused", http.StatusConflict, false, "The ID belongs to a different request.", "Use a new unique part."},
	{RecordsFull, "records-full", http.StatusServiceUnavailable, true, "The owner's table of request records is full.", "Use the next host of the lookup response with a new ID."},
	{ConnectFailed, "connect-failed", http.StatusBadGateway, true, "No connection could be opened to the next hop.", "Resend."},
	{NotDispatcher, "not-dispatcher", http.StatusServiceUnavailable, true, "The host does not dispatch to this service.", "Resend."},

	{ConnectionLost, "connection-lost", http.StatusBadGateway, true, "The connection was lost after the request was sent.", "Resend with the same ID, or check what the service recorded."},
	{DeadlineAfterDispatch, "deadline-after-dispatch", http.StatusGatewayTimeout, true, "The deadline passed after the request was dispatched.", "Resend with the same ID, or check what the service recorded."},
	{OwnerGone, "owner-gone", http.StatusBadGateway, true, "The owner's process is gone and no stored response was found.", "Check what the service recorded."},
	{ServerCrashed, "server-crashed", http.StatusBadGateway, true, "The backend server crashed while it ran the request.", "Check what the service recorded."},
	{AnswerTruncated, "answer-truncated", http.StatusBadGateway, true, "The response was truncated and is not forwarded.", "Resend with the same ID, or check what the service recorded."},
	{TokenExpired, "token-expired", http.StatusConflict, true, "The owner token is older than the record window.", "Check what the service recorded; look up before the next request."},
	{OwnerUnreachable, "owner-unreachable", http.StatusBadGateway, true, "The owner did not reply and no stored response was found.", "Resend with the same ID."},
	{ServerFailed, "server-failed", http.StatusBadGateway, false, "The backend server responded with an error of its own.", "Resend if the request may run again."},
	{AnswerNotKept, "answer-not-kept", http.StatusBadGateway, true, "The request ran, but its response was too large to store for a resend.", "Check what the service recorded."},
	{StoppedAfterDispatch, "stopped-after-dispatch", http.StatusGatewayTimeout, true, "The host was stopped before the backend server responded.", "Resend with the same ID, or check what the service recorded."},

	{UnknownMessage, "unknown-message", http.StatusBadGateway, true, "A peer sent a message that this process does not recognize.", "Check the versions."},
	{FrameTooLarge, "frame-too-large", http.StatusBadGateway, true, "A peer sent a frame that exceeds the size limit.", "Check the limits."},
	{BadGreeting, "bad-greeting", http.StatusBadGateway, true, "A peer's first frame is not a greeting of this environment.", "Check environment and addresses."},

	{DocumentInvalid, "document-invalid", http.StatusUnprocessableEntity, true, "The document has faults, all of which are listed.", "Correct the document."},
	{Conflict, "conflict", http.StatusConflict, true, "Another change was accepted first.", "Read the accepted change, merge, try again."},
	{StoreUnavailable, "store-unavailable", http.StatusServiceUnavailable, true, "The platform's store did not respond; nothing was written.", "Try again."},
	{WriteUnresolved, "write-unresolved", http.StatusGatewayTimeout, true, "The store's response was lost, and the write could not be verified by reading it back.", "Run status before trying again."},
	{NotFound, "not-found", http.StatusNotFound, true, "The object does not exist.", "Check the name."},
	{WaitTimeout, "wait-timeout", http.StatusGatewayTimeout, true, "The awaited state was not reached in time.", "Run status."},
	{BadCommand, "bad-command", http.StatusBadRequest, true, "A value of the command is missing or not accepted.", "Correct the command."},
}
