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

// fixture holds the health commands and queries of one node, for a service with six servers in three availability
// zones.
type fixture struct {
	*Commands
	query        *healthquery.Queries
	now          time.Time
	lastTicketID int
}

func newFixture() *fixture {
	t := table.New(fleet.Host{ID: "self", AvailabilityZone: "a"}, "1")
	f := &fixture{Commands: &Commands{Tables: t}, query: &healthquery.Queries{Tables: t}, now: start}
	f.Sync(f.now, newConfiguration(6))
	f.Sweep(f.now)
	return f
}

func newConfiguration(servers int) *fleet.Configuration {
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

// startRequest adds a request in flight to the server.
func (f *fixture) startRequest(i int) table.Assignment {
	f.lastTicketID++
	a := table.Assignment{
		Ticket: &table.Ticket{ID: fmt.Sprint(f.lastTicketID), Service: service, Deadline: f.now.Add(time.Minute)},
		Server: fleet.BackendServer{Address: address(i)},
	}
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s := b.Services[service][address(i)]
		s.Outstanding++
		s.InFlight[a.Ticket.ID] = table.InFlight{Started: f.now}
	})
	return a
}

// endRequest records the response headers and the result, and removes the request from the requests in flight.
func (f *fixture) endRequest(a table.Assignment, r table.Result) {
	f.Responded(f.now, a, r)
	f.Observe(f.now, a, r)
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s := b.Services[service][a.Server.Address]
		s.Outstanding--
		delete(s.InFlight, a.Ticket.ID)
	})
}

func (f *fixture) sendRequest(i int, e fleet.Evidence) {
	f.endRequest(f.startRequest(i), table.Result{Evidence: e, Latency: 20 * time.Millisecond, Sent: true})
}

// sendRound sends one request to every server, of which the listed ones fail, and sweeps.
func (f *fixture) sendRound(failing ...int) {
	for i := range 6 {
		e := fleet.Succeeded
		for _, j := range failing {
			if j == i {
				e = fleet.Failed
			}
		}
		f.sendRequest(i, e)
	}
	f.advance(SweepInterval)
}

// advance moves the clock of the fixture forward and sweeps.
func (f *fixture) advance(d time.Duration) SweepResult {
	f.now = f.now.Add(d)
	return f.Sweep(f.now)
}

func (f *fixture) state(t *testing.T, i int) healthquery.ServerState {
	t.Helper()
	for _, s := range f.query.Servers(f.now) {
		if s.Address == address(i) {
			return s
		}
	}
	t.Fatalf("server %d is not in the table", i)
	return healthquery.ServerState{}
}

func assertUse(t *testing.T, f *fixture, i int, want string) {
	t.Helper()
	is := is.New(t)
	is.Equal(f.state(t, i).Use, want)
}

func assertReason(t *testing.T, f *fixture, i int, want string) {
	t.Helper()
	if got := f.state(t, i).Reason; !strings.Contains(got, want) {
		t.Errorf("reason %q does not contain %q", got, want)
	}
}

func assertEligible(t *testing.T, f *fixture, want int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(f.query.Eligible(service, f.now)), want)
}
