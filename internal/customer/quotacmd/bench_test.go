package quotacmd

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// BenchmarkCommands measures requests, and reports between entry hosts, at the sizes of an ordinary deployment and of the design.
func BenchmarkCommands(b *testing.B) {
	for _, size := range []struct{ hosts, customers int }{{3, 83}, {40, 37_000}} {
		c := New(table.New(fleet.Host{ID: "self"}, ""), Options{Tolerance: tolerance, StartedAt: start, FirstStart: true}, zerolog.Nop())
		tenants := map[string]fleet.Tenant{}
		list := make([]fleet.Tenant, size.customers)
		for i := range list {
			list[i] = fleet.Tenant{Name: fmt.Sprint("customer-", i), Quota: fleet.Quota{RequestsPerSecond: 1000, Burst: 1000}}
			tenants[list[i].Name] = list[i]
		}
		c.Adopt(start, &fleet.Configuration{Revision: 1, Tenants: tenants})
		others := make([]fleet.Host, size.hosts-1)
		for i := range others {
			others[i].ID = fmt.Sprint("host-", i)
		}
		c.Sweep(start, others, true)
		label := fmt.Sprintf("hosts=%d/customers=%d", size.hosts, size.customers)
		b.Run(label+"/take", func(b *testing.B) {
			for i := range b.N {
				c.Take(start.Add(time.Duration(i)*10*time.Microsecond), list[i%len(list)])
			}
		})
		section := &peerapi.CustomerUsage{}
		for i := range min(size.customers, 140) {
			section.Customers = append(section.Customers, peerapi.CustomerTotal{Name: list[i].Name, Since: 1, Used: 1, Level: 900})
		}
		b.Run(label+"/observe", func(b *testing.B) {
			for i := range b.N {
				c.Observe(start.Add(time.Duration(i)*time.Millisecond), peerapi.Report{
					From: peerapi.Host{ID: others[i%len(others)].ID}, Incarnation: 1, Sequence: uint64(i + 2), Customers: section,
				})
			}
		})
	}
}
