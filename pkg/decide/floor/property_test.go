package floor

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
)

// Guards requirement H1: ejections never leave fewer healthy servers in use than the floor, in the view of any member and
// in the union of all views, despite diverging views, lost reports, partitions, restarts and leaving servers.
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

// fleetModel holds the actual state of the servers and the view of each member.
type fleetModel struct {
	now        time.Time
	lastChange time.Time
	rule       Rule
	working    []bool
	leaving    []bool
	views      []*view
}

type view struct {
	zone        string
	pool        []Server
	cutOff      []bool
	lastSuccess []time.Time
	reports     map[string][]detect.Report
}

func newFleet(t *rapid.T) *fleetModel {
	n := rapid.IntRange(3, 12).Draw(t, "servers")
	f := &fleetModel{now: startTime, lastChange: startTime, working: make([]bool, n), leaving: make([]bool, n)}
	preference := rapid.SampledFrom([]fleet.Preference{fleet.FasterDetection, fleet.FewerFalseEjections}).Draw(t, "preference")
	f.rule = Rule{
		Floor:    rapid.IntRange(1, n-1).Draw(t, "floor"),
		Settings: detect.SettingsOf(fleet.Service{Preference: preference}),
	}
	for i := range f.working {
		f.working[i] = true
	}
	for i := range rapid.IntRange(2, 5).Draw(t, "members") {
		f.views = append(f.views, newView(fmt.Sprint("z", i%3), n))
	}
	return f
}

func newView(zone string, n int) *view {
	v := &view{zone: zone, cutOff: make([]bool, n), lastSuccess: make([]time.Time, n), reports: map[string][]detect.Report{}}
	v.pool = servers(n, "s", &detect.State{})
	return v
}

func (f *fleetModel) anyView(t *rapid.T) (int, *view) {
	i := rapid.IntRange(0, len(f.views)-1).Draw(t, "member")
	return i, f.views[i]
}

func (f *fleetModel) anyServer(t *rapid.T) int {
	return rapid.IntRange(0, len(f.working)-1).Draw(t, "server")
}

const trialTicket = "trial"

// traffic sends one request from every member to every server in use, and a trial request to ejected servers that are
// due.
func (f *fleetModel) traffic(t *rapid.T) {
	noise := rapid.IntRange(0, 99).Draw(t, "noise")
	for k, v := range f.views {
		for i := range v.pool {
			state := v.pool[i].State
			if detect.TrialDue(state, f.now) {
				detect.StartTrial(state, trialTicket)
			}
			if !detect.OutOfUse(state) || state.Ejection.TrialTicket == trialTicket {
				f.observe(v, i, (i*31+k*7+noise)%50 == 0)
			}
		}
	}
	f.now = f.now.Add(200 * time.Millisecond)
}

// burst sends several requests from one member to one server, which makes the views diverge.
func (f *fleetModel) burst(t *rapid.T) {
	_, v := f.anyView(t)
	i := f.anyServer(t)
	errors := rapid.IntRange(0, 8).Draw(t, "errors")
	for n := range 8 {
		f.observe(v, i, n < errors)
	}
}

func (f *fleetModel) observe(v *view, i int, noise bool) {
	sample := detect.Sample{Evidence: fleet.Succeeded, Ticket: v.pool[i].State.Ejection.TrialTicket}
	if !f.working[i] || v.cutOff[i] || noise {
		sample.Evidence = fleet.Failed
	} else {
		v.lastSuccess[i] = f.now
	}
	detect.Observe(v.pool[i].State, sample, detect.Baseline{}, f.rule.Settings, f.now)
}

// report sends the evidence of one member to the others. Each message may be lost.
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

// sweep runs one decision and checks that its ejections leave at least the floor of servers that served the member
// recently.
func (f *fleetModel) sweep(t *rapid.T, v *view) {
	for i := range v.pool {
		v.pool[i].Leaving = f.leaving[i]
	}
	c := Decide(v.pool, Member{AvailabilityZone: v.zone, Reports: v.reports}, f.rule, f.now)
	if n := f.recentlyWorking(v); len(c.Ejected) > 0 && n < f.rule.Floor {
		t.Fatalf("ejection of %v leaves %d servers with a recent success, floor %d", c.Ejected, n, f.rule.Floor)
	}
}

func (f *fleetModel) recentlyWorking(v *view) int {
	n := 0
	for i, s := range v.pool {
		recent := !v.lastSuccess[i].IsZero() && f.now.Sub(v.lastSuccess[i]) <= detect.MaxSuccessAge
		if recent && !detect.OutOfUse(s.State) && !f.leaving[i] {
			n++
		}
	}
	return n
}

func (f *fleetModel) fault(t *rapid.T) {
	i := f.anyServer(t)
	f.working[i] = !f.working[i]
	f.lastChange = f.now
}

func (f *fleetModel) partition(t *rapid.T) {
	_, v := f.anyView(t)
	for i := range v.cutOff {
		v.cutOff[i] = rapid.Bool().Draw(t, "cut")
	}
}

func (f *fleetModel) heal(t *rapid.T) {
	_, v := f.anyView(t)
	clear(v.cutOff)
}

func (f *fleetModel) leave(t *rapid.T) {
	i := f.anyServer(t)
	f.leaving[i] = !f.leaving[i]
	f.lastChange = f.now
}

func (f *fleetModel) restart(t *rapid.T) {
	i, v := f.anyView(t)
	f.views[i] = newView(v.zone, len(v.pool))
}

func (f *fleetModel) wait(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
}

// check compares the views with the actual state, once that has been stable for longer than a success counts as proof of
// health. A view without ejections cannot violate the floor.
func (f *fleetModel) check(t *rapid.T) {
	for _, v := range f.views {
		for range v.pool {
			f.sweep(t, v)
		}
	}
	if f.now.Sub(f.lastChange) <= detect.MaxSuccessAge {
		return
	}
	union := make([]bool, len(f.working))
	ejecting := 0
	for k, v := range f.views {
		usable, outOfUse := f.usable(v, union)
		if outOfUse > 0 {
			ejecting++
		}
		if outOfUse > 0 && usable < f.rule.Floor {
			t.Fatalf("view %d keeps %d working servers in use, floor %d, %d ejected", k, usable, f.rule.Floor, outOfUse)
		}
	}
	if n := countTrue(union); ejecting == len(f.views) && n < f.rule.Floor {
		t.Fatalf("the union keeps %d working servers in use, floor %d", n, f.rule.Floor)
	}
}

func (f *fleetModel) usable(v *view, union []bool) (usable, outOfUse int) {
	for i, s := range v.pool {
		switch {
		case f.leaving[i]:
		case detect.OutOfUse(s.State):
			outOfUse++
		case f.working[i]:
			usable++
			union[i] = true
		}
	}
	return usable, outOfUse
}

func countTrue(list []bool) int {
	n := 0
	for _, b := range list {
		if b {
			n++
		}
	}
	return n
}
