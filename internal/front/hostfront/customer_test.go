package hostfront

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/quota"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// fakeLimiter refuses all requests while RetryAfter is set, and counts what is taken and given back. Undecided and Remote are
// those of its verdicts.
type fakeLimiter struct {
	RetryAfter        time.Duration
	Undecided, Remote bool
	Taken, GivenBack  int
}

func (l *fakeLimiter) Take(context.Context, time.Time, fleet.Tenant) quota.Verdict {
	if l.RetryAfter > 0 {
		return quota.Verdict{RetryAfter: l.RetryAfter, Undecided: l.Undecided}
	}
	l.Taken++
	return quota.Verdict{Accepted: true, Remote: l.Remote}
}

func (l *fakeLimiter) GiveBack(time.Time, fleet.Tenant, time.Time) { l.GivenBack++ }

// customerConfiguration has the customer mill with two keys, and a route that is open to all.
func customerConfiguration() *fleet.Configuration {
	c := testConfiguration()
	c.Ranks = []fleet.Rank{{Name: "first"}, {Name: "second"}}
	c.Routes[0].Rank = "first"
	c.Routes = append(c.Routes, fleet.Route{
		Name: "news", Service: "desk", Host: "a.example", PathPrefix: "/news/", Timeout: time.Second, Anonymous: true,
	})
	c.RouteIndex[fleet.RouteKey{Host: "a.example", PathPrefix: "/news/"}] = 1
	c.TokensOptional = false
	mill := fleet.Tenant{Name: "mill", Rank: "second", Quota: fleet.Quota{RequestsPerSecond: 1}}
	c.Tenants = map[string]fleet.Tenant{
		keyHash(http.Header{headerAuthorization: {"Bearer old"}}): mill,
		keyHash(http.Header{headerAuthorization: {"Bearer new"}}): mill,
	}
	return c
}

// withCustomers runs the test with customerConfiguration and the limiter.
func withCustomers(t *testing.T, d *fakeDispatcher, l *fakeLimiter, run func(t *testing.T, f *fixture)) {
	t.Helper()
	withFixture(t, d, func(t *testing.T, f *fixture) {
		f.finishStartup()
		f.Config.Configuration = customerConfiguration()
		f.Handler.Limiter = l
		f.Handler.ConfigurationAge = func() time.Duration { return 0 }
		run(t, f)
	})
}

// assertAdmitted fails unless exactly one request was admitted, for the customer and the rank.
func assertAdmitted(t *testing.T, d *fakeDispatcher, customer string, rank int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(d.Admitted), 1)
	is.Equal(d.Admitted[0].Tenant, customer)
	is.Equal(d.Admitted[0].Rank, rank)
}

// Guards against requests that are served without the key of a customer, or under the name of another one.
func TestKeys(t *testing.T) {
	t.Run("each key of a customer identifies it, and its priority replaces that of the route", func(t *testing.T) {
		for _, key := range []string{"Bearer old", "bearer new"} {
			d := &fakeDispatcher{Result: table.Result{Outcome: fleet.NotRun}}
			withCustomers(t, d, &fakeLimiter{}, func(t *testing.T, f *fixture) {
				f.get(t, "/book/1", "Request-Id: r1", "Authorization: "+key)
				assertAdmitted(t, d, "mill", 1)
			})
		}
	})
	t.Run("a missing, unknown or malformed key gets 401 and is neither queued nor counted", func(t *testing.T) {
		for _, header := range []string{
			"X: y", "Authorization: Bearer other", "Authorization: old", "Authorization: Basic old", "Authorization: Bearer ",
			"Authorization: Bearer old\r\nAuthorization: Bearer new",
		} {
			d, l := &fakeDispatcher{}, &fakeLimiter{}
			withCustomers(t, d, l, func(t *testing.T, f *fixture) {
				r := f.get(t, "/book/1", "Request-Id: r1", header)
				assertStatus(t, r, http.StatusUnauthorized)
				is.New(t).Equal(r.Header.Get("WWW-Authenticate"), "Bearer")
				is.New(t).Equal(len(d.Admitted)+l.Taken, 0)
			})
		}
	})
	// Guards against a configuration that becomes open to all, and passes keys on, when it loses its last customer or key.
	t.Run("without any valid key all keys are unknown", func(t *testing.T) {
		for _, tenants := range []map[string]fleet.Tenant{nil, {}} {
			d := &fakeDispatcher{}
			withCustomers(t, d, &fakeLimiter{}, func(t *testing.T, f *fixture) {
				f.Config.Configuration.Tenants = tenants
				assertStatus(t, f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer old"), http.StatusUnauthorized)
				is.New(t).Equal(len(d.Admitted), 0)
			})
		}
	})
	t.Run("a route that is open to all needs no key", func(t *testing.T) {
		d := &fakeDispatcher{Result: table.Result{Outcome: fleet.NotRun}}
		withCustomers(t, d, &fakeLimiter{}, func(t *testing.T, f *fixture) {
			f.get(t, "/news/1", "Request-Id: r1")
			assertAdmitted(t, d, "", 0)
		})
	})
	// Guards against 401 for a key that was added while the node could not read the configuration.
	t.Run("a node whose configuration is old answers 503 for an unknown key", func(t *testing.T) {
		withCustomers(t, &fakeDispatcher{}, &fakeLimiter{}, func(t *testing.T, f *fixture) {
			f.Handler.ConfigurationAge = func() time.Duration { return maxTrustedAge + time.Millisecond }
			assertStatus(t, f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer other"), http.StatusServiceUnavailable)
		})
	})
}

// Guards against requests beyond a customer's limit that wait or look like an overload, and against a limit that is used up
// by requests that did not run.
func TestQuota(t *testing.T) {
	t.Run("beyond the limit a request gets 429 with the delay, and is not queued", func(t *testing.T) {
		d := &fakeDispatcher{}
		withCustomers(t, d, &fakeLimiter{RetryAfter: 1500 * time.Millisecond}, func(t *testing.T, f *fixture) {
			r := f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer old")
			assertStatus(t, r, http.StatusTooManyRequests)
			is.New(t).Equal(r.Header.Get("Retry-After"), "1.500")
			is.New(t).Equal(len(d.Admitted), 0)
		})
	})
	t.Run("a host that may not decide answers 503 with the delay", func(t *testing.T) {
		d := &fakeDispatcher{}
		withCustomers(t, d, &fakeLimiter{RetryAfter: 300 * time.Millisecond, Undecided: true}, func(t *testing.T, f *fixture) {
			r := f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer old")
			assertStatus(t, r, http.StatusServiceUnavailable)
			is.New(t).Equal(r.Header.Get("Retry-After"), "0.300")
			is.New(t).Equal(len(d.Admitted), 0)
		})
	})
	// Guards against a token that is given back to this host's bucket although another host was charged.
	t.Run("a request that another host has accepted is not given back", func(t *testing.T) {
		l := &fakeLimiter{Remote: true}
		withCustomers(t, &fakeDispatcher{Result: table.Result{Outcome: fleet.NotRun}}, l, func(t *testing.T, f *fixture) {
			f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer old")
			is.New(t).Equal(l.Taken, 1)
			is.New(t).Equal(l.GivenBack, 0)
		})
	})
	t.Run("a request without a route costs nothing", func(t *testing.T) {
		l := &fakeLimiter{}
		withCustomers(t, &fakeDispatcher{}, l, func(t *testing.T, f *fixture) {
			assertStatus(t, f.get(t, "/none/", "Request-Id: r1", "Authorization: Bearer old"), http.StatusNotFound)
			is.New(t).Equal(l.Taken, 0)
		})
	})
	for _, c := range []struct {
		name          string
		result        table.Result
		refuse        error
		wantGivenBack int
	}{
		{"a refused request is given back", table.Result{}, admission.RefusedError{}, 1},
		{"a request that has surely not run is given back", table.Result{Outcome: fleet.NotRun}, nil, 1},
		{"a request that may have run stays counted", table.Result{Outcome: fleet.Unknown}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &fakeLimiter{}
			withCustomers(t, &fakeDispatcher{Result: c.result, AdmitErr: c.refuse}, l, func(t *testing.T, f *fixture) {
				f.get(t, "/book/1", "Request-Id: r1", "Authorization: Bearer old")
				is.New(t).Equal(l.Taken, 1)
				is.New(t).Equal(l.GivenBack, c.wantGivenBack)
			})
		})
	}
}
