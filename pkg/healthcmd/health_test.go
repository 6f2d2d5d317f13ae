package healthcmd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Guards against servers with gray failures that stay in use, and against ejections that are not confirmed by several
// availability zones.
func TestSweep(t *testing.T) {
	t.Run("failures of real requests take a server out of use", func(t *testing.T) {
		f := newFixture()
		for range 4 {
			f.sendRound(0)
		}
		assertUse(t, f, 0, "avoided")
		assertReason(t, f, 0, "answered with errors")
		assertEligible(t, f, 5)
	})
	t.Run("a stall is detected before the request times out", func(t *testing.T) {
		f := newFixture()
		f.sendRound()
		f.startRequest(0)
		f.startRequest(0)
		for range 10 {
			f.advance(SweepInterval)
		}
		assertUse(t, f, 0, "avoided")
		assertReason(t, f, 0, "no response in time")
	})
	t.Run("reports from two zones eject a server", func(t *testing.T) {
		f := newFixture()
		f.sendRound()
		for _, zone := range []string{"b", "c"} {
			f.ApplyReport(f.now, PeerReport{HostID: zone, AvailabilityZone: zone, Suspicions: suspicions(0)})
		}
		f.sendRound()
		assertUse(t, f, 0, "ejected")
	})
	t.Run("reports from one zone do not eject a server", func(t *testing.T) {
		f := newFixture()
		f.sendRound()
		for _, host := range []string{"b1", "b2"} {
			f.ApplyReport(f.now, PeerReport{HostID: host, AvailabilityZone: "b", Suspicions: suspicions(0)})
		}
		f.sendRound()
		assertUse(t, f, 0, "in-use")
	})
	t.Run("a floor equal to the pool size keeps a failing server in use", func(t *testing.T) {
		f := newFixture()
		conf := newConfiguration(6)
		s := conf.Services[service]
		s.Floor = 6
		conf.Services[service] = s
		f.Sync(f.now, conf)
		f.sendRound()
		for range 20 {
			f.sendRound(0)
		}
		assertUse(t, f, 0, "in-use")
		assertEligible(t, f, 6)
	})
	t.Run("the floor keeps suspected servers in use", func(t *testing.T) {
		f := newFixture()
		f.sendRound()
		for range 20 {
			f.sendRound(0, 1)
			f.sendRound(0, 1, 2, 4)
		}
		assertEligible(t, f, 4)
	})
}

func suspicions(i int) map[table.ServerKey]table.Suspicion {
	return map[table.ServerKey]table.Suspicion{key(i): {Excess: 8}}
}

// Guards against ejections of healthy servers that are caused by faults of the node itself: a pause, a partition or
// deadlines that pass.
func TestNodeFaults(t *testing.T) {
	t.Run("a paused node discards the ages of requests in flight and their failures", func(t *testing.T) {
		f := newFixture()
		f.sendRound()
		var assignments []table.Assignment
		for range 6 {
			assignments = append(assignments, f.startRequest(0))
		}
		result := f.advance(30 * time.Second)
		for _, a := range assignments {
			f.endRequest(a, table.Result{Evidence: fleet.Failed, Latency: 30 * time.Second, Sent: true})
		}
		f.sendRound()
		is.New(t).True(result.Paused)
		assertUse(t, f, 0, "in-use")
	})
	t.Run("an isolated node neither ejects nor reports servers", func(t *testing.T) {
		f := newFixture()
		f.sendRound()
		for range 20 {
			f.sendRound(0, 1, 2, 3, 4)
		}
		is := is.New(t)
		is.True(f.query.Isolated())
		is.Equal(len(f.query.Report(f.now).Suspicions), 0)
		assertEligible(t, f, 6)
	})
	t.Run("a deadline that passes while connecting is not counted against the server", func(t *testing.T) {
		f := newFixture()
		f.sendRound()
		for range 10 {
			a := f.startRequest(0)
			a.Ticket.Deadline = f.now
			f.endRequest(a, table.Result{Evidence: fleet.Unreachable, Latency: time.Millisecond})
		}
		f.sendRound()
		assertUse(t, f, 0, "in-use")
	})
}

// Guards against new requests to a leaving server (requirement H5): each sign of leaving stops them at once. Also
// guards against a server that has returned and gets no requests.
func TestLeaving(t *testing.T) {
	for name, sign := range map[string]func(f *fixture){
		"announced by a response": func(f *fixture) {
			f.Responded(f.now, f.startRequest(0), table.Result{Evidence: fleet.Succeeded, Leaving: true})
		},
		"refused as draining":     func(f *fixture) { f.sendRequest(0, fleet.Draining) },
		"listed by the host list": func(f *fixture) { f.MarkListedLeaving(f.now, []string{address(0)}) },
		"reported by a peer": func(f *fixture) {
			f.ApplyReport(f.now, PeerReport{HostID: "b", Leaving: []table.ServerKey{key(0)}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			sign(f)
			assertUse(t, f, 0, "leaving")
			assertEligible(t, f, 5)
		})
	}
	t.Run("a report from a peer is not forwarded", func(t *testing.T) {
		f := newFixture()
		f.ApplyReport(f.now, PeerReport{HostID: "b", Leaving: []table.ServerKey{key(0)}})
		f.sendRequest(1, fleet.Draining)
		is := is.New(t)
		is.Equal(f.query.Report(f.now).Leaving, []table.ServerKey{key(1)})
	})
	t.Run("a probe without a sign of leaving after the hold duration returns the server to use", func(t *testing.T) {
		f := newFixture()
		f.sendRequest(0, fleet.Draining)
		f.ObserveProbe(f.now, Probe{Server: key(0), Evidence: fleet.Succeeded})
		assertUse(t, f, 0, "leaving")
		f.now = f.now.Add(time.Minute)
		is.New(t).Equal(f.query.ProbeTargets(f.now, map[string]bool{key(0).Service: true})[0].Server, key(0))
		f.ObserveProbe(f.now, Probe{Server: key(0), Evidence: fleet.Succeeded})
		assertUse(t, f, 0, "in-use")
	})
}

// Guards against configuration changes that lose track of requests in flight or that leave a removed server in use.
func TestSync(t *testing.T) {
	t.Run("a removed server is leaving and is deleted when its requests have ended", func(t *testing.T) {
		f := newFixture()
		a := f.startRequest(5)
		f.Sync(f.now, newConfiguration(5))
		assertUse(t, f, 5, "leaving")
		f.endRequest(a, table.Result{Evidence: fleet.Succeeded, Latency: time.Millisecond})
		f.advance(SweepInterval)
		is.New(t).Equal(len(f.query.Servers(f.now)), 5)
	})
	t.Run("a server that is added again while it drains returns to use", func(t *testing.T) {
		f := newFixture()
		a := f.startRequest(5)
		f.Sync(f.now, newConfiguration(5))
		f.Sync(f.now, newConfiguration(6))
		assertUse(t, f, 5, "in-use")
		f.endRequest(a, table.Result{Evidence: fleet.Succeeded, Latency: time.Millisecond})
		assertUse(t, f, 5, "in-use")
	})
	t.Run("only servers that join a known pool get a cold start", func(t *testing.T) {
		f := newFixture()
		f.Sync(f.now, newConfiguration(7))
		f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
			is := is.New(t)
			is.True(b.Services[service][address(0)].State.JoinedAt.IsZero())
			is.Equal(b.Services[service][address(6)].State.JoinedAt, f.now)
		})
	})
}
