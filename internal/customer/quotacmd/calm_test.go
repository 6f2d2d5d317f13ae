package quotacmd

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against hosts that refuse requests within the limit because they do not know what the others accept.
func TestNoNeedlessRefusals(t *testing.T) {
	for _, hosts := range []int{1, 3, 6} {
		for _, rate := range []float64{2, 40, 323} {
			for name, weights := range map[string][]float64{"evenly": {1}, "through one host": {1, 0}, "unevenly": {7, 2, 1}} {
				t.Run(fmt.Sprintf("%d hosts, %v requests per second, %s", hosts, rate, name), func(t *testing.T) {
					f := newTestFleet(hosts, fleet.Quota{RequestsPerSecond: rate, Burst: int(rate)}, 1)
					f.setDemand(rate/1.6, weights...)
					f.run(time.Minute)
					assertNoNeedlessRefusals(t, f)
				})
			}
		}
	}
	t.Run("a host that has failed", func(t *testing.T) {
		f := newTestFleet(4, fleet.Quota{RequestsPerSecond: 40, Burst: 40}, 1)
		f.Hosts[3].Up = false
		f.setDemand(25, 1)
		f.Hosts[3].Demand = 0
		f.run(time.Minute)
		assertNoNeedlessRefusals(t, f)
	})
	// Guards against a debt for what hosts accepted within their parts while they were cut off.
	t.Run("the end of a partition", func(t *testing.T) {
		f := newTestFleet(3, fleet.Quota{RequestsPerSecond: 40, Burst: 40}, 1)
		f.Hosts[0].Side = 1
		f.setDemand(20, 1, 0)
		f.run(20 * time.Second)
		f.Hosts[0].Side, f.NeedlesslyRefused = 0, 0
		f.run(10 * time.Second)
		assertNoNeedlessRefusals(t, f)
	})
	// Guards against a fleet that accepts less than the limit while one customer sends ten times as much.
	t.Run("an overloaded customer gets its whole rate", func(t *testing.T) {
		f := newTestFleet(3, fleet.Quota{RequestsPerSecond: 100, Burst: 100}, 1)
		f.setDemand(1000, 7, 2, 1)
		f.run(20 * time.Second)
		is.New(t).True(len(f.Accepted) >= 20*100)
	})
}

// Guards against a lower limit that debts from the higher one make unusable, and against one that takes effect late.
func TestLimitFalls(t *testing.T) {
	f := newTestFleet(3, fleet.Quota{RequestsPerSecond: 300, Burst: 300}, 1)
	f.setDemand(1000, 1)
	f.run(3 * time.Second)
	f.setLimit(fleet.Quota{RequestsPerSecond: 4, Burst: 4})
	f.Accepted = nil
	f.run(10 * time.Second)
	assertBound(t, f)
	is.New(t).True(len(f.Accepted) >= 30)
}

// Guards against a Retry-After after which the request is refused again.
func TestRetryAfter(t *testing.T) {
	f := newTestFleet(3, fleet.Quota{RequestsPerSecond: 5, Burst: 5}, 1)
	h := f.Hosts[0]
	for f.take(h) {
	}
	var delays []time.Duration
	for range 4 {
		is.New(t).True(!f.take(h))
		delays = append(delays, f.LastRetry)
	}
	begin := f.Now
	for _, delay := range delays {
		f.run(begin.Add(delay).Sub(f.Now))
		is.New(t).True(f.take(h))
	}
}

// Guards against state of a customer whose limit was removed, and against state that faulty peers create.
func TestUnlimitedCustomer(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2, fleet.Quota{RequestsPerSecond: 5, Burst: 5}, 1)
	f.setDemand(50, 1)
	f.run(time.Second)
	f.setLimit(fleet.Quota{})
	f.run(time.Second)
	for _, h := range f.Hosts {
		is.Equal(f.bucketCount(h), 0)
	}
	before := f.Refused
	f.run(time.Second)
	is.Equal(f.Refused, before)
}

// Guards against requests beyond the limit of a customer that was added by a configuration which this host has not adopted
// yet: requests are identified by a new configuration before its limits are adopted. A record without a version, which
// decodes to revision 0, is never adopted.
func TestLimitBeforeAdoption(t *testing.T) {
	f := newTestFleet(1, fleet.Quota{RequestsPerSecond: 40, Burst: 40}, 1)
	h := f.Hosts[0]
	added := fleet.Tenant{Name: "added", Quota: fleet.Quota{RequestsPerSecond: 5, Burst: 5}}
	accepted := 0
	for range 100 {
		if h.Take(f.Now, added).Accepted {
			accepted++
		}
	}
	if want := allowed(added.Quota, 0); accepted < added.Quota.Burst || float64(accepted) > want {
		t.Errorf("%d requests accepted, want at least %d and at most %.0f", accepted, added.Quota.Burst, want)
	}
}

// Guards against a customer that gets a full bucket because all its keys were replaced in two steps.
func TestKeysReplaced(t *testing.T) {
	f := newTestFleet(3, fleet.Quota{RequestsPerSecond: 100, Burst: 300}, 1)
	f.setDemand(1000, 1)
	f.run(3 * time.Second)
	f.revision++
	for _, h := range f.Hosts {
		h.Adopt(f.Now, &fleet.Configuration{Revision: f.revision})
	}
	f.setDemand(0, 1)
	f.run(500 * time.Millisecond)
	f.setLimit(f.Limit)
	f.setDemand(1000, 1)
	f.run(5 * time.Second)
	assertBound(t, f)
}

// Guards against a customer with a long name because of which receivers reject reports about all customers.
func TestLongName(t *testing.T) {
	f := newTestFleet(2, fleet.Quota{RequestsPerSecond: 5, Burst: 5}, 1)
	long := fleet.Tenant{Name: strings.Repeat("x", 200), Quota: f.Limit}
	h := f.Hosts[0]
	h.Adopt(f.Now, &fleet.Configuration{Revision: 9, Tenants: map[string]fleet.Tenant{"a": long, "b": f.customer()}})
	h.Take(f.Now, long)
	h.Take(f.Now, f.customer())
	section := h.Report(f.Now.Add(time.Second), f.Hosts[1].ID, 1000)
	is.New(t).Equal(len(section.Customers), 1)
	is.New(t).NoErr(section.Check())
}
