package healthcmd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// leavingSink counts the servers that are reported to other nodes as leaving.
type leavingSink struct{ runs []notice.Run }

func (*leavingSink) FastFailure(time.Time, table.ServerKey, string) {}
func (*leavingSink) Overdue(time.Time, table.ServerKey, string)     {}
func (*leavingSink) Recovered(time.Time, table.ServerKey, string)   {}

func (s *leavingSink) Leaving(_ time.Time, _ string, r notice.Run) { s.runs = append(s.runs, r) }

// noticeFixture holds the health commands of a node whose service has one server.
type noticeFixture struct {
	*Commands
	sink   *leavingSink
	server fleet.BackendServer
}

func newNoticeFixture() *noticeFixture {
	f := &noticeFixture{
		Commands: &Commands{Tables: table.New(fleet.Host{ID: "self"}, "1")}, sink: &leavingSink{},
		server: fleet.BackendServer{Address: "s1", Instance: "i-1", StartedAtMs: 1, Slots: 6},
	}
	f.Sink = f.sink
	f.Sync(start, poolConfiguration(f.server))
	return f
}

func (*noticeFixture) assignment(server fleet.BackendServer) table.Assignment {
	return table.Assignment{Ticket: &table.Ticket{ID: "t", Service: "desk", Deadline: start.Add(time.Hour)}, Server: server}
}

// respond records a response of the run of the server, as after a request that was sent to it.
func (f *noticeFixture) respond(server fleet.BackendServer, r table.Result) {
	a := f.assignment(server)
	f.Responded(start, a, r)
	f.Observe(start, a, r)
}

func assertNextUse(t *testing.T, f *noticeFixture, after time.Duration, want healthquery.Use) {
	t.Helper()
	is := is.New(t)
	now := start.Add(after)
	f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		is.Equal(healthquery.UseOf(b.Services["desk"]["s1"], false, 0, now), want)
	})
	// The gate before the write gives the same verdict on the current run.
	is.Equal((&healthquery.Queries{Tables: f.Tables}).CheckSend(now, f.server) == nil, want == healthquery.NormalUse)
}

// Guards against requests to a server that announced that it is leaving, or that asked for a pause, while its registration
// lags behind, expires or returns.
func TestNotices(t *testing.T) {
	leaving := table.Result{Evidence: fleet.Succeeded, Sent: true, Response: true, Leaving: true}
	paused := table.Result{Evidence: fleet.Shed, Sent: true, PauseFor: 2 * time.Second}
	t.Run("a leaving server gets no more requests and is reported once", func(t *testing.T) {
		f := newNoticeFixture()
		f.respond(f.server, leaving)
		f.respond(f.server, leaving)
		assertNextUse(t, f, time.Hour, healthquery.NoUse)
		is.New(t).Equal(f.sink.runs, []notice.Run{notice.RunOf(f.server)})
	})
	t.Run("a pause counts from the response, not from the end of its body", func(t *testing.T) {
		f := newNoticeFixture()
		a := f.assignment(f.server)
		f.Responded(start, a, paused)
		f.Observe(start.Add(time.Second), a, paused)
		assertNextUse(t, f, 2*time.Second, healthquery.NormalUse)
	})
	t.Run("a pause ends", func(t *testing.T) {
		f := newNoticeFixture()
		f.respond(f.server, paused)
		assertNextUse(t, f, 2*time.Second-1, healthquery.NoUse)
		assertNextUse(t, f, 2*time.Second, healthquery.NormalUse)
		is.New(t).Equal(len(f.sink.runs), 0)
	})
	t.Run("the notice of a server outlives its registration", func(t *testing.T) {
		for _, r := range []table.Result{leaving, paused} {
			f := newNoticeFixture()
			f.respond(f.server, r)
			f.Sync(start, poolConfiguration())
			f.Sync(start, poolConfiguration(f.server))
			assertNextUse(t, f, time.Second, healthquery.NoUse)
		}
	})
	t.Run("a response that arrives after the registration ended counts", func(t *testing.T) {
		f := newNoticeFixture()
		f.Sync(start, poolConfiguration())
		f.respond(f.server, leaving)
		f.Sync(start, poolConfiguration(f.server))
		assertNextUse(t, f, time.Second, healthquery.NoUse)
	})
	t.Run("a later run of the server is used", func(t *testing.T) {
		for _, r := range []table.Result{leaving, paused} {
			f := newNoticeFixture()
			old := f.server
			f.respond(old, r)
			f.server.StartedAtMs = 2
			f.Sync(start, poolConfiguration(f.server))
			assertNextUse(t, f, 0, healthquery.NormalUse)
			f.respond(old, r) // a late response of the earlier run
			assertNextUse(t, f, 0, healthquery.NormalUse)
		}
	})
	t.Run("a report of another node counts, whichever comes first", func(t *testing.T) {
		f := newNoticeFixture()
		f.ObservePeerLeaving(start, "desk", notice.RunOf(f.server))
		assertNextUse(t, f, 0, healthquery.NoUse)
		next := f.server
		next.StartedAtMs = 2
		f.ObservePeerLeaving(start, "desk", notice.RunOf(next))
		f.server = next
		f.Sync(start, poolConfiguration(next))
		assertNextUse(t, f, 0, healthquery.NoUse)
		f.respond(next, leaving)
		is.New(t).Equal(len(f.sink.runs), 0) // is known to the other nodes
	})
}
