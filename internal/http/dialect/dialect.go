// Package dialect names the HTTP headers by which callers, nodes and backend servers exchange what a proxy has to know
// about a request. The names differ between deployments, their meaning does not.
package dialect

// Headers holds the names of the headers.
type Headers struct {
	// RequestID carries the ID that the caller gave to the request. Backend servers repeat it in their responses.
	RequestID string
	// Deadline carries the time that the sender will wait, in whole milliseconds.
	Deadline string
	// ExpectInstance names the one instance of a backend server that may run the request.
	ExpectInstance string
	// NotExecuted marks a response of a backend server that did not run the request.
	NotExecuted string
	// Signature marks a response of a backend server that ran the request.
	Signature string
}
