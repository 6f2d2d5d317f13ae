package header

import (
	"net/http"
	"slices"
)

// TransportReplays reports whether net/http sends a request with the method and the headers again by itself when a reused
// connection breaks, if it has no body. A non-nil body without GetBody prevents that, also if it is empty.
func TransportReplays(method string, h http.Header) bool {
	replayed := []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}
	return slices.Contains(replayed, method) || h.Values("Idempotency-Key") != nil || h.Values("X-Idempotency-Key") != nil
}
