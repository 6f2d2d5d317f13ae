package healthcmd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Guards against gray failures that stay in use, and against ejections that several zones did not confirm.
func TestSweep(t *testing.T) {
	t.Run("failures of real requests take a server out of use", func(t *testing.T) {
		m := newMember()
		for range 4 {
			m.round(0)
		}
		assertUse(t, m, 0, "avoided")
		assertReason(t, m, 0, "answered with errors")
		assertEligible(t, m, 5)
	})
	t.Run("a stall is seen before the timeout", func(t *testing.T) {
		m := newMember()
		m.round()
		m.start(0)
		m.start(0)
		for range 10 {
			m.advance(SweepPeriod)
		}
		assertUse(t, m, 0, "avoided")
		assertReason(t, m, 0, "no response in time")
	})
	t.Run("reports of two zones eject", func(t *testing.T) {
		m := newMember()
		m.round()
		for _, zone := range []string{"b", "c"} {
			m.ApplyReport(m.now, PeerReport{HostID: zone, AvailabilityZone: zone, Suspicions: suspicions(0)})
		}
		m.round()
		assertUse(t, m, 0, "ejected")
	})
	t.Run("reports of one zone do not", func(t *testing.T) {
		m := newMember()
		m.round()
		for _, host := range []string{"b1", "b2"} {
			m.ApplyReport(m.now, PeerReport{HostID: host, AvailabilityZone: "b", Suspicions: suspicions(0)})
		}
		m.round()
		assertUse(t, m, 0, "in-use")
	})
	t.Run("a floor of the whole pool keeps a failing server in use", func(t *testing.T) {
		m := newMember()
		conf := configuration(6)
		s := conf.Services[service]
		s.Floor = 6
		conf.Services[service] = s
		m.Sync(m.now, conf)
		m.round()
		for range 20 {
			m.round(0)
		}
		assertUse(t, m, 0, "in-use")
		assertEligible(t, m, 6)
	})
	t.Run("the floor keeps suspected servers in use", func(t *testing.T) {
		m := newMember()
		m.round()
		for range 20 {
			m.round(0, 1)
			m.round(0, 1, 2, 4)
		}
		assertEligible(t, m, 4)
	})
}

func suspicions(i int) map[table.ServerKey]table.Suspicion {
	return map[table.ServerKey]table.Suspicion{key(i): {Excess: 8}}
}

// Guards against faults of the node itself that eject healthy servers.
func TestNodeFaults(t *testing.T) {
	t.Run("a paused node discards ages and the failures that follow", func(t *testing.T) {
		m := newMember()
		m.round()
		var flights []table.Assignment
		for range 6 {
			flights = append(flights, m.start(0))
		}
		swept := m.advance(30 * time.Second)
		for _, a := range flights {
			m.end(a, table.Result{Evidence: fleet.Failed, Latency: 30 * time.Second, Sent: true})
		}
		m.round()
		is.New(t).True(swept.Paused)
		assertUse(t, m, 0, "in-use")
	})
	t.Run("an isolated node ejects and reports nothing", func(t *testing.T) {
		m := newMember()
		m.round()
		for range 20 {
			m.round(0, 1, 2, 3, 4)
		}
		is := is.New(t)
		is.True(m.query.Isolated())
		is.Equal(len(m.query.Report(m.now).Suspicions), 0)
		assertEligible(t, m, 6)
	})
	t.Run("a request that expires while it connects blames no server", func(t *testing.T) {
		m := newMember()
		m.round()
		for range 10 {
			a := m.start(0)
			a.Ticket.Deadline = m.now
			m.end(a, table.Result{Evidence: fleet.Unreachable, Latency: time.Millisecond})
		}
		m.round()
		assertUse(t, m, 0, "in-use")
	})
}

// Guards H5: each sign of leaving stops new work at once, and a server that has returned gets work again.
func TestLeaving(t *testing.T) {
	for name, sign := range map[string]func(m *member){
		"announced by a response": func(m *member) {
			m.Responded(m.now, m.start(0), table.Result{Evidence: fleet.Succeeded, Leaving: true})
		},
		"refused as draining":     func(m *member) { m.request(0, fleet.Draining) },
		"listed by the host list": func(m *member) { m.AdoptHostList(m.now, []string{address(0)}) },
		"reported by a peer": func(m *member) {
			m.ApplyReport(m.now, PeerReport{HostID: "b", Leaving: []table.ServerKey{key(0)}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMember()
			sign(m)
			assertUse(t, m, 0, "leaving")
			assertEligible(t, m, 5)
		})
	}
	t.Run("a report of a peer is not passed on", func(t *testing.T) {
		m := newMember()
		m.ApplyReport(m.now, PeerReport{HostID: "b", Leaving: []table.ServerKey{key(0)}})
		m.request(1, fleet.Draining)
		is := is.New(t)
		is.Equal(m.query.Report(m.now).Leaving, []table.ServerKey{key(1)})
	})
	t.Run("a late probe without the sign ends it", func(t *testing.T) {
		m := newMember()
		m.request(0, fleet.Draining)
		m.ObserveProbe(m.now, Probe{Server: key(0), Evidence: fleet.Succeeded})
		assertUse(t, m, 0, "leaving")
		m.now = m.now.Add(time.Minute)
		is.New(t).Equal(m.query.ProbeTargets(m.now, map[string]bool{key(0).Service: true})[0].Server, key(0))
		m.ObserveProbe(m.now, Probe{Server: key(0), Evidence: fleet.Succeeded})
		assertUse(t, m, 0, "in-use")
	})
}

// Guards against configuration changes that cut requests in flight or give new work to a removed server.
func TestSync(t *testing.T) {
	t.Run("a removed server leaves and is dropped when its requests have ended", func(t *testing.T) {
		m := newMember()
		a := m.start(5)
		m.Sync(m.now, configuration(5))
		assertUse(t, m, 5, "leaving")
		m.end(a, table.Result{Evidence: fleet.Succeeded, Latency: time.Millisecond})
		m.advance(SweepPeriod)
		is.New(t).Equal(len(m.query.Servers(m.now)), 5)
	})
	t.Run("a server that is added again while it drains is in use", func(t *testing.T) {
		m := newMember()
		a := m.start(5)
		m.Sync(m.now, configuration(5))
		m.Sync(m.now, configuration(6))
		assertUse(t, m, 5, "in-use")
		m.end(a, table.Result{Evidence: fleet.Succeeded, Latency: time.Millisecond})
		assertUse(t, m, 5, "in-use")
	})
	t.Run("only servers that join a known pool have a cold start", func(t *testing.T) {
		m := newMember()
		m.Sync(m.now, configuration(7))
		m.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
			is := is.New(t)
			is.True(b.Services[service][address(0)].State.Appeared.IsZero())
			is.Equal(b.Services[service][address(6)].State.Appeared, m.now)
		})
	})
}
