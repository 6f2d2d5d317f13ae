package http1

import (
	"fmt"
	"time"
)

// DialError reports a connection that could not be made. No byte of the request was sent.
type DialError struct {
	Address string
	Err     error
}

func (e DialError) Error() string {
	return fmt.Sprintf("connect to backend server %s: %v", e.Address, e.Err)
}

func (e DialError) Unwrap() error { return e.Err }

// ExchangeError reports a connection that broke before the response was complete.
type ExchangeError struct {
	Address string
	// Stage is what the exchange was doing.
	Stage string
	After time.Duration
	Err   error
}

func (e ExchangeError) Error() string {
	return fmt.Sprintf("backend server %s: %s broke off after %s: %v", e.Address, e.Stage, e.After, e.Err)
}

func (e ExchangeError) Unwrap() error { return e.Err }

// MismatchError reports a response that belongs to another request.
type MismatchError struct {
	Address string
	Want    string
	Got     string
}

func (e MismatchError) Error() string {
	return fmt.Sprintf("backend server %s: response for request %q arrived for request %q", e.Address, e.Got, e.Want)
}

// UnsignedError reports a successful response without the mark of a backend server.
type UnsignedError struct {
	Address string
	Status  int
}

func (e UnsignedError) Error() string {
	return fmt.Sprintf("backend server %s: response with status %d bears no signature", e.Address, e.Status)
}

// RefusedError reports a backend server that did not run the request.
type RefusedError struct {
	Address string
	Status  int
}

func (e RefusedError) Error() string {
	return fmt.Sprintf("backend server %s refused the request with status %d", e.Address, e.Status)
}

// FailedError reports the response of a backend server that ran the request and failed.
type FailedError struct {
	Address string
	Status  int
}

func (e FailedError) Error() string {
	return fmt.Sprintf("backend server %s failed with status %d", e.Address, e.Status)
}

// StatusError reports bytes that are no final response.
type StatusError struct {
	Address string
	Status  int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("backend server %s: unexpected status %d", e.Address, e.Status)
}
