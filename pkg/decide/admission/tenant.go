package admission

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Usage is what one tenant uses of one node in one rank.
type Usage struct {
	// Tokens is the number of requests that the tenant may send at once.
	Tokens float64
	// Refilled is the time up to which tokens were added; zero before the first request.
	Refilled time.Time
	// InFlight is the number of requests that wait or run.
	InFlight int
	// Limits are those of the last request.
	Limits fleet.Limits
}

// Enter admits one request of the tenant in the rank, or returns RefusedError. An admitted request is ended with Leave.
func Enter(u *Usage, l fleet.Limits, tenant string, rank int, now time.Time) error {
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

// Leave ends a request that Enter admitted.
func Leave(u *Usage) {
	u.InFlight--
}

// Idle says that the usage holds nothing that a new one would not hold, so that it can be dropped.
func Idle(u *Usage, now time.Time) bool {
	refill(u, now)
	return u.InFlight == 0 && u.Tokens >= burst(u.Limits)
}

func refill(u *Usage, now time.Time) {
	l := u.Limits
	if u.Refilled.IsZero() {
		u.Tokens = burst(l)
	} else {
		u.Tokens = min(u.Tokens+now.Sub(u.Refilled).Seconds()*l.RequestsPerSecond, burst(l))
	}
	u.Refilled = now
}

func burst(l fleet.Limits) float64 {
	return float64(max(l.Burst, 1))
}
