package backend

import "fmt"

// TransportError reports an attempt that failed before it received response headers.
type TransportError struct {
	Address string
	Err     error
}

func (e TransportError) Error() string {
	return fmt.Sprintf("backend server %s: %v", e.Address, e.Err)
}

func (e TransportError) Unwrap() error { return e.Err }

// MismatchError reports a response whose request ID is that of another request.
type MismatchError struct {
	Address string
	Want    string
	Got     string
}

func (e MismatchError) Error() string {
	return fmt.Sprintf("backend server %s: response for request %q arrived for request %q", e.Address, e.Got, e.Want)
}

// RefusedError reports that a backend server explicitly refused the request, which it therefore did not run.
type RefusedError struct {
	Address string
	Reason  string
}

func (e RefusedError) Error() string {
	return fmt.Sprintf("backend server %s refused the request: %s", e.Address, e.Reason)
}

// DigestError reports a response body that does not match its Content-Digest header.
type DigestError struct {
	Address string
}

func (e DigestError) Error() string {
	return fmt.Sprintf("backend server %s: response body does not match its digest", e.Address)
}

// BodyError reports a response body that ended early or could not be written to the caller.
type BodyError struct {
	Address string
	Err     error
}

func (e BodyError) Error() string {
	return fmt.Sprintf("backend server %s: response body broke off: %v", e.Address, e.Err)
}

func (e BodyError) Unwrap() error { return e.Err }

// PositionError reports a read of a request body whose bytes another attempt has taken.
type PositionError struct {
	// Want is the position, in bytes, at which the attempt reads, and Got that of the caller's connection.
	Want int
	Got  int
}

func (e PositionError) Error() string {
	return fmt.Sprintf("request body: byte %d is gone, because another attempt has read %d bytes", e.Want, e.Got)
}
