package healthcmd

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

const service = "ledger-view"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// member is the health part of one node with six servers in three zones.
type member struct {
	*Commands
	query *healthquery.Queries
	now   time.Time
	next  int
}

func newMember() *member {
	t := table.New(fleet.Host{ID: "self", AvailabilityZone: "a"}, "1")
	m := &member{Commands: &Commands{Tables: t}, query: &healthquery.Queries{Tables: t}, now: start}
	m.Sync(m.now, configuration(6))
	m.Sweep(m.now)
	return m
}

func configuration(servers int) *fleet.Configuration {
	s := fleet.Service{Name: service, Floor: 3, Preference: fleet.FasterDetection, ColdStart: 10 * time.Second}
	for i := range servers {
		s.BackendServers = append(s.BackendServers, fleet.BackendServer{
			Address: address(i), AvailabilityZone: string(rune('a' + i%3)), Slots: 6,
		})
	}
	return &fleet.Configuration{Services: map[string]fleet.Service{service: s}}
}

func address(i int) string {
	return fmt.Sprintf("10.0.0.%d:80", i)
}

func key(i int) table.ServerKey {
	return table.ServerKey{Service: service, Address: address(i)}
}

// start puts a request into flight at the server.
func (m *member) start(i int) table.Assignment {
	m.next++
	a := table.Assignment{
		Ticket: &table.Ticket{ID: fmt.Sprint(m.next), Service: service, Deadline: m.now.Add(time.Minute)},
		Server: fleet.BackendServer{Address: address(i)},
	}
	m.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s := b.Services[service][address(i)]
		s.Outstanding++
		s.InFlight[a.Ticket.ID] = table.InFlight{Started: m.now}
	})
	return a
}

func (m *member) end(a table.Assignment, r table.Result) {
	m.Responded(m.now, a, r)
	m.Observe(m.now, a, r)
	m.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s := b.Services[service][a.Server.Address]
		s.Outstanding--
		delete(s.InFlight, a.Ticket.ID)
	})
}

func (m *member) request(i int, e fleet.Evidence) {
	m.end(m.start(i), table.Result{Evidence: e, Latency: 20 * time.Millisecond, Sent: true})
}

// round sends a request to every server; those listed fail.
func (m *member) round(failing ...int) {
	for i := range 6 {
		e := fleet.Succeeded
		for _, f := range failing {
			if f == i {
				e = fleet.Failed
			}
		}
		m.request(i, e)
	}
	m.advance(SweepPeriod)
}

func (m *member) advance(d time.Duration) Swept {
	m.now = m.now.Add(d)
	return m.Sweep(m.now)
}

func (m *member) state(t *testing.T, i int) healthquery.ServerState {
	t.Helper()
	for _, s := range m.query.Servers(m.now) {
		if s.Address == address(i) {
			return s
		}
	}
	t.Fatalf("server %d is not in the table", i)
	return healthquery.ServerState{}
}

func assertUse(t *testing.T, m *member, i int, want string) {
	t.Helper()
	is := is.New(t)
	is.Equal(m.state(t, i).Use, want)
}

func assertReason(t *testing.T, m *member, i int, want string) {
	t.Helper()
	if got := m.state(t, i).Reason; !strings.Contains(got, want) {
		t.Errorf("reason %q does not contain %q", got, want)
	}
}

func assertEligible(t *testing.T, m *member, want int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(m.query.Eligible(service, m.now)), want)
}
