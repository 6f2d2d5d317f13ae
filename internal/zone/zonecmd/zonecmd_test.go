package zonecmd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/zoneshare"
	"egretline.example/egretline/internal/zone/zonequery"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

const service = "rental-desk"

var (
	start      = time.Unix(1_000_000, 0)
	self       = fleet.Host{ID: "a1", AvailabilityZone: "a"}
	entryHosts = []fleet.Host{self, {ID: "b1", AvailabilityZone: "b"}, {ID: "c1", AvailabilityZone: "c"}}
)

// fixture is a node in zone a with ten servers of four slots in each of the zones a, b and c.
type fixture struct {
	*Commands
	now      time.Time
	sequence uint64
	log      bytes.Buffer
}

func newFixture(s Settings) *fixture {
	f := &fixture{now: start}
	f.Commands = New(table.New(self, "1"), s, zerolog.New(&f.log))
	servers := map[string]*table.Backend{}
	for n := range 30 {
		zone := string(rune('a' + n%3))
		server := fleet.BackendServer{Address: fmt.Sprint("s", n), AvailabilityZone: zone, Slots: 4}
		servers[server.Address] = &table.Backend{Server: server}
	}
	f.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		b.Services[service] = servers
		f.Tables.Queues.Write(h, func(_ guard.Held, q *table.Queues) {
			queue := &admission.Queue[*table.Ticket]{Ranks: make([]admission.RankQueue[*table.Ticket], 1)}
			queue.Ranks[0].ServiceTime.Mean = 300 * time.Millisecond
			q.Services[service] = queue
		})
	})
	return f
}

func enabled() Settings {
	return Settings{Enabled: true, Crossing: 3 * time.Millisecond, TransferCost: time.Second}
}

func (f *fixture) setDemand(demand int) {
	f.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) { q.Services[service].Ranks[0].Held = demand })
}

// leaveZone makes all servers of the zone unusable.
func (f *fixture) leaveZone(zone string) {
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for _, s := range b.Services[service] {
			s.Leaving = s.Leaving || s.Server.AvailabilityZone == zone
		}
	})
}

func (f *fixture) report(host fleet.Host, demand, slots float64) {
	f.sequence++
	f.ObserveReport(host.ID, table.ZoneReport{
		AvailabilityZone: host.AvailabilityZone, Received: f.now, Incarnation: 1, Sequence: f.sequence,
		Services: map[string]zoneshare.Load{service: {Demand: demand, Slots: slots}},
	})
}

// run takes steps for the given time; the hosts report the given demand before each.
func (f *fixture) run(d time.Duration, hosts []fleet.Host, demand float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		for _, h := range hosts {
			f.report(h, demand, 40)
		}
		f.Step(f.now, self, entryHosts)
		f.now = f.now.Add(StepInterval)
	}
}

func assertPlan(t *testing.T, f *fixture, cause zoneshare.Cause, leaves bool, targets ...string) {
	t.Helper()
	plans := (&zonequery.Queries{Tables: f.Tables}).Plans()
	if len(plans) != 1 {
		t.Fatalf("plans are %+v, want one", plans)
	}
	p := plans[0]
	if p.Cause != cause || (p.Share > 0) != leaves {
		t.Errorf("share %.2f because of %s, want leaving %v because of %s", p.Share, p.Cause, leaves, cause)
	}
	for _, zone := range []string{"a", "b", "c"} {
		if want := strings.Contains(strings.Join(targets, ""), zone); p.HasRoom(zone) != want {
			t.Errorf("zone %s has room: %v, want %v", zone, p.HasRoom(zone), want)
		}
	}
}

func assertNoPlan(t *testing.T, f *fixture) {
	t.Helper()
	if plans := (&zonequery.Queries{Tables: f.Tables}).Plans(); len(plans) > 0 {
		t.Errorf("plans are %+v, want none", plans)
	}
}

// assertLogged checks that the causes of the logged changes are those given, in this order.
func assertLogged(t *testing.T, f *fixture, causes ...string) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(f.log.String()), "\n")
	if len(lines) != len(causes) {
		t.Fatalf("%d changes were logged, want %d:\n%s", len(lines), len(causes), f.log.String())
	}
	for n, cause := range causes {
		if !strings.Contains(lines[n], `"cause":"`+cause+`"`) {
			t.Errorf("change %d is %s, want cause %s", n, lines[n], cause)
		}
	}
}

// Guards against plans that ignore surges, lost contact, lost servers or the settings, and against changes that operators
// do not see.
func TestStep(t *testing.T) {
	others := entryHosts[1:]
	t.Run("a surge leaves and returns", func(t *testing.T) {
		f := newFixture(enabled())
		f.run(time.Second, others, 10)
		assertPlan(t, f, zoneshare.Home, false, "b", "c")
		f.setDemand(60)
		f.run(3*time.Second, others, 10)
		assertPlan(t, f, zoneshare.Demand, true, "b", "c")
		f.setDemand(10)
		f.run(5*time.Second, others, 10)
		assertPlan(t, f, zoneshare.Home, false, "b", "c")
		assertLogged(t, f, "demand", "home")
	})
	// Guards against servers that nobody uses after the entry hosts of their zone were killed: while the callers of that zone
	// were not served, the others kept their requests at home, and less than the floor of the service was in use.
	t.Run("while no host of a zone is heard, all servers are used without a plan", func(t *testing.T) {
		f := newFixture(enabled())
		f.run(time.Second, others, 10)
		f.run(MaxSilence+2*StepInterval, others[:1], 10)
		assertNoPlan(t, f)
		f.run(2*StepInterval, others, 10)
		assertPlan(t, f, zoneshare.Home, false, "b", "c")
	})
	t.Run("the servers of a zone without entry hosts are used without a plan", func(t *testing.T) {
		f := newFixture(enabled())
		f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
			b.Services[service]["s0"].Server.AvailabilityZone = "d"
		})
		f.run(time.Second, others, 10)
		assertNoPlan(t, f)
	})
	t.Run("a node that hears of no other zone serves at home", func(t *testing.T) {
		f := newFixture(enabled())
		f.run(time.Second, others, 10)
		f.setDemand(60)
		f.run(3*time.Second, nil, 0)
		assertPlan(t, f, zoneshare.CutOff, false)
	})
	t.Run("no server at home", func(t *testing.T) {
		f := newFixture(enabled())
		f.leaveZone("a")
		f.run(StepInterval, others, 10)
		assertPlan(t, f, zoneshare.NoServers, true, "b", "c")
	})
	t.Run("disabled", func(t *testing.T) {
		f := newFixture(Settings{})
		f.run(time.Second, others, 10)
		assertNoPlan(t, f)
	})
	t.Run("no entry host", func(t *testing.T) {
		f := newFixture(enabled())
		f.run(time.Second, others, 10)
		f.Step(f.now, self, others)
		assertNoPlan(t, f)
	})
	t.Run("one zone", func(t *testing.T) {
		f := newFixture(enabled())
		f.leaveZone("b")
		f.leaveZone("c")
		f.Step(f.now, self, entryHosts[:1])
		assertNoPlan(t, f)
	})
}

// Guards against reports that arrive late and replace newer ones, and against those of an earlier run of a host.
func TestObserveReport(t *testing.T) {
	f := newFixture(enabled())
	for _, r := range []table.ZoneReport{
		{Incarnation: 2, Sequence: 5}, {Incarnation: 2, Sequence: 4}, {Incarnation: 1, Sequence: 9},
	} {
		f.ObserveReport("b1", r)
	}
	f.Tables.Zones.Read(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		if got := z.Reports["b1"]; got.Incarnation != 2 || got.Sequence != 5 {
			t.Errorf("kept report %+v, want incarnation 2 and sequence 5", got)
		}
	})
}
