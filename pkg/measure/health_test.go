package measure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthquery"
)

const (
	requestsPerSecond = 6
	detectionTarget   = 2 * time.Second
	trials            = 100
	// noisy and usual are failure rates of healthy servers.
	noisy = 0.02
	usual = 0.005
)

// deployment is one of the two deployments of section 1.1 of the design page. The group has four members.
type deployment struct {
	name       string
	zones      []string
	preference fleet.Preference
	services   map[string]int
}

var deployments = []deployment{
	{"tulpar", []string{"a", "b", "c", "a"}, fleet.FewerFalseEjections,
		map[string]int{"ledger-view": 10, "rental-desk": 20, "survey-vault": 6}},
	{"bayspace", []string{"a", "b", "c", "d"}, fleet.FasterDetection,
		map[string]int{"spotfinder": 10, "bookdesk": 20, "ledgerdrop": 8}},
}

func scenario(d deployment, name string, fault Fault, seed uint64) Scenario {
	servers := d.services[name]
	s := fleet.Service{Name: name, Preference: d.preference, Floor: (servers + 1) / 2, ColdStart: 10 * time.Second}
	zones := slices.Compact(slices.Sorted(slices.Values(d.zones)))
	for i := range servers {
		s.BackendServers = append(s.BackendServers, fleet.BackendServer{
			Address: fmt.Sprintf("10.0.0.%d:80", i+1), AvailabilityZone: zones[i%len(zones)], Slots: 6,
		})
	}
	return Scenario{
		Service: s, Zones: d.zones, Rate: requestsPerSecond, Noise: noisy, Fault: fault, FaultAt: 5 * time.Second,
		Length: 25 * time.Second, ReportEvery: healthquery.MinReportInterval, BeatEvery: member.HeartbeatInterval, Seed: seed, New: NewMember,
	}
}

// detections runs the scenario with several seeds. A fault that was not found counts with the rest of the simulated time.
func detections(s Scenario) (first, all *hdrhistogram.Histogram, ejections int) {
	first = hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
	all = hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
	for seed := range uint64(trials) {
		s.Seed = seed + 1
		r := RunHealth(s)
		_ = first.RecordValue(foundAfter(s, r.First))
		_ = all.RecordValue(foundAfter(s, r.All))
		ejections += r.False
	}
	return first, all, ejections
}

func foundAfter(s Scenario, d time.Duration) int64 {
	if d < 0 {
		d = s.Length - s.FaultAt
	}
	return d.Milliseconds()
}

// Guards M1: a stall that health checks do not see is found within the target, whichever service it hits.
func TestHealthDetectionTime(t *testing.T) {
	for _, d := range deployments {
		d.preference = fleet.FasterDetection
		for name := range d.services {
			t.Run(d.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := scenario(d, name, Stall, 0)
				// What is not found in the 5 s after the fault misses the target.
				s.Length = 10 * time.Second
				first, _, _ := detections(s)
				assertBelow(t, first, 99, detectionTarget)
			})
		}
	}
}

// Guards M2: an hour of healthy traffic with 2% failures ejects nothing.
func TestHealthFalseEjections(t *testing.T) {
	for _, d := range deployments {
		d.preference = fleet.FewerFalseEjections
		for name := range d.services {
			t.Run(d.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := scenario(d, name, NoFault, 1)
				s.Length = time.Hour
				assertNone(t, RunHealth(s).False)
			})
		}
	}
}

// Guards against ejections from a pool that becomes slow as a whole, which has no outlier.
func TestHealthSlowPool(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			d.preference = fleet.FewerFalseEjections
			for seed := range uint64(5) {
				for name := range d.services {
					assertNone(t, RunHealth(scenario(d, name, SlowPool, seed)).False)
				}
			}
		})
	}
}

func assertBelow(t *testing.T, h *hdrhistogram.Histogram, percentile float64, limit time.Duration) {
	t.Helper()
	got := time.Duration(h.ValueAtPercentile(percentile)) * time.Millisecond
	if got >= limit {
		t.Errorf("p%v is %s, target below %s", percentile, got, limit)
	}
}

func assertNone(t *testing.T, ejections int) {
	t.Helper()
	if ejections != 0 {
		t.Errorf("%d false ejections, target none", ejections)
	}
}

// TestHealthTable prints the figures of docs/decisions/002-detection.md when it runs verbosely.
func TestHealthTable(t *testing.T) {
	if !testing.Verbose() {
		return
	}
	for _, d := range deployments {
		for _, detector := range detectors {
			for _, fault := range []Fault{Stall, Errors, Partial, Slow, Flap, Crash, Partition, SlowPool, NoFault} {
				t.Run(fmt.Sprintf("%s/%s/%s", d.name, detector.name, fault), func(t *testing.T) {
					t.Parallel()
					row(t, d, detector, fault)
				})
			}
		}
	}
}

type namedDetector struct {
	name string
	new  func(Scenario) Detector
}

var detectors = []namedDetector{
	{"sequential", NewMember},
	{"5-in-a-row", NewConsecutive(5)},
	{"windowed", NewConsecutive(0)},
}

func row(t *testing.T, d deployment, n namedDetector, fault Fault) {
	t.Helper()
	largest := map[string]string{"tulpar": "rental-desk", "bayspace": "bookdesk"}[d.name]
	s := scenario(d, largest, fault, 1)
	s.New = n.new
	if fault == NoFault {
		s.Length = time.Hour
		noise := RunHealth(s).False
		s.Noise = usual
		t.Logf("false ejections in an hour: %d with noise of %v, %d with %v", noise, noisy, RunHealth(s).False, usual)
		return
	}
	first, all, ejections := detections(s)
	t.Logf("first member p50 %d ms, p99 %d ms; all members p50 %d ms, p99 %d ms; false ejections %d in %d runs of 25 s",
		first.ValueAtPercentile(50), first.ValueAtPercentile(99), all.ValueAtPercentile(50), all.ValueAtPercentile(99),
		ejections, trials)
}
