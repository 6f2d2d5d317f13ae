package api

// HTTP headers between callers, nodes and backend servers.
const (
	// HeaderOutcome carries the outcome of a request to the caller.
	HeaderOutcome = "Egretline-Outcome"
	// HeaderRequestID identifies a request; a backend server echoes it.
	HeaderRequestID = "Egretline-Request-Id"
	// HeaderTenant names the authenticated tenant in requests to backend servers and other nodes.
	HeaderTenant = "Egretline-Tenant"
	// HeaderTimeout carries the remaining time of a request in milliseconds.
	HeaderTimeout = "Egretline-Timeout-Ms"
	// HeaderRefused carries the reason why a backend server refused a request: RefusedShed or RefusedDraining.
	HeaderRefused = "Egretline-Refused"
	// HeaderLeaving is "true" on responses of a backend server that is leaving.
	HeaderLeaving = "Egretline-Leaving"
	// HeaderForwardedBy names the host that forwarded a request; such a request is not forwarded again.
	HeaderForwardedBy = "Egretline-Forwarded-By"
	// HeaderRepeated is "true" on a forwarded request that another node may have run.
	HeaderRepeated = "Egretline-Repeated"
	// HeaderKeyPrefix carries a valid idempotency key prefix in the response to a refused key.
	HeaderKeyPrefix = "Egretline-Key-Prefix"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderContentDigest carries the digest of a body (RFC 9530).
	HeaderContentDigest = "Content-Digest"
)

// Values of HeaderRefused.
const (
	RefusedShed     = "shed"
	RefusedDraining = "draining"
)

// Refusal is the body of a response that the node generates itself.
type Refusal struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request-id"`
}
