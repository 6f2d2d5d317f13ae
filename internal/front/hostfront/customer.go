package hostfront

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"egretline.example/egretline/internal/decide/quota"
	"egretline.example/egretline/pkg/fleet"
)

// maxTrustedAge is the age of a configuration up to which a key that is not in it counts as unknown. The key may have been
// added since to an older one.
const maxTrustedAge = 2500 * time.Millisecond

// headerAuthorization carries the key of a customer, after bearerPrefix.
const (
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
)

// CustomerLimiter limits the requests of each customer at all nodes together.
type CustomerLimiter interface {
	// Take counts a request against the quota of the tenant. It may ask another host, for at most as long as the context.
	Take(ctx context.Context, now time.Time, t fleet.Tenant) quota.Verdict
	// GiveBack uncounts a request that was taken at the time and surely has not run.
	GiveBack(now time.Time, t fleet.Tenant, taken time.Time)
}

// identifyCustomer sets the customer of the request from its key, and the rank that applies to it.
func (h *Handler) identifyCustomer(r *http.Request, c *fleet.Configuration, req *request) error {
	if c.TokensOptional {
		return nil
	}
	req.DropCredentials = true
	customer, known := c.Tenants[keyHash(r.Header)]
	switch {
	case known:
		req.Customer = customer
		if customer.Rank != "" {
			req.Rank = customer.Rank
		}
		return nil
	case req.Route.Anonymous:
		return nil
	}
	if age := h.ConfigurationAge(); age > maxTrustedAge {
		return StaleConfigurationError{Age: age}
	}
	return UnauthorizedError{}
}

// keyHash returns the SHA-256 hash of the request's key in hex, or an empty string without a key. Keys are compared by
// their hashes, which reveals nothing about them by the time it takes.
func keyHash(header http.Header) string {
	scheme, key, found := strings.Cut(header.Get(headerAuthorization), " ")
	if !found || !strings.EqualFold(scheme, strings.TrimSpace(bearerPrefix)) || len(header.Values(headerAuthorization)) > 1 {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// takeQuota counts the request against the quota of its customer.
func (h *Handler) takeQuota(ctx context.Context, req *request) error {
	if h.Limiter == nil || req.Customer.Quota.RequestsPerSecond <= 0 {
		return nil
	}
	v := h.Limiter.Take(ctx, req.Arrived, req.Customer)
	switch {
	case v.Undecided:
		return UndecidedQuotaError{Customer: req.Customer.Name, RetryAfter: v.RetryAfter}
	case !v.Accepted:
		return QuotaError{Customer: req.Customer.Name, RetryAfter: v.RetryAfter}
	}
	req.QuotaTaken = !v.Remote
	return nil
}

// giveBackQuota uncounts a request that surely has not run.
func (h *Handler) giveBackQuota(req request, o fleet.Outcome) {
	if req.QuotaTaken && o == fleet.NotRun {
		h.Limiter.GiveBack(time.Now(), req.Customer, req.Arrived)
	}
}
