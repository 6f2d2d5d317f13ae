package hostfront

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// NotReadyError reports a request that arrived before the node had a configuration.
type NotReadyError struct{}

func (NotReadyError) Error() string { return "the node has no configuration yet" }

// HTTPStatus returns 503.
func (NotReadyError) HTTPStatus() int { return http.StatusServiceUnavailable }

// NoRouteError reports a request that no route matches.
type NoRouteError struct {
	Host string
	Path string
}

func (e NoRouteError) Error() string {
	return fmt.Sprintf("no route for host %q and path %q", e.Host, e.Path)
}

// HTTPStatus returns 404.
func (NoRouteError) HTTPStatus() int { return http.StatusNotFound }

// UnauthorizedError reports a request without the key of a customer.
type UnauthorizedError struct{}

func (UnauthorizedError) Error() string { return "the key is missing or unknown" }

// HTTPStatus returns 401.
func (UnauthorizedError) HTTPStatus() int { return http.StatusUnauthorized }

// StaleConfigurationError reports a key that is unknown to a node whose configuration may be out of date.
type StaleConfigurationError struct{ Age time.Duration }

func (e StaleConfigurationError) Error() string {
	return fmt.Sprintf("the key is unknown, and the configuration of the node is %s old", e.Age)
}

// HTTPStatus returns 503.
func (StaleConfigurationError) HTTPStatus() int { return http.StatusServiceUnavailable }

// QuotaError reports a request beyond the limit of its customer for the whole fleet. It was not queued.
type QuotaError struct {
	Customer string
	// RetryAfter is the delay after which a request will be within the limit.
	RetryAfter time.Duration
}

func (e QuotaError) Error() string {
	return fmt.Sprintf("customer %s has reached its limit for the fleet; retry after %s", e.Customer, e.RetryAfter)
}

// HTTPStatus returns 429.
func (QuotaError) HTTPStatus() int { return http.StatusTooManyRequests }

// UndecidedQuotaError reports a request of a customer with a limit at a host that may not accept it: other hosts may not know
// that this one accepts requests, and it can reach none that would decide in its place. The request was not queued.
type UndecidedQuotaError struct {
	Customer string
	// RetryAfter is the delay after which the request should be sent again, if possible to another host.
	RetryAfter time.Duration
}

func (e UndecidedQuotaError) Error() string {
	return fmt.Sprintf("this host cannot check the limit of customer %s; retry after %s, at another host", e.Customer, e.RetryAfter)
}

// HTTPStatus returns 503.
func (UndecidedQuotaError) HTTPStatus() int { return http.StatusServiceUnavailable }

// MemoryError reports a request that was refused because the node may not hold more bytes. It was not queued.
type MemoryError struct {
	Bytes int64
	Rank  string
	// RetryAfter is the delay after which the bytes are likely to be free.
	RetryAfter time.Duration
}

func (e MemoryError) Error() string {
	return fmt.Sprintf("the node may not hold another %d bytes for rank %q; retry after %s", e.Bytes, e.Rank, e.RetryAfter)
}

// HTTPStatus returns 503.
func (MemoryError) HTTPStatus() int { return http.StatusServiceUnavailable }

// DeliveryError reports a response that could not be written to its caller after it was read from the backend server.
type DeliveryError struct{ Err error }

func (e DeliveryError) Error() string { return fmt.Sprintf("write response to caller: %v", e.Err) }

func (e DeliveryError) Unwrap() error { return e.Err }

// HeaderError reports a request header that is missing or malformed.
type HeaderError struct {
	Name  string
	Value string
}

func (e HeaderError) Error() string {
	return fmt.Sprintf("header %s: %q is not valid", e.Name, e.Value)
}

// HTTPStatus returns 400.
func (HeaderError) HTTPStatus() int { return http.StatusBadRequest }

// BodyError reports a request body that could not be read.
type BodyError struct {
	TooLarge bool
	Err      error
}

func (e BodyError) Error() string { return fmt.Sprintf("request body: %v", e.Err) }

func (e BodyError) Unwrap() error { return e.Err }

// HTTPStatus returns 413 for a body that is too large, 408 for one that did not arrive in time, and 400 otherwise.
func (e BodyError) HTTPStatus() int {
	switch {
	case e.TooLarge:
		return http.StatusRequestEntityTooLarge
	case errors.Is(e.Err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}
