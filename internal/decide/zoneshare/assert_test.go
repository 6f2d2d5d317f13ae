package zoneshare

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func assertPlan(t *testing.T, p Plan, cause Cause, least, most float64) {
	t.Helper()
	if p.Cause != cause || p.Share < least-1e-9 || p.Share > most+1e-9 {
		t.Errorf("share is %.3f because of %s, want %.3f to %.3f because of %s", p.Share, p.Cause, least, most, cause)
	}
}

func assertRising(t *testing.T, p Plan, rising bool) {
	t.Helper()
	if p.Rising != rising {
		t.Errorf("rising is %v, want %v", p.Rising, rising)
	}
}

func assertOwnPart(t *testing.T, p Plan, want float64) {
	t.Helper()
	if math.Abs(p.OwnPart-want) > 1e-9 {
		t.Errorf("zone has %.3f of all slots, want %.3f", p.OwnPart, want)
	}
}

func assertTargets(t *testing.T, p Plan, zones ...string) {
	t.Helper()
	var got []string
	for _, target := range p.Targets {
		// Zones with hardly any room may be among the targets.
		if target.Weight > 0.05 {
			got = append(got, target.Zone)
		}
	}
	if !slices.Equal(got, zones) {
		t.Errorf("targets are %v, want %v", p.Targets, zones)
	}
}

// failer is the part of testing.T that rapid.T has too.
type failer interface {
	Fatalf(format string, args ...any)
}

func assertValid(t failer, p Plan) {
	var weights float64
	for _, target := range p.Targets {
		if target.Zone == p.Home || !(target.Weight >= 0) {
			t.Fatalf("target %+v is the own zone or has no valid weight", target)
		}
		weights += target.Weight
	}
	if len(p.Targets) > 0 && math.Abs(weights-1) > 1e-9 || !(p.Share >= 0 && p.Share <= 1) {
		t.Fatalf("weights sum to %v, share is %v", weights, p.Share)
	}
}

func assertWait(t *testing.T, c Costs, least, most time.Duration) {
	t.Helper()
	if wait := ToleratedWait(c); wait < least || wait > most {
		t.Errorf("tolerated wait is %v, want %v to %v", wait, least, most)
	}
}

// assertDirections checks the fractions of many requests that prefer each zone, and that waiting does not change them.
func assertDirections(t *testing.T, p *Plan, r Request, want map[string]float64) {
	t.Helper()
	const requests, tolerance = 10_000, 0.02
	got := map[string]float64{}
	for n := range requests {
		r.ID = fmt.Sprintf("request-%d", n)
		later := r
		later.Waited = time.Second
		d := Direct(p, r)
		if Direct(p, later).zone != d.zone {
			t.Fatalf("direction of %s changed while it waited", r.ID)
		}
		got[d.zone] += 1.0 / requests
	}
	for zone, fraction := range want {
		if math.Abs(got[zone]-fraction) > tolerance {
			t.Errorf("%.3f of the requests prefer zone %s, want %.3f", got[zone], zone, fraction)
		}
	}
}

func assertAllows(t *testing.T, p *Plan, r Request, zones ...string) {
	t.Helper()
	r.ID = "stays"
	for Direct(p, r).zone != p.Home {
		r.ID += "-"
	}
	d := Direct(p, r)
	for _, zone := range []string{"a", "b", "c", "d"} {
		if d.Allows(zone) != slices.Contains(zones, zone) {
			t.Errorf("zone %s allowed: %v, want %v of %v", zone, d.Allows(zone), zones, r)
		}
	}
}
