package measure

import (
	"testing"
	"time"
)

// zonePlays is the number of plays of a load, with seeds from 1.
const zonePlays = 10

// Guards against a share that lets requests wait in a busy zone while others have room, that leaves the zone in calm, or
// that swings. -v prints the figures of docs/design/zones.md.
func TestZones(t *testing.T) {
	ways := []struct {
		Name string
		Way  ZoneWay
	}{
		{"never leave", NeverLeave}, {"always spread", AlwaysSpread}, {"threshold on places", ThresholdOnPlaces},
		{"ratio of capacity", RatioOfCapacity}, {"waits level", WaitsLevel},
	}
	for _, load := range ZoneLoads() {
		t.Run(load.Name, func(t *testing.T) {
			results := map[string]ZoneResult{}
			for _, w := range ways {
				var r ZoneResult
				for seed := uint64(1); seed <= zonePlays; seed++ {
					r.Add(RunZones(load, w.Way, seed))
				}
				results[w.Name] = r
				t.Logf("%-20s late %.2f%% refused %.2f%% crossed %.1f%% %.1f MB level after %v swings %.1f", w.Name,
					100*r.Fraction(r.Late), 100*r.Fraction(r.Refused), 100*r.Fraction(r.Crossed),
					float64(r.CrossedBytes)/1e6/zonePlays, r.UntilLevel/zonePlays, float64(r.Swings)/zonePlays)
			}
			assertZones(t, load, results["waits level"], results["always spread"])
		})
	}
}

// assertZones fails if callers get less than with the slots of all zones as one pool, which always spreading is. It also
// fails if more leaves than the zones lack slots, if it takes over two seconds until the waits are level, or if the
// share changes its direction more often than there and back and once more.
func assertZones(t *testing.T, load ZoneLoad, got, spread ZoneResult) {
	t.Helper()
	const tolerance, maxUntilLevel, maxSwings = 0.01, 2 * time.Second, 2
	if late := got.Fraction(got.Late + got.Refused); late > spread.Fraction(spread.Late+spread.Refused)+tolerance {
		t.Errorf("%.4f of the requests were late or refused, want at most %.4f more than with all zones as one", late, tolerance)
	}
	if crossed, excess := got.Fraction(got.Crossed), excessDemand(load); crossed > 1.25*excess+0.02 {
		t.Errorf("%.4f of the requests left their zone, want about the %.4f for which it has no slots", crossed, excess)
	}
	if load.Onset > 0 && got.UntilLevel > maxUntilLevel*zonePlays {
		t.Errorf("waits were level after %v on average, want at most %v", got.UntilLevel/zonePlays, maxUntilLevel)
	}
	if got.Swings > maxSwings*zonePlays {
		t.Errorf("share swung %d times in %d plays, want at most %d in each", got.Swings, zonePlays, maxSwings)
	}
}

// excessDemand returns the fraction of the demand that exceeds what a zone's slots can serve without long waits.
func excessDemand(load ZoneLoad) float64 {
	const usable = 0.8
	var excess, demand float64
	for at := time.Duration(0); at < load.Duration; at += zoneTick {
		for zone := range zoneCount {
			demand += load.Demand(zone, at)
			excess += max(0, load.Demand(zone, at)-usable*load.Slots(zone, at))
		}
	}
	return excess / demand
}
