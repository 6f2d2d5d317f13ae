package healthcmd

import (
	"fmt"
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// BenchmarkSweep measures one sweep of a node with recent evidence about one service, by the size of the fleet.
func BenchmarkSweep(b *testing.B) {
	for _, c := range []struct{ services, servers int }{{3, 36}, {60, 2_000}, {260, 11_000}} {
		b.Run(fmt.Sprintf("services=%d/servers=%d", c.services, c.servers), func(b *testing.B) {
			commands := newBenchmarkCommands(c.services, c.servers/c.services)
			now := time.Now()
			probe := Probe{
				Server: table.ServerKey{Service: "service-0", Address: "10.0.0.0:9000"}, Evidence: fleet.Succeeded,
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(SweepInterval)
				commands.ObserveProbe(now, probe)
				commands.Sweep(now)
			}
		})
	}
}

func newBenchmarkCommands(services, servers int) *Commands {
	conf := &fleet.Configuration{Services: map[string]fleet.Service{}}
	for i := range services {
		s := fleet.Service{Name: fmt.Sprint("service-", i), Floor: servers / 2}
		for k := range servers {
			s.BackendServers = append(s.BackendServers, fleet.BackendServer{
				Address: fmt.Sprintf("10.%d.%d.%d:9000", i/250, i%250, k), AvailabilityZone: fmt.Sprint("zone-", k%4), Slots: 6,
			})
		}
		conf.Services[s.Name] = s
	}
	t := table.New(fleet.Host{ID: "self", AvailabilityZone: "zone-0"}, "1")
	t.Config.Write(guard.Held{}, func(_ guard.Held, v *table.Config) { v.Compiled = conf })
	c := &Commands{Tables: t}
	c.Sync(time.Now(), conf)
	return c
}
