package fleet

// Outcome is the result of a request. Callers get it in the header Egretline-Outcome.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that the caller got a complete response from a backend server.
	Answered Outcome = "answered"
	// NotRun means that no backend server ran the request. It is used only if that is certain.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// Evidence classifies the result of one attempt as evidence about the health of a backend server.
type Evidence string

// Classes of evidence.
const (
	// Succeeded is a complete response.
	Succeeded Evidence = "succeeded"
	// Failed is an error response, an incomplete response or a timeout of the backend server.
	Failed Evidence = "failed"
	// Unreachable is a failure to connect.
	Unreachable Evidence = "unreachable"
	// Shed is an explicit refusal because of overload. It is no evidence about health.
	Shed Evidence = "shed"
	// Draining is an explicit refusal because the server is leaving the pool.
	Draining Evidence = "draining"
	// Withheld is an attempt that was not sent, because the server asked for no more requests after it had been chosen. It
	// is no evidence about health.
	Withheld Evidence = "withheld"
	// IdleClosed is a request that was sent on an idle connection which the server had closed, as far as the node can tell. The
	// server may have run it. It is no evidence about health.
	IdleClosed Evidence = "idle-closed"
	// Canceled is an attempt that was canceled before it completed. It is no evidence about health.
	Canceled Evidence = "canceled"
)
