package hostfront

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// fakeLimiter accepts as many requests as Left says.
type fakeLimiter struct{ Left, Taken, Returned int }

func (l *fakeLimiter) Take(time.Time, fleet.Tenant) (time.Duration, bool) {
	if l.Left == l.Taken {
		return 1250 * time.Millisecond, false
	}
	l.Taken++
	return 0, true
}

func (l *fakeLimiter) GiveBack(time.Time, fleet.Tenant, time.Time) { l.Returned++ }

// withCustomer runs the test with one customer, whose key is k.
func withCustomer(t *testing.T, l *fakeLimiter, result table.Result, run func(t *testing.T, f *fixture, d *fakeDispatcher)) {
	t.Helper()
	d := &fakeDispatcher{Result: result}
	withFixture(t, d, func(t *testing.T, f *fixture) {
		f.finishStartup()
		sum := sha256.Sum256([]byte("k"))
		f.Config.Configuration.Tenants = map[string]fleet.Tenant{
			hex.EncodeToString(sum[:]): {Name: "hotel", Quota: fleet.Quota{RequestsPerSecond: 1, Burst: 1}},
		}
		f.Handler.Limiter, f.Handler.ConfigurationAge = l, func() time.Duration { return 0 }
		run(t, f, d)
	})
}

func assertUse(t *testing.T, l *fakeLimiter, taken, returned int) {
	t.Helper()
	is.New(t).Equal(l.Taken, taken)
	is.New(t).Equal(l.Returned, returned)
}

func TestQuota(t *testing.T) {
	// Guards against a request over the limit that waits in a queue, or that gets 503.
	t.Run("over the limit, a request gets 429 at once and is not dispatched", func(t *testing.T) {
		l := &fakeLimiter{}
		withCustomer(t, l, table.Result{}, func(t *testing.T, f *fixture, d *fakeDispatcher) {
			r := f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer k")
			assertStatus(t, r, http.StatusTooManyRequests)
			is.New(t).Equal(r.Header.Get("Retry-After"), "1.250")
			is.New(t).Equal(len(d.Admitted), 0)
			assertUse(t, l, 0, 0)
		})
	})
	t.Run("a request that has not run is given back", func(t *testing.T) {
		l := &fakeLimiter{Left: 1}
		withCustomer(t, l, table.Result{Outcome: fleet.NotRun}, func(t *testing.T, f *fixture, _ *fakeDispatcher) {
			assertStatus(t, f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer k"), http.StatusServiceUnavailable)
			assertUse(t, l, 1, 1)
		})
	})
	// Guards against a token that is returned although the request may have run.
	t.Run("a request that may have run is not given back", func(t *testing.T) {
		l := &fakeLimiter{Left: 1}
		withCustomer(t, l, table.Result{Outcome: fleet.Unknown}, func(t *testing.T, f *fixture, _ *fakeDispatcher) {
			assertStatus(t, f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer k"), http.StatusBadGateway)
			assertUse(t, l, 1, 0)
		})
	})
	// Guards against limits that are used up by requests without a valid key or route.
	t.Run("a request that is refused before costs nothing", func(t *testing.T) {
		l := &fakeLimiter{Left: 1}
		withCustomer(t, l, table.Result{}, func(t *testing.T, f *fixture, _ *fakeDispatcher) {
			assertStatus(t, f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer other"), http.StatusUnauthorized)
			assertStatus(t, f.get(t, "/none/", "Request-Id: r2", "Authorization: Bearer k"), http.StatusNotFound)
			assertUse(t, l, 0, 0)
		})
	})
}
