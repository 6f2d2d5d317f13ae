// Package dialect defines the HTTP headers that carry request metadata between callers, nodes and backend servers. The
// header names differ between deployments; their meaning is the same.
package dialect

// Headers contains the header names of a deployment.
type Headers struct {
	// RequestID carries the ID that the caller assigned to the request. Backend servers copy it to their responses.
	RequestID string
	// Deadline carries how long the sender will wait for the response, in whole milliseconds.
	Deadline string
	// ExpectInstance carries the ID of the only backend server instance that may run the request.
	ExpectInstance string
	// NotExecuted marks a response of a backend server that did not run the request.
	NotExecuted string
	// Customer carries the name of the customer to backend servers. Only nodes set it.
	Customer string
	// Leaving is set to LeavingValue in all responses of a backend server that is leaving.
	Leaving string
	// Signature marks a response of a backend server that ran the request.
	Signature string
}

// LeavingValue is the value of the header Leaving.
const LeavingValue = "1"
