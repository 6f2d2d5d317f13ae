package detect

import (
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against slow detection: the number of failures in a row that each preference needs is part of its meaning.
func TestThresholds(t *testing.T) {
	for _, c := range []struct {
		preference fleet.Preference
		failures   int
	}{{fleet.FasterDetection, 4}, {fleet.Balanced, 6}, {fleet.FewerFalseEjections, 10}} {
		t.Run(string(c.preference), func(t *testing.T) {
			x := SettingsOf(fleet.Service{Preference: c.preference})
			s := &State{}
			feed(s, c.failures-1, request(fleet.Failed), normal, x)
			assertSuspected(t, s, normal, x, false)
			feed(s, 1, request(fleet.Failed), normal, x)
			assertSuspected(t, s, normal, x, true)
		})
	}
}

// Guards against false ejections by evidence that says nothing about health.
func TestNoEvidence(t *testing.T) {
	for _, e := range []fleet.Evidence{fleet.Shed, fleet.Draining, fleet.Canceled} {
		t.Run(string(e), func(t *testing.T) {
			s := &State{}
			feed(s, 50, request(e), normal, balanced)
			assertSum(t, s, 0, 0)
		})
	}
	t.Run("slow response in a cold start", func(t *testing.T) {
		s := &State{Appeared: start}
		feed(s, 50, Sample{Evidence: fleet.Succeeded, Latency: time.Second}, normal, balanced)
		assertSum(t, s, 0, 0)
	})
	t.Run("failure of a request that was in flight during a pause", func(t *testing.T) {
		s := &State{}
		x := request(fleet.Failed)
		x.Age.Discarded = true
		feed(s, 50, x, normal, balanced)
		assertSum(t, s, 0, 0)
	})
}

// Guards against gray failures that health checks hide: slow and refused work counts, and probes do not clear it.
func TestEvidence(t *testing.T) {
	t.Run("slow responses are failures", func(t *testing.T) {
		s := &State{}
		feed(s, 6, Sample{Evidence: fleet.Succeeded, Latency: time.Second}, normal, balanced)
		assertSuspected(t, s, normal, balanced, true)
	})
	t.Run("connection failures count in a cold start", func(t *testing.T) {
		s := &State{Appeared: start}
		feed(s, 6, Sample{Evidence: fleet.Unreachable, Latency: time.Second}, normal, balanced)
		assertSuspected(t, s, normal, balanced, true)
	})
	t.Run("successful probes do not outweigh failed requests", func(t *testing.T) {
		s := &State{}
		feed(s, 6, request(fleet.Failed), normal, balanced)
		feed(s, 100, Sample{Evidence: fleet.Succeeded, Probe: true}, normal, balanced)
		assertSuspected(t, s, normal, balanced, true)
	})
	t.Run("a failed probe weighs a quarter of a request", func(t *testing.T) {
		s := &State{}
		feed(s, 4, Sample{Evidence: fleet.Failed, Probe: true}, normal, balanced)
		assertSum(t, s, 3.2, 3.3)
	})
	t.Run("an age is not counted again as a failure", func(t *testing.T) {
		s := &State{}
		a := Age{}
		ObserveAge(s, &a, time.Second, normal, balanced, start)
		feed(s, 1, Sample{Evidence: fleet.Failed, Age: a}, normal, balanced)
		assertSum(t, s, 3.2, 3.3)
	})
	t.Run("one request counts at most twice for its age", func(t *testing.T) {
		s := &State{}
		a := Age{}
		for range 20 {
			ObserveAge(s, &a, time.Minute, normal, balanced, start)
		}
		assertSum(t, s, 6.4, 6.5)
	})
}

// Guards against ejecting servers of a pool that is slow or failing as a whole.
func TestPool(t *testing.T) {
	t.Run("equal failures give no outlier", func(t *testing.T) {
		pool := []*State{{}, {}, {}, {}}
		for _, s := range pool {
			feed(s, 20, request(fleet.Failed), normal, balanced)
		}
		b := Rest(Summarize(pool, start), pool[0], start)
		assertSuspected(t, pool[0], b, balanced, false)
	})
	t.Run("a failure weighs less in a pool that fails", func(t *testing.T) {
		s := &State{}
		b := Baseline{FailureRate: 0.5, Latency: normal.Latency}
		feed(s, 1, request(fleet.Failed), b, balanced)
		assertSum(t, s, 0.3, 0.5)
	})
	t.Run("the stall age follows the latency of the pool", func(t *testing.T) {
		s := &State{}
		b := Baseline{Latency: 500 * time.Millisecond}
		feed(s, 10, Sample{Evidence: fleet.Succeeded, Latency: time.Second}, b, balanced)
		assertSum(t, s, 0, 0)
	})
	t.Run("a minority of failing servers does not move the baseline", func(t *testing.T) {
		pool := []*State{{Sum: 36}, {Sum: 36}, {}, {}, {}, {}}
		b := Rest(Summarize(pool, start), pool[0], start)
		assertSuspected(t, pool[0], b, balanced, true)
	})
}

// Guards against ejections caused by a fault of the node itself.
func TestNode(t *testing.T) {
	for _, c := range []struct {
		name     string
		zones    map[string]ZoneState
		isolated bool
	}{
		{"all zones fail", map[string]ZoneState{"a": {4, 4}, "b": {4, 3}, "c": {3, 3}}, true},
		{"one other zone fails", map[string]ZoneState{"a": {4, 0}, "b": {4, 4}, "c": {3, 0}}, false},
		{"own zone works", map[string]ZoneState{"a": {4, 1}, "b": {4, 4}, "c": {3, 3}}, false},
		{"no server in own zone", map[string]ZoneState{"b": {4, 4}, "c": {3, 3}}, true},
		{"no evidence", map[string]ZoneState{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertEqual(t, Isolated(c.zones, "a"), c.isolated)
		})
	}
	t.Run("a sweep that is late by more than a second means a pause", func(t *testing.T) {
		assertEqual(t, Paused(start, 100*time.Millisecond, start.Add(1200*time.Millisecond)), true)
		assertEqual(t, Paused(start, 100*time.Millisecond, start.Add(time.Second)), false)
		assertEqual(t, Paused(time.Time{}, 100*time.Millisecond, start), false)
	})
}
