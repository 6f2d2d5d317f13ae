package floor

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
)

// Guards H1: with diverging views, lost reports, partitions, restarts and leaving servers, no view and not the union of
// the views keeps fewer healthy servers in use than the floor because of ejections.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"traffic":   f.traffic,
			"burst":     f.burst,
			"report":    f.report,
			"sweep":     f.sweepOne,
			"fault":     f.fault,
			"partition": f.partition,
			"heal":      f.heal,
			"leave":     f.leave,
			"restart":   f.restart,
			"wait":      f.wait,
			"":          f.check,
		})
	})
}

// fleetModel is the truth about the servers, and the view of each member.
type fleetModel struct {
	now     time.Time
	changed time.Time
	rule    Rule
	works   []bool
	leaving []bool
	views   []*view
}

type view struct {
	zone    string
	pool    []Server
	cut     []bool
	success []time.Time
	reports map[string][]detect.Report
}

func newFleet(t *rapid.T) *fleetModel {
	n := rapid.IntRange(3, 12).Draw(t, "servers")
	f := &fleetModel{now: start, changed: start, works: make([]bool, n), leaving: make([]bool, n)}
	preference := rapid.SampledFrom([]fleet.Preference{fleet.FasterDetection, fleet.FewerFalseEjections}).Draw(t, "preference")
	f.rule = Rule{
		Floor:    rapid.IntRange(1, n-1).Draw(t, "floor"),
		Settings: detect.SettingsOf(fleet.Service{Preference: preference}),
	}
	for i := range f.works {
		f.works[i] = true
	}
	for i := range rapid.IntRange(2, 5).Draw(t, "members") {
		f.views = append(f.views, newView(fmt.Sprint("z", i%3), n))
	}
	return f
}

func newView(zone string, n int) *view {
	v := &view{zone: zone, cut: make([]bool, n), success: make([]time.Time, n), reports: map[string][]detect.Report{}}
	v.pool = servers(n, "s", &detect.State{})
	return v
}

func (f *fleetModel) anyView(t *rapid.T) (int, *view) {
	i := rapid.IntRange(0, len(f.views)-1).Draw(t, "member")
	return i, f.views[i]
}

func (f *fleetModel) anyServer(t *rapid.T) int {
	return rapid.IntRange(0, len(f.works)-1).Draw(t, "server")
}

const trial = "trial"

// traffic sends one request from every member to every server in use, and a trial request to those that are due.
func (f *fleetModel) traffic(t *rapid.T) {
	noise := rapid.IntRange(0, 99).Draw(t, "noise")
	for k, v := range f.views {
		for i := range v.pool {
			state := v.pool[i].State
			if detect.TrialDue(state, f.now) {
				detect.StartTrial(state, trial)
			}
			if !detect.Out(state) || state.Ejection.Trial == trial {
				f.observe(v, i, (i*31+k*7+noise)%50 == 0)
			}
		}
	}
	f.now = f.now.Add(200 * time.Millisecond)
}

// burst sends several requests from one member to one server, so that views diverge.
func (f *fleetModel) burst(t *rapid.T) {
	_, v := f.anyView(t)
	i := f.anyServer(t)
	errors := rapid.IntRange(0, 8).Draw(t, "errors")
	for n := range 8 {
		f.observe(v, i, n < errors)
	}
}

func (f *fleetModel) observe(v *view, i int, noise bool) {
	x := detect.Sample{Evidence: fleet.Succeeded, Ticket: v.pool[i].State.Ejection.Trial}
	if !f.works[i] || v.cut[i] || noise {
		x.Evidence = fleet.Failed
	} else {
		v.success[i] = f.now
	}
	detect.Observe(v.pool[i].State, x, detect.Baseline{}, f.rule.Settings, f.now)
}

// report sends the sums of one member to the others. Each message may be lost.
func (f *fleetModel) report(t *rapid.T) {
	k, from := f.anyView(t)
	for j, to := range f.views {
		if j == k || rapid.Bool().Draw(t, "lost") {
			continue
		}
		for _, s := range from.pool {
			r := detect.Report{
				Member: fmt.Sprint(k), AvailabilityZone: from.zone, Excess: s.State.Sum, LastFailure: s.State.LastFailure,
			}
			to.reports[s.Address] = append(to.reports[s.Address], r)
		}
	}
}

func (f *fleetModel) sweepOne(t *rapid.T) {
	_, v := f.anyView(t)
	f.sweep(t, v)
}

// sweep decides once and checks that the ejections made leave the floor of servers that the member saw work recently.
func (f *fleetModel) sweep(t *rapid.T, v *view) {
	for i := range v.pool {
		v.pool[i].Leaving = f.leaving[i]
	}
	c := Decide(v.pool, Member{AvailabilityZone: v.zone, Reports: v.reports}, f.rule, f.now)
	if n := f.seenWorking(v); len(c.Ejected) > 0 && n < f.rule.Floor {
		t.Fatalf("ejection of %v leaves %d servers that were seen to work, floor %d", c.Ejected, n, f.rule.Floor)
	}
}

func (f *fleetModel) seenWorking(v *view) int {
	n := 0
	for i, s := range v.pool {
		recent := !v.success[i].IsZero() && f.now.Sub(v.success[i]) <= detect.RecentSuccess
		if recent && !detect.Out(s.State) && !f.leaving[i] {
			n++
		}
	}
	return n
}

func (f *fleetModel) fault(t *rapid.T) {
	i := f.anyServer(t)
	f.works[i] = !f.works[i]
	f.changed = f.now
}

func (f *fleetModel) partition(t *rapid.T) {
	_, v := f.anyView(t)
	for i := range v.cut {
		v.cut[i] = rapid.Bool().Draw(t, "cut")
	}
}

func (f *fleetModel) heal(t *rapid.T) {
	_, v := f.anyView(t)
	clear(v.cut)
}

func (f *fleetModel) leave(t *rapid.T) {
	i := f.anyServer(t)
	f.leaving[i] = !f.leaving[i]
	f.changed = f.now
}

func (f *fleetModel) restart(t *rapid.T) {
	i, v := f.anyView(t)
	f.views[i] = newView(v.zone, len(v.pool))
}

func (f *fleetModel) wait(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
}

// check compares with the truth, once it has been stable for as long as a success proves that a server works. A view
// without ejections is never at fault.
func (f *fleetModel) check(t *rapid.T) {
	for _, v := range f.views {
		for range v.pool {
			f.sweep(t, v)
		}
	}
	if f.now.Sub(f.changed) <= detect.RecentSuccess {
		return
	}
	union := make([]bool, len(f.works))
	ejecting := 0
	for k, v := range f.views {
		usable, out := f.usable(v, union)
		if out > 0 {
			ejecting++
		}
		if out > 0 && usable < f.rule.Floor {
			t.Fatalf("view %d keeps %d working servers in use, floor %d, %d ejected", k, usable, f.rule.Floor, out)
		}
	}
	if n := sum(union); ejecting == len(f.views) && n < f.rule.Floor {
		t.Fatalf("the union keeps %d working servers in use, floor %d", n, f.rule.Floor)
	}
}

func (f *fleetModel) usable(v *view, union []bool) (usable, out int) {
	for i, s := range v.pool {
		switch {
		case f.leaving[i]:
		case detect.Out(s.State):
			out++
		case f.works[i]:
			usable++
			union[i] = true
		}
	}
	return usable, out
}

func sum(list []bool) int {
	n := 0
	for _, b := range list {
		if b {
			n++
		}
	}
	return n
}
