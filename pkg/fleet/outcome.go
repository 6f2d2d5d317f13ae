package fleet

// Outcome says what became of a request. Callers see it in the header Egretline-Outcome.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that the caller got the whole response of a backend server.
	Answered Outcome = "answered"
	// NotRun means that it is proven that no backend server ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// Evidence classifies what one attempt says about the health of a backend server.
type Evidence string

// Classes of evidence.
const (
	// Succeeded is a complete response.
	Succeeded Evidence = "succeeded"
	// Failed is an error response, a broken response or a timeout of the backend server.
	Failed Evidence = "failed"
	// Unreachable is a connection that could not be made.
	Unreachable Evidence = "unreachable"
	// Shed is an explicit refusal because of load. It says nothing about health.
	Shed Evidence = "shed"
	// Draining is an explicit refusal because the server is leaving.
	Draining Evidence = "draining"
	// Canceled is an attempt that the caller gave up. It says nothing about health.
	Canceled Evidence = "canceled"
)
