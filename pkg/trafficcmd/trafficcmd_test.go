package trafficcmd

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficquery"
)

// Guards against metrics that miscount a tenant or exceed the memory of a node.
func TestRecord(t *testing.T) {
	t.Run("outcomes and latencies are counted by class and tenant", func(t *testing.T) {
		c, q := newCommands()
		c.Record(observation("shop", fleet.Answered, 3*time.Millisecond))
		c.Record(observation("shop", fleet.NotRun, 0))
		c.Record(observation("shop", fleet.Unknown, time.Hour))
		s := q.Snapshot(10)
		is := is.New(t)
		want := trafficquery.Outcomes{Answered: 1, NotRun: 1, Unknown: 1}
		is.Equal(s.Classes[0].Outcomes, want)
		is.Equal(s.Classes[0].P99, 3*time.Millisecond)
		is.Equal(s.Tenants[0], trafficquery.Tenant{Name: "shop", Outcomes: want, P50: 4 * time.Millisecond, P99: 4 * time.Millisecond})
	})
	t.Run("the heaviest tenants come first", func(t *testing.T) {
		c, q := newCommands()
		for i := range 5 {
			for range i {
				c.Record(observation(fmt.Sprintf("t%d", i), fleet.Answered, 0))
			}
		}
		s := q.Snapshot(2)
		is := is.New(t)
		is.Equal(len(s.Tenants), 2)
		is.Equal(s.Tenants[0].Name, "t4")
		is.Equal(s.TenantCount, 4)
	})
	t.Run("one tenant above the limit is counted as overflow", func(t *testing.T) {
		c, q := newCommands()
		for i := range MaxTenants + 1 {
			c.Record(observation(fmt.Sprint(i), fleet.Answered, 0))
		}
		s := q.Snapshot(0)
		is := is.New(t)
		is.Equal(s.TenantCount, MaxTenants)
		is.Equal(s.Overflow, int64(1))
		is.Equal(s.Classes[0].Outcomes.Answered, int64(MaxTenants+1))
	})
	t.Run("bucket bounds double", func(t *testing.T) {
		is := is.New(t)
		is.Equal(bucket(0), 0)
		is.Equal(bucket(time.Millisecond), 1)
		is.Equal(bucket(time.Hour), table.TenantBuckets-1)
	})
}

func newCommands() (*Commands, *trafficquery.Queries) {
	t := table.New(fleet.Host{}, "i1").Traffic
	return &Commands{Traffic: t}, &trafficquery.Queries{Traffic: t}
}

func observation(tenant string, o fleet.Outcome, latency time.Duration) Observation {
	return Observation{
		Class:  table.TrafficClass{Service: "ledger-view", Rank: "lookups"},
		Tenant: tenant, Outcome: o, Latency: latency,
	}
}
