package zoneshare

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const home = 0

// zoneWith returns a zone with an entry host. Its servers are usable from everywhere.
func zoneWith(name string, demand, slots float64) Zone {
	return Zone{Name: name, Load: Load{Demand: demand, Slots: slots}, ReachableSlots: slots, Hosts: 1}
}

func testCosts() Costs {
	return Costs{
		Crossing: 3 * time.Millisecond, TransferCost: time.Second, MeanBytes: 10_000, ServiceTime: 300 * time.Millisecond,
		Target: time.Second,
	}
}

// Guards against requests that leave although their zone answers in time, that stay although it does not, and that go to
// zones which need their own slots.
func TestWant(t *testing.T) {
	busy, calm := zoneWith("a", 60, 40), zoneWith("b", 10, 40)
	t.Run("zone with free slots keeps its requests", func(t *testing.T) {
		assertPlan(t, Want([]Zone{zoneWith("a", 20, 40), calm}, home, 40, testCosts()), Home, 0, 0)
	})
	t.Run("excess leaves for the zone with room", func(t *testing.T) {
		p := Want([]Zone{busy, calm, zoneWith("c", 39, 40)}, home, 40, testCosts())
		assertPlan(t, p, Demand, 0.2, 0.5)
		assertTargets(t, p, "b")
	})
	t.Run("zone that lost servers is left and not filled", func(t *testing.T) {
		damaged := zoneWith("c", 26, 20)
		p := Want([]Zone{damaged, calm, zoneWith("a", 60, 40)}, home, 40, testCosts())
		assertPlan(t, p, Servers, 0.2, 0.6)
		assertTargets(t, p, "b")
		assertTargets(t, Want([]Zone{zoneWith("a", 60, 40), calm, damaged}, home, 40, testCosts()), "b")
	})
	t.Run("only another zone has the service", func(t *testing.T) {
		p := Want([]Zone{zoneWith("a", 10, 0), calm}, home, 0, testCosts())
		assertPlan(t, p, NoServers, 1, 1)
		assertTargets(t, p, "b")
	})
	t.Run("zone that is cut off serves at home", func(t *testing.T) {
		unknown := calm
		unknown.Unknown = true
		p := Want([]Zone{busy, unknown}, home, 40, testCosts())
		assertPlan(t, p, CutOff, 0, 0)
		assertTargets(t, p)
		assertAllows(t, &p, Request{Waited: time.Second, Target: time.Second}, "a")
	})
	t.Run("all zones are full", func(t *testing.T) {
		p := Want([]Zone{zoneWith("a", 90, 40), zoneWith("b", 90, 40)}, home, 40, testCosts())
		assertPlan(t, p, Full, 0, 0)
		assertOwnPart(t, p, 0.5)
		assertOwnPart(t, Want([]Zone{zoneWith("a", 90, 40), zoneWith("b", 8, 40)}, home, 40, testCosts()), 0.9)
	})
	t.Run("servers that only other zones can reach are left to them", func(t *testing.T) {
		unreachable := calm
		unreachable.ReachableSlots = 0
		assertTargets(t, Want([]Zone{busy, unreachable, zoneWith("c", 10, 40)}, home, 40, testCosts()), "c")
	})
}

// Guards against excesses of several zones that together overfill a zone, although each plan fits by itself.
func TestPlansFitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := make([]Zone, rapid.IntRange(2, 5).Draw(t, "zones"))
		for n := range zones {
			zones[n] = zoneWith(fmt.Sprint(n), rapid.Float64Range(0, 100).Draw(t, "demand"), float64(rapid.IntRange(0, 60).Draw(t, "slots")))
		}
		inflow := map[string]float64{}
		for n, z := range zones {
			p := Want(zones, n, z.Slots, testCosts())
			assertValid(t, p)
			if p.Cause == NoServers || p.Cause == Full {
				return // these requests have no better place
			}
			b := balance{ServiceTime: testCosts().ServiceTime, Wait: p.Wait}
			kept := b.capacity(z, z.Slots)
			for _, target := range p.Targets {
				inflow[target.Zone] += p.Share / (1 - p.Share) * kept * target.Weight
			}
		}
		for _, z := range zones {
			if z.Demand+inflow[z.Name] > max(z.Demand, z.Slots)+1e-6 {
				t.Fatalf("zone %s with %.1f slots gets %.1f and %.1f of its own", z.Name, z.Slots, inflow[z.Name], z.Demand)
			}
		}
	})
}

// Guards against a share that jumps, that moves with the noise of the demand, or that never returns to zero.
func TestStep(t *testing.T) {
	const step = 200 * time.Millisecond
	wanted := Plan{Home: "a", Share: 0.5, Cause: Demand}
	t.Run("rise and fall are bounded", func(t *testing.T) {
		p := Step(Plan{Home: "a", Cause: Home}, wanted, step)
		assertPlan(t, p, Demand, maxRisePerSecond*step.Seconds(), maxRisePerSecond*step.Seconds())
		assertRising(t, p, true)
		p = Step(wanted, Plan{Home: "a", Cause: Home}, step)
		assertPlan(t, p, Demand, 0.5-maxFallPerSecond*step.Seconds(), 0.5-maxFallPerSecond*step.Seconds())
		assertRising(t, p, false)
	})
	t.Run("nothing moves within the band", func(t *testing.T) {
		assertPlan(t, Step(wanted, Plan{Home: "a", Share: 0.5 + holdBand/2, Cause: Demand}, step), Demand, 0.5, 0.5)
	})
	t.Run("a small share does not start", func(t *testing.T) {
		assertPlan(t, Step(Plan{Cause: Home}, Plan{Share: minStartShare / 2, Cause: Demand}, step), Home, 0, 0)
	})
	t.Run("the share returns to zero", func(t *testing.T) {
		p := wanted
		for range 6 {
			p = Step(p, Plan{Home: "a", Cause: Home}, step)
		}
		assertPlan(t, p, Home, 0, 0)
	})
	t.Run("a zone without servers is left at once", func(t *testing.T) {
		assertPlan(t, Step(Plan{Cause: Home}, Plan{Share: 1, Cause: NoServers}, step), NoServers, 1, 1)
	})
	t.Run("a paused host does not jump", func(t *testing.T) {
		assertPlan(t, Step(wanted, Plan{Cause: Home}, time.Hour), Home, 0, 0)
	})
}

// Guards against a transfer cost that makes responses late, and against zones that are left for less than the crossing
// takes.
func TestToleratedWait(t *testing.T) {
	c := testCosts()
	assertWait(t, c, 12*time.Millisecond, 13*time.Millisecond)
	c.MeanBytes = 100 << 20
	assertWait(t, c, 70*time.Millisecond, 70*time.Millisecond)
	c.Target = c.ServiceTime
	assertWait(t, c, c.Crossing, c.Crossing)
}

// Guards against requests that change their direction while they wait, against shares that are not kept, and against
// large responses and first attempts that go where they should not.
func TestDirect(t *testing.T) {
	plan := &Plan{
		Home: "a", Share: 0.4, Cause: Demand, Targets: []Target{{Zone: "b", Weight: 0.75}, {Zone: "c", Weight: 0.25}},
		Wait: 10 * time.Millisecond,
	}
	small := Request{Target: time.Second}
	t.Run("the share is kept and divided by weight", func(t *testing.T) {
		assertDirections(t, plan, small, map[string]float64{"a": 0.6, "b": 0.3, "c": 0.1})
	})
	t.Run("large responses stay", func(t *testing.T) {
		assertDirections(t, plan, Request{Large: true, Target: time.Second}, map[string]float64{"a": 1})
	})
	t.Run("a trickle leaves in calm", func(t *testing.T) {
		calm := &Plan{Home: "a", Cause: Home, Targets: plan.Targets}
		assertDirections(t, calm, small, map[string]float64{"a": 1 - trickleShare})
	})
	t.Run("zones with room are open to requests that waited", func(t *testing.T) {
		large := Request{Large: true, Target: time.Second}
		assertAllows(t, plan, large, "a")
		large.Waited = 50 * time.Millisecond
		assertAllows(t, plan, large, "a", "b", "c")
	})
	t.Run("zones without room are open to repeats and to requests that may be late", func(t *testing.T) {
		assertAllows(t, plan, Request{Attempt: 1, Target: time.Second}, "a", "b", "c", "d")
		assertAllows(t, plan, Request{Waited: 300 * time.Millisecond, Target: time.Second}, "a", "b", "c", "d")
	})
}
