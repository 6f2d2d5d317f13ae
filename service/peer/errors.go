package peer

import "fmt"

// UnreachableError reports that a node sent no response.
type UnreachableError struct {
	HostID  string
	Address string
	Cause   error
}

func (e UnreachableError) Error() string {
	return fmt.Sprintf("node %s at %s is unreachable: %v", e.HostID, e.Address, e.Cause)
}

// Unwrap returns the error of the transport.
func (e UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports a response with an unexpected status.
type StatusError struct {
	HostID string
	Path   string
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("node %s responded to %s with status %d", e.HostID, e.Path, e.Status)
}

// BodyError reports a response that ended early or could not be written to the caller.
type BodyError struct {
	HostID string
	Cause  error
}

func (e BodyError) Error() string {
	return fmt.Sprintf("response of node %s broke off: %v", e.HostID, e.Cause)
}

// Unwrap returns the error of the connection.
func (e BodyError) Unwrap() error { return e.Cause }

// MismatchError reports a response whose request ID differs from that of the forwarded request.
type MismatchError struct {
	HostID string
	Want   string
	Got    string
}

func (e MismatchError) Error() string {
	return fmt.Sprintf("node %s sent the response to request %q for request %q", e.HostID, e.Got, e.Want)
}

// NoTargetError reports that no node of the service group could be reached.
type NoTargetError struct {
	Tried int
}

func (e NoTargetError) Error() string {
	return fmt.Sprintf("none of %d nodes of the service group can be reached", e.Tried)
}
