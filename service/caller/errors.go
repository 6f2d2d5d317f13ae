package caller

import "fmt"

// UnauthorizedError reports a request without a valid bearer token.
type UnauthorizedError struct{}

func (UnauthorizedError) Error() string { return "the bearer token is missing or unknown" }

// NotReadyError reports a node that has no configuration.
type NotReadyError struct{}

func (NotReadyError) Error() string { return "this node has no configuration yet" }

// RouteError reports a request that no route of the tenant matches.
type RouteError struct {
	Method string
	Path   string
}

func (e RouteError) Error() string { return fmt.Sprintf("no route for %s %s", e.Method, e.Path) }

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

// TimeoutError reports a timeout header that is not a positive number of milliseconds.
type TimeoutError struct {
	Value string
}

func (e TimeoutError) Error() string {
	return fmt.Sprintf("timeout %q is not a positive number of milliseconds", e.Value)
}
