package caller

import (
	"fmt"
	"net/http"
)

// UnauthorizedError reports a request without a valid bearer token.
type UnauthorizedError struct{}

func (UnauthorizedError) Error() string { return "the bearer token is missing or unknown" }

// HTTPStatus returns the status of the response.
func (UnauthorizedError) HTTPStatus() int { return http.StatusUnauthorized }

// NotReadyError reports that the node has no configuration to serve requests with.
type NotReadyError struct{}

func (NotReadyError) Error() string { return "this node has no configuration yet" }

// NoRouteError reports a request that matches no route, or whose path is not clean.
type NoRouteError struct {
	Method string
	Path   string
}

func (e NoRouteError) Error() string { return fmt.Sprintf("no route for %s %s", e.Method, e.Path) }

// HTTPStatus returns the status of the response.
func (NoRouteError) HTTPStatus() int { return http.StatusNotFound }

// UnservableRouteError reports a route whose service or rank no configuration file defines.
type UnservableRouteError struct {
	Route  string
	Reason string
}

func (e UnservableRouteError) Error() string {
	return fmt.Sprintf("route %q refuses: %s", e.Route, e.Reason)
}

// ForbiddenError reports a tenant that is not allowed to use a service.
type ForbiddenError struct {
	Tenant  string
	Service string
}

func (e ForbiddenError) Error() string {
	return fmt.Sprintf("tenant %q may not reach service %q", e.Tenant, e.Service)
}

// HTTPStatus returns the status of the response.
func (ForbiddenError) HTTPStatus() int { return http.StatusForbidden }

// TimeoutError reports an invalid value in the timeout header of a request.
type TimeoutError struct {
	Value string
}

func (e TimeoutError) Error() string {
	return fmt.Sprintf("timeout %q is not a positive number of milliseconds", e.Value)
}

// HTTPStatus returns the status of the response.
func (TimeoutError) HTTPStatus() int { return http.StatusBadRequest }

// KeyError reports a request that its idempotency key kept from running. Reason states why, and what is known of the
// outcome of an earlier request with the key.
type KeyError struct {
	Status int
	Reason string
}

func (e KeyError) Error() string { return "idempotency key: " + e.Reason }

// HTTPStatus returns the status of the response.
func (e KeyError) HTTPStatus() int { return e.Status }

// UnknownServiceError reports a request for entries of a service that is missing from the configuration.
type UnknownServiceError struct {
	Service string
}

func (e UnknownServiceError) Error() string {
	return fmt.Sprintf("no service %q", e.Service)
}

// HTTPStatus returns the status of the response.
func (UnknownServiceError) HTTPStatus() int { return http.StatusNotFound }
