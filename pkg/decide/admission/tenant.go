package admission

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// TenantUsage is the rate limiter (a token bucket) and the count of requests in flight of one tenant in one rank at one
// node.
type TenantUsage struct {
	// Tokens is the number of requests that the tenant may send immediately.
	Tokens float64
	// LastRefill is the time of the last refill; zero before the first request.
	LastRefill time.Time
	// InFlight is the number of requests that are waiting or running.
	InFlight int
	// Limits holds the tenant's limits as of the last request.
	Limits fleet.Limits
}

// AdmitTenant admits one request of the tenant in the rank, or returns a RefusedError if a tenant limit is exceeded.
// The caller must release an admitted request when it ends.
func AdmitTenant(u *TenantUsage, l fleet.Limits, tenant string, rank int, now time.Time) error {
	u.Limits = l
	refill(u, now)
	if l.InFlight > 0 && u.InFlight >= l.InFlight {
		return RefusedError{Reason: TenantInFlight, Rank: rank, Tenant: tenant, RetryAfter: minRetryAfter}
	}
	if l.RequestsPerSecond > 0 {
		if u.Tokens < 1 {
			missing := (1 - u.Tokens) / l.RequestsPerSecond
			return RefusedError{
				Reason: TenantRate, Rank: rank, Tenant: tenant, RetryAfter: clampRetryAfter(time.Duration(missing * float64(time.Second))),
			}
		}
		u.Tokens--
	}
	u.InFlight++
	return nil
}

// ReleaseTenant releases an admitted request.
func ReleaseTenant(u *TenantUsage) {
	u.InFlight--
}

// Idle reports whether the usage is equivalent to a new one, with no requests in flight and a full token bucket, and
// can be discarded.
func Idle(u *TenantUsage, now time.Time) bool {
	refill(u, now)
	return u.InFlight == 0 && u.Tokens >= burst(u.Limits)
}

func refill(u *TenantUsage, now time.Time) {
	l := u.Limits
	if u.LastRefill.IsZero() {
		u.Tokens = burst(l)
	} else {
		u.Tokens = min(u.Tokens+now.Sub(u.LastRefill).Seconds()*l.RequestsPerSecond, burst(l))
	}
	u.LastRefill = now
}

func burst(l fleet.Limits) float64 {
	return float64(max(l.Burst, 1))
}
