package hostfront

import (
	"fmt"
	"net/http"
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

// HTTPStatus returns 413 for a body that is too large, and 400 otherwise.
func (e BodyError) HTTPStatus() int {
	if e.TooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
