package dispatchcmd

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/zoneshare"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// newZoneFixture returns a dispatcher in zone a, of which it is the only node, over four servers with two slots each: two
// in zone a, and one in each of zones b and c.
func newZoneFixture(p zoneshare.Plan) *fixture {
	f := newFixture(16, 4)
	f.AvailabilityZone = "a"
	f.SetSharing(Sharing{Nodes: 3, NodesInZone: 1})
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for n, zone := range []string{"a", "a", "b", "c"} {
			b.Services[service][fmt.Sprint("s", n)].Server.AvailabilityZone = zone
		}
	})
	f.Tables.Zones.Write(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		z.Services[service] = &table.ZoneService{Plan: &p}
	})
	return f
}

// send sends the given number of requests at the same time and returns the number at each zone.
func (f *fixture) send(requests int, change func(*table.Ticket)) map[string]int {
	tickets := make([]*table.Ticket, requests)
	for n := range tickets {
		tickets[n] = f.ticket("t", 10*time.Second, &fakeRunner{})
		tickets[n].ID = fmt.Sprintf("request-%d", n)
		change(tickets[n])
	}
	wait := f.start(tickets...)
	synctest.Wait()
	byZone := map[string]int{}
	f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for _, s := range b.Services[service] {
			byZone[s.Server.AvailabilityZone] += s.Outstanding
		}
	})
	wait()
	f.Close()
	return byZone
}

func assertByZone(t *testing.T, got map[string]int, want map[string]int) {
	t.Helper()
	maps.DeleteFunc(got, func(_ string, n int) bool { return n == 0 })
	if !maps.Equal(got, want) {
		t.Errorf("requests went to zones %v, want %v", got, want)
	}
}

// Guards against plans that dispatch does not follow: requests that leave while their zone has slots, that wait although
// they may leave, and that go to a zone without room; and against preferences that keep sound servers out of use while
// requests are lost.
func TestZonePlan(t *testing.T) {
	same := func(*table.Ticket) {}
	waited := func(t *table.Ticket) { t.Arrived = t.Arrived.Add(-time.Millisecond) }
	roomInB := zoneshare.Plan{
		Home: "a", Cause: zoneshare.Home, Wait: 10 * time.Millisecond, Targets: []zoneshare.Target{{Zone: "b", Weight: 1, SlotFraction: 1}},
	}
	rising := roomInB
	rising.Share, rising.Rising, rising.Cause = 0.2, true, zoneshare.Demand
	none := zoneshare.Plan{Home: "a", Cause: zoneshare.CutOff}
	for _, c := range []struct {
		Name     string
		Plan     zoneshare.Plan
		Requests int
		Change   func(*table.Ticket)
		Want     map[string]int
	}{
		{"free slots at home", roomInB, 4, same, map[string]int{"a": 4}},
		{"no slot at home and the share is settled", roomInB, 6, same, map[string]int{"a": 4}},
		{"no slot at home and the share rises", rising, 6, same, map[string]int{"a": 4, "b": 2}},
		{"no zone with room", none, 6, same, map[string]int{"a": 4}},
		{"repeat", none, 6, func(t *table.Ticket) { t.Attempt = 1 }, map[string]int{"a": 4, "b": 1, "c": 1}},
		{"no usable server at home", zoneshare.Plan{
			Home: "a", Share: 1, Cause: zoneshare.NoServers, Targets: []zoneshare.Target{{Zone: "c", Weight: 1, SlotFraction: 1}},
		}, 2, same, map[string]int{"c": 2}},
		{"all zones are full", zoneshare.Plan{Home: "a", Cause: zoneshare.Full, OwnPart: 1.0 / 3}, 8, waited, map[string]int{"a": 2, "b": 1, "c": 1}},
		{"all zones are full but others need little", zoneshare.Plan{Home: "a", Cause: zoneshare.Full, OwnPart: 1}, 8, waited, map[string]int{"a": 4, "b": 2, "c": 2}},
		{"large responses and no slot at home", rising, 6, func(t *table.Ticket) { t.Bulk = true }, map[string]int{"a": 4, "b": 2}},
	} {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assertByZone(t, newZoneFixture(c.Plan).send(c.Requests, c.Change), c.Want)
			})
		})
	}
	t.Run("a service that loses requests uses all servers", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newZoneFixture(none)
			f.loseRequests()
			got := slices.Sorted(maps.Keys(f.send(4, same)))
			if !slices.Equal(got, []string{"a", "b", "c"}) {
				t.Errorf("requests went to zones %v, want all", got)
			}
		})
	})
}

// loseRequests makes the loss of the service high.
func (f *fixture) loseRequests() {
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		b.Health[service].Ended, b.Health[service].Unserved, b.Health[service].CountedAt = 100, 20, time.Now()
	})
}

// Guards against refusals although servers have free slots: if limits fell when a service begins to lose requests, those in
// flight would count as a backlog.
func TestZoneLimitsAtHighLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZoneFixture(zoneshare.Plan{Home: "a", Cause: zoneshare.Home})
		defer f.Close()
		f.roundTrip(f.ticket("t", 10*time.Second, &fakeRunner{}))
		wait := f.start(f.tickets(4)...)
		f.loseRequests()
		fast := map[string]time.Duration{"s2": time.Millisecond, "s3": time.Millisecond}
		r := f.roundTrip(f.ticket("t", 40*time.Millisecond, &fakeRunner{Durations: fast}))
		is.New(t).Equal(r.Outcome, fleet.Answered)
		wait()
	})
}

// Guards against servers of other zones that stay unused for long after a failure, because while servers are scarce the
// trials of all nodes are needed, and against trials that cross zones in calm.
func TestZoneTrials(t *testing.T) {
	same := func(*table.Ticket) {}
	for _, c := range []struct {
		Name     string
		Requests int
		Want     map[string]int
	}{
		{"calm", 1, map[string]int{"a": 1}},
		{"servers are scarce", 6, map[string]int{"a": 4, "c": 1}},
	} {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZoneFixture(zoneshare.Plan{Home: "a", Cause: zoneshare.Demand})
				f.recordFastFailure("s3", 10*time.Second)
				assertByZone(t, f.send(c.Requests, same), c.Want)
			})
		})
	}
}

// Guards against traffic between zones that operators do not see, and against a mean size that the plan lacks.
func TestRecordZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZoneFixture(zoneshare.Plan{Home: "a", Cause: zoneshare.Home})
		size := table.Result{Evidence: "succeeded", Sent: true, Response: true, Status: 200, Bytes: 3200}
		defer f.Close()
		f.roundTrip(f.ticket("t", time.Second, &fakeRunner{Results: map[string]table.Result{"s0": size, "s1": size}}))
		f.Tables.Zones.Read(guard.Held{}, func(_ guard.Held, z *table.Zones) {
			got := z.Crossed[table.ZoneCrossing{Service: service, From: "a", To: "a"}]
			if got != (table.CrossedTraffic{Requests: 1, Bytes: 3200}) || z.Services[service].MeanBytes != 100 {
				t.Errorf("recorded %+v and a mean size of %v", got, z.Services[service].MeanBytes)
			}
		})
	})
}
