package operator

import "fmt"

// UnreachableError reports that no request could be sent to a node, or that a query failed.
type UnreachableError struct {
	Node  string
	Cause error
}

func (e UnreachableError) Error() string {
	return fmt.Sprintf("cannot reach node %s: %v", e.Node, e.Cause)
}

// Unwrap returns the cause.
func (e UnreachableError) Unwrap() error { return e.Cause }

// ReplyError reports that a node may have received a request but sent no usable reply.
type ReplyError struct {
	Node string
	// Status is the HTTP status of the reply, or 0 if there was none.
	Status int
	Cause  error
}

func (e ReplyError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("node %s gave no usable reply (status %d)", e.Node, e.Status)
	}
	return fmt.Sprintf("node %s gave no usable reply (status %d): %v", e.Node, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e ReplyError) Unwrap() error { return e.Cause }
