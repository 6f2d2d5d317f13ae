package healthcmd

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// overdueSink keeps the servers that were reported as overdue.
type overdueSink struct {
	leavingSink
	Reported []table.ServerKey
}

func (s *overdueSink) Overdue(_ time.Time, key table.ServerKey, _ string) {
	s.Reported = append(s.Reported, key)
}

// stallFixture is a pool of two servers with requests of one route, which usually take 100 ms.
type stallFixture struct {
	*Commands
	sink   *overdueSink
	now    time.Time
	lastID int
}

func newStallFixture() *stallFixture {
	f := &stallFixture{
		Commands: &Commands{Tables: table.New(fleet.Host{ID: "self"}, "1")}, sink: &overdueSink{}, now: start,
	}
	f.Sink = f.sink
	f.Sync(f.now, poolConfiguration(fleet.BackendServer{Address: "s1", Slots: 4}, fleet.BackendServer{Address: "s2", Slots: 4}))
	for n := range 40 {
		f.end(f.send("s2"), time.Duration(80+n%3*20)*time.Millisecond, fleet.Succeeded)
	}
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for range 20 {
			b.Health["desk"].OverdueResults.Observe(false, f.now)
		}
	})
	return f
}

// send sends a request with a timeout of 400 ms to the server.
func (f *stallFixture) send(address string) table.Assignment {
	f.lastID++
	a := table.Assignment{
		Ticket: &table.Ticket{ID: fmt.Sprint(f.lastID), Service: "desk", Route: "bookings", Deadline: f.now.Add(400 * time.Millisecond)},
		Server: fleet.BackendServer{Address: address, Slots: 4},
	}
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		b.Services["desk"][address].InFlight[a.Ticket.ID] = table.InFlight{Started: f.now}
	})
	f.Started(f.now, a)
	return a
}

// end ends the request after the duration.
func (f *stallFixture) end(a table.Assignment, after time.Duration, e fleet.Evidence) {
	f.now = f.now.Add(after)
	f.Observe(f.now, a, table.Result{Evidence: e, Latency: after, Response: e == fleet.Succeeded})
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		delete(b.Services["desk"][a.Server.Address].InFlight, a.Ticket.ID)
	})
}

func (f *stallFixture) assertBreaker(t *testing.T, want detect.BreakerState) {
	t.Helper()
	f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		is.New(t).Equal(detect.BreakerStateOf(&b.Services["desk"]["s1"].State, false, f.now), want)
	})
}

// Guards against a hanging server whose requests all end at their timeout, which is below the stall age of the pool.
func TestOverdue(t *testing.T) {
	t.Run("requests in flight count once they are overdue, and peers are told of each once", func(t *testing.T) {
		f := newStallFixture()
		f.send("s1")
		f.send("s1")
		f.now = f.now.Add(390 * time.Millisecond)
		f.Sweep(f.now)
		f.Sweep(f.now)
		f.assertBreaker(t, detect.Open)
		is.New(t).Equal(f.sink.Reported, []table.ServerKey{{Service: "desk", Address: "s1"}, {Service: "desk", Address: "s1"}})
	})
	t.Run("a request that ended at its timeout counts as well", func(t *testing.T) {
		f := newStallFixture()
		f.end(f.send("s1"), 400*time.Millisecond, fleet.Failed)
		f.assertBreaker(t, detect.Closed)
		f.end(f.send("s1"), 400*time.Millisecond, fleet.Failed)
		f.assertBreaker(t, detect.Open)
	})
	t.Run("a report of a peer counts like an own request", func(t *testing.T) {
		f := newStallFixture()
		f.end(f.send("s1"), 400*time.Millisecond, fleet.Failed)
		f.ObservePeerOverdue(f.now, table.ServerKey{Service: "desk", Address: "s1"}, "", 50*time.Millisecond)
		f.assertBreaker(t, detect.Open)
	})
	t.Run("where overdue requests are answered after all, they count for nothing", func(t *testing.T) {
		f := newStallFixture()
		for range 40 {
			f.end(f.send("s1"), 300*time.Millisecond, fleet.Succeeded)
		}
		f.assertBreaker(t, detect.Closed)
	})
	t.Run("a request that ends early because of its deadline is no evidence", func(t *testing.T) {
		f := newStallFixture()
		for range 5 {
			f.end(f.send("s1"), 50*time.Millisecond, fleet.Canceled)
		}
		f.assertBreaker(t, detect.Closed)
		is.New(t).Equal(len(f.sink.Reported), 0)
	})
}
