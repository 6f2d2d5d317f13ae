package quotacmd

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against hosts that accept parts of a limit which the others do not set aside: hosts that select themselves as entry
// hosts because they are cut off, and hosts to which callers are sent although they are no entry hosts. Both started with a
// full bucket. It also guards against parts of silent hosts that are spent because hosts in touch are used unevenly.
func TestBoundBesideUncountedHosts(t *testing.T) {
	const entryHosts, hosts = 4, 16
	all := []float64{1}
	for name, c := range map[string]struct {
		weights []float64
		disrupt func(f *testFleet)
	}{
		"alone": {all, func(f *testFleet) { f.split(0, 12, 13, 14, 15) }},
		"in groups": {all, func(f *testFleet) {
			for i, side := range map[int]int{0: 1, 12: 1, 13: 1, 14: 2, 15: 2} {
				f.Hosts[i].Side = side
			}
		}},
		"all entry hosts cut off together": {all, func(f *testFleet) {
			for _, h := range f.Hosts[:entryHosts] {
				h.Side = 1
			}
		}},
		"callers at hosts in touch that are no entry hosts": {[]float64{1, 0, 0, 0, 1}, func(f *testFleet) { f.split(0) }},
		"callers that move from host to host": {[]float64{1, 1, 0}, func(f *testFleet) {
			f.split(0)
			for i := 1; i < entryHosts; i++ {
				f.run(500 * time.Millisecond)
				f.Hosts[i].Demand, f.Hosts[i+1].Demand = 0, f.Hosts[i].Demand
			}
		}},
		"restarted beside the cut": {all, func(f *testFleet) {
			f.split(0, 12, 13)
			for _, i := range []int{1, 12, 14} {
				f.startHost(i, false)
			}
		}},
		"frozen before the cut and woken in it": {all, func(f *testFleet) {
			f.Hosts[0].Frozen, f.Hosts[12].Frozen = true, true
			f.run(2 * time.Second)
			f.split(0, 12, 13)
			f.Hosts[0].Frozen, f.Hosts[12].Frozen = false, false
		}},
		"cut off again and again": {all, func(f *testFleet) {
			for range 4 {
				f.split(0, 12, 13)
				f.run(1200 * time.Millisecond)
				for _, h := range f.Hosts {
					h.Side = 0
				}
				f.run(600 * time.Millisecond)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, rate := range []float64{2, 40, 323} {
				limit := fleet.Quota{RequestsPerSecond: rate, Burst: int(rate)}
				// All hosts were entry hosts before, or only those that are.
				former, selected := newTestFleet(hosts, limit, 1), newSelectedFleet(hosts, entryHosts, limit, 1)
				former.EntryHosts = entryHosts
				for _, f := range []*testFleet{former, selected} {
					f.run(12 * time.Second) // former entry hosts are not counted any more
					f.setDemand(10*rate, c.weights...)
					c.disrupt(f)
					f.run(6 * time.Second)
					t.Logf("rate %v: %d in a window, %.0f allowed", rate, f.worstWindow(window), allowed(f.Limit, window))
					assertBound(t, f)
				}
			}
		})
	}
}

// Guards against two sides of a partition that both use the parts of hosts which reach both of them.
func TestBoundBesideHostsThatReachBothSides(t *testing.T) {
	for name, weights := range map[string][]float64{
		"evenly": {1}, "at the two sides": {1, 1, 0}, "at one side and the hubs": {1, 0, 1}, "at the hubs": {0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, hubs := range []int{1, 4} {
				for _, rate := range []float64{2, 40, 323} {
					f := newTestFleet(2+hubs, fleet.Quota{RequestsPerSecond: rate, Burst: int(rate)}, 1)
					f.split(0)
					for _, h := range f.Hosts[2:] {
						h.Hub = true
					}
					f.run(3 * time.Second)
					f.setDemand(10*rate, weights...)
					f.run(8 * time.Second)
					t.Logf("%d hubs, rate %v: %d in a window, %.0f allowed", hubs, rate, f.worstWindow(window), allowed(f.Limit, window))
					assertBound(t, f)
				}
			}
		})
	}
}

// Guards against a fleet that refuses customers with a limit after the processes of all entry hosts have ended: the hosts that
// replace them presumed that those may still accept requests.
func TestEntryHostsReplacedAfterTheirEnd(t *testing.T) {
	f := newTestFleet(8, fleet.Quota{RequestsPerSecond: 40, Burst: 40}, 1)
	f.EntryHosts = 3
	f.run(12 * time.Second)
	f.setDemand(25, 0, 0, 0, 1)
	for _, h := range f.Hosts[:f.EntryHosts] {
		h.Up = false
		for _, other := range f.Hosts[f.EntryHosts:] {
			other.SetGone(h.ID)
		}
	}
	f.run(3 * time.Second)
	f.Accepted = nil
	f.run(5 * time.Second)
	is.New(t).True(len(f.Accepted) > 100)
}

// split cuts hosts off from all others.
func (f *testFleet) split(hosts ...int) {
	for _, i := range hosts {
		f.Hosts[i].Side = 1 + i
	}
}

// Guards against a fleet that refuses requests within a limit because they arrive at hosts that are no entry hosts.
func TestNoNeedlessRefusalsBesideEntryHosts(t *testing.T) {
	for _, rate := range []float64{2, 40, 323} {
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			f := newTestFleet(8, fleet.Quota{RequestsPerSecond: rate, Burst: int(rate)}, 1)
			f.EntryHosts = 3
			f.setDemand(rate/1.6, 1)
			f.run(time.Minute)
			assertNoNeedlessRefusals(t, f)
		})
	}
}

// Guards against hosts that answer reports with what they knew when they last decided: entry hosts set parts aside for hosts that
// had ceased to decide long before, until nothing was left for any host.
func TestOldKnowledgeIsNotPassedOn(t *testing.T) {
	f := newTestFleet(4, fleet.Quota{RequestsPerSecond: 40, Burst: 40}, 1)
	f.EntryHosts = 2
	f.run(20 * time.Second)
	const sequence = 1_000_000 // above those of earlier reports
	section := f.Hosts[3].Answer(f.Now, f.Hosts[0].ID, sequence)
	for _, o := range section.Others {
		if !o.Presumed {
			t.Errorf("a host that does not decide names %s as one that does", o.ID)
		}
	}
	is.New(t).Equal(section.Part, 0.0)
}
