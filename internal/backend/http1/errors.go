package http1

import (
	"fmt"
	"time"
)

// DialError reports a connection that could not be opened. No byte of the request was sent.
type DialError struct {
	Address string
	Err     error
}

func (e DialError) Error() string {
	return fmt.Sprintf("connect to backend server %s: %v", e.Address, e.Err)
}

func (e DialError) Unwrap() error { return e.Err }

// ExchangeError reports a request or response that was interrupted before the response was complete.
type ExchangeError struct {
	Address string
	// Stage is what was being transferred when the error occurred, such as the response headers.
	Stage string
	// After is the time since the attempt started, or zero during the delivery to the caller.
	After time.Duration
	Err   error
}

func (e ExchangeError) Error() string {
	return fmt.Sprintf("backend server %s: %s broke off after %s: %v", e.Address, e.Stage, e.After, e.Err)
}

func (e ExchangeError) Unwrap() error { return e.Err }

// ResponseMismatchError reports a response whose request ID differs from that of the request.
type ResponseMismatchError struct {
	Address string
	Want    string
	Got     string
}

func (e ResponseMismatchError) Error() string {
	return fmt.Sprintf("backend server %s: response for request %q arrived for request %q", e.Address, e.Got, e.Want)
}

// MissingSignatureError reports a successful response without the signature header of a backend server.
type MissingSignatureError struct {
	Address string
	Status  int
}

func (e MissingSignatureError) Error() string {
	return fmt.Sprintf("backend server %s: response with status %d bears no signature", e.Address, e.Status)
}

// NotExecutedError reports a backend server that refused the request without running it.
type NotExecutedError struct {
	Address string
	Status  int
}

func (e NotExecutedError) Error() string {
	return fmt.Sprintf("backend server %s refused the request with status %d", e.Address, e.Status)
}

// ServerError reports a server error from a backend server that may have run the request.
type ServerError struct {
	Address string
	Status  int
}

func (e ServerError) Error() string {
	return fmt.Sprintf("backend server %s failed with status %d", e.Address, e.Status)
}

// UnexpectedStatusError reports a status that is not valid as the final response to a request.
type UnexpectedStatusError struct {
	Address string
	Status  int
}

func (e UnexpectedStatusError) Error() string {
	return fmt.Sprintf("backend server %s: unexpected status %d", e.Address, e.Status)
}

// NotHTTPError reports bytes that are not an HTTP response.
type NotHTTPError struct {
	Address string
}

func (e NotHTTPError) Error() string {
	return fmt.Sprintf("backend server %s: received bytes are not an HTTP response", e.Address)
}

// HeadLimitError reports a response head that exceeds a limit.
type HeadLimitError struct {
	Address string
	// Limit names the exceeded limit.
	Limit string
}

func (e HeadLimitError) Error() string {
	return fmt.Sprintf("backend server %s: response head exceeds the limit of its %s", e.Address, e.Limit)
}

// BodyLimitError reports a response body that is too long to be discarded.
type BodyLimitError struct {
	Address string
	Bytes   int
}

func (e BodyLimitError) Error() string {
	return fmt.Sprintf("backend server %s: response body is longer than the %d bytes that are discarded", e.Address, e.Bytes)
}

// CallerLeftError reports a request that was not sent because its caller had closed the connection.
type CallerLeftError struct{}

func (CallerLeftError) Error() string {
	return "the caller closed its connection before the request was sent"
}
