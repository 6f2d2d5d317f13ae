package caller

import (
	"fmt"
	"net/http"
)

// UnauthorizedError reports a request without a valid bearer token.
type UnauthorizedError struct{}

func (UnauthorizedError) Error() string { return "the bearer token is missing or unknown" }

// HTTPStatus is the status of the refusal.
func (UnauthorizedError) HTTPStatus() int { return http.StatusUnauthorized }

// NotReadyError reports a node that has no configuration.
type NotReadyError struct{}

func (NotReadyError) Error() string { return "this node has no configuration yet" }

// RouteError reports a request that no route of the tenant matches.
type RouteError struct {
	Method string
	Path   string
}

func (e RouteError) Error() string { return fmt.Sprintf("no route for %s %s", e.Method, e.Path) }

// HTTPStatus is the status of the refusal.
func (RouteError) HTTPStatus() int { return http.StatusNotFound }

// RefusalError reports a route that the configuration cannot serve.
type RefusalError struct {
	Route  string
	Reason string
}

func (e RefusalError) Error() string { return fmt.Sprintf("route %q refuses: %s", e.Route, e.Reason) }

// ForbiddenError reports a tenant that may not reach a service.
type ForbiddenError struct {
	Tenant  string
	Service string
}

func (e ForbiddenError) Error() string {
	return fmt.Sprintf("tenant %q may not reach service %q", e.Tenant, e.Service)
}

// HTTPStatus is the status of the refusal.
func (ForbiddenError) HTTPStatus() int { return http.StatusForbidden }

// TimeoutError reports a timeout header that is not a positive number of milliseconds.
type TimeoutError struct {
	Value string
}

func (e TimeoutError) Error() string {
	return fmt.Sprintf("timeout %q is not a positive number of milliseconds", e.Value)
}

// HTTPStatus is the status of the refusal.
func (TimeoutError) HTTPStatus() int { return http.StatusBadRequest }

// KeyError reports an idempotency key that was refused. It states the outcome of the request.
type KeyError struct {
	Status int
	Reason string
}

func (e KeyError) Error() string { return "idempotency key: " + e.Reason }

// HTTPStatus is the status of the refusal.
func (e KeyError) HTTPStatus() int { return e.Status }

// ServiceError reports a request for entries of a service that the configuration does not have.
type ServiceError struct {
	Service string
}

func (e ServiceError) Error() string { return fmt.Sprintf("no service %q", e.Service) }

// HTTPStatus is the status of the refusal.
func (ServiceError) HTTPStatus() int { return http.StatusNotFound }
