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
	// requestsPerSecond is the request rate for each server of the pool.
	requestsPerSecond    = 6
	detectionDelayTarget = 2 * time.Second
	trialsPerFault       = 100
	// highFailureRate and usualFailureRate are failure rates of healthy servers.
	highFailureRate  = 0.02
	usualFailureRate = 0.005
)

// deployment is one of the two deployments of section 1.1 of the design page. Its service group has four members, one per
// element of zones, and services holds the number of backend servers by service name.
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

func newScenario(d deployment, name string, fault Fault, seed uint64) Scenario {
	servers := d.services[name]
	s := fleet.Service{Name: name, Preference: d.preference, Floor: (servers + 1) / 2, ColdStart: 10 * time.Second}
	zones := slices.Compact(slices.Sorted(slices.Values(d.zones)))
	for i := range servers {
		s.BackendServers = append(s.BackendServers, fleet.BackendServer{
			Address: fmt.Sprintf("10.0.0.%d:80", i+1), AvailabilityZone: zones[i%len(zones)], Slots: 6,
		})
	}
	return Scenario{
		Service: s, Zones: d.zones, RequestRate: requestsPerSecond, HealthyFailureRate: highFailureRate, Fault: fault,
		FaultAt: 5 * time.Second, Duration: 25 * time.Second, ReportInterval: healthquery.MinReportInterval,
		HeartbeatInterval: member.HeartbeatInterval, Seed: seed, NewDetector: NewSequentialDetector,
	}
}

// measureDetections runs the scenario with several seeds and returns the detection delays of the first and of all members
// in milliseconds, and the number of false ejections. An undetected fault counts with the time that remained after it.
func measureDetections(s Scenario) (first, all *hdrhistogram.Histogram, ejections int) {
	first = hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
	all = hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
	for seed := range uint64(trialsPerFault) {
		s.Seed = seed + 1
		r := RunHealth(s)
		_ = first.RecordValue(detectionDelayMilliseconds(s, r.FirstDetectionDelay))
		_ = all.RecordValue(detectionDelayMilliseconds(s, r.FullDetectionDelay))
		ejections += r.FalseEjections
	}
	return first, all, ejections
}

func detectionDelayMilliseconds(s Scenario, d time.Duration) int64 {
	if d < 0 {
		d = s.Duration - s.FaultAt
	}
	return d.Milliseconds()
}

// Guards target M1: a stall that health checks don't see must be detected in time, whichever service it affects.
func TestHealthDetectionTime(t *testing.T) {
	for _, d := range deployments {
		d.preference = fleet.FasterDetection
		for name := range d.services {
			t.Run(d.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newScenario(d, name, Stall, 0)
				// A fault that is not detected within 5 s misses the target anyway.
				s.Duration = 10 * time.Second
				first, _, _ := measureDetections(s)
				assertBelow(t, first, 99, detectionDelayTarget)
			})
		}
	}
}

// Guards target M2: an hour of healthy traffic with 2% failures must eject no server.
func TestHealthFalseEjections(t *testing.T) {
	for _, d := range deployments {
		d.preference = fleet.FewerFalseEjections
		for name := range d.services {
			t.Run(d.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newScenario(d, name, NoFault, 1)
				s.Duration = time.Hour
				assertNoFalseEjections(t, RunHealth(s).FalseEjections)
			})
		}
	}
}

// Guards against ejections from a pool that becomes slow as a whole and therefore has no outlier.
func TestHealthSlowPool(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			d.preference = fleet.FewerFalseEjections
			for seed := range uint64(5) {
				for name := range d.services {
					assertNoFalseEjections(t, RunHealth(newScenario(d, name, SlowPool, seed)).FalseEjections)
				}
			}
		})
	}
}

func assertBelow(t *testing.T, h *hdrhistogram.Histogram, percentile float64, limit time.Duration) {
	t.Helper()
	got := time.Duration(h.ValueAtPercentile(percentile)) * time.Millisecond
	if got >= limit {
		t.Errorf("detection delay p%v is %s, want less than %s", percentile, got, limit)
	}
}

func assertNoFalseEjections(t *testing.T, ejections int) {
	t.Helper()
	if ejections != 0 {
		t.Errorf("%d false ejections, want none", ejections)
	}
}

// TestHealthTable prints the measurements of docs/decisions/002-detection.md. It runs only with -v.
func TestHealthTable(t *testing.T) {
	if !testing.Verbose() {
		return
	}
	for _, d := range deployments {
		for _, detector := range detectors {
			for _, fault := range []Fault{Stall, Errors, HalfErrors, Slow, Flap, Crash, ZonePartition, SlowPool, NoFault} {
				t.Run(fmt.Sprintf("%s/%s/%s", d.name, detector.name, fault), func(t *testing.T) {
					t.Parallel()
					logTableRow(t, d, detector, fault)
				})
			}
		}
	}
}

// namedDetector is a detector of the table; new constructs it for one member.
type namedDetector struct {
	name string
	new  func(Scenario) Detector
}

var detectors = []namedDetector{
	{"sequential", NewSequentialDetector},
	{"5-in-a-row", NewBaselineDetector(5)},
	{"windowed", NewBaselineDetector(0)},
}

func logTableRow(t *testing.T, d deployment, n namedDetector, fault Fault) {
	t.Helper()
	largest := map[string]string{"tulpar": "rental-desk", "bayspace": "bookdesk"}[d.name]
	s := newScenario(d, largest, fault, 1)
	s.NewDetector = n.new
	if fault == NoFault {
		s.Duration = time.Hour
		ejections := RunHealth(s).FalseEjections
		s.HealthyFailureRate = usualFailureRate
		t.Logf("false ejections in an hour: %d with noise of %v, %d with %v",
			ejections, highFailureRate, RunHealth(s).FalseEjections, usualFailureRate)
		return
	}
	first, all, ejections := measureDetections(s)
	t.Logf("first member p50 %d ms, p99 %d ms; all members p50 %d ms, p99 %d ms; false ejections %d in %d runs of 25 s",
		first.ValueAtPercentile(50), first.ValueAtPercentile(99), all.ValueAtPercentile(50), all.ValueAtPercentile(99),
		ejections, trialsPerFault)
}
