package detect

import (
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against slow detection. Each preference stands for a fixed number of failures in a row.
func TestThresholds(t *testing.T) {
	for _, c := range []struct {
		preference fleet.Preference
		failures   int
	}{{fleet.FasterDetection, 4}, {fleet.Balanced, 6}, {fleet.FewerFalseEjections, 10}} {
		t.Run(string(c.preference), func(t *testing.T) {
			settings := SettingsOf(fleet.Service{Preference: c.preference})
			s := &State{}
			observeRepeatedly(s, c.failures-1, requestSample(fleet.Failed), normalBaseline, settings)
			assertSuspected(t, s, normalBaseline, settings, false)
			observeRepeatedly(s, 1, requestSample(fleet.Failed), normalBaseline, settings)
			assertSuspected(t, s, normalBaseline, settings, true)
		})
	}
}

// Guards against false ejections because of results that are unrelated to the health of the server.
func TestNoEvidence(t *testing.T) {
	for _, e := range []fleet.Evidence{fleet.Shed, fleet.Draining, fleet.Canceled} {
		t.Run(string(e), func(t *testing.T) {
			s := &State{}
			observeRepeatedly(s, 50, requestSample(e), normalBaseline, balancedSettings)
			assertSum(t, s, 0, 0)
		})
	}
	t.Run("slow response in a cold start", func(t *testing.T) {
		s := &State{JoinedAt: startTime}
		observeRepeatedly(s, 50, Sample{Evidence: fleet.Succeeded, Latency: time.Second}, normalBaseline, balancedSettings)
		assertSum(t, s, 0, 0)
	})
	t.Run("failure of a request that was in flight during a pause", func(t *testing.T) {
		s := &State{}
		sample := requestSample(fleet.Failed)
		sample.InFlight.Discarded = true
		observeRepeatedly(s, 50, sample, normalBaseline, balancedSettings)
		assertSum(t, s, 0, 0)
	})
}

// Guards against gray failures that health checks do not detect. Slow responses and refused connections count as
// failures, and successful probes do not outweigh them.
func TestEvidence(t *testing.T) {
	t.Run("slow responses are failures", func(t *testing.T) {
		s := &State{}
		observeRepeatedly(s, 6, Sample{Evidence: fleet.Succeeded, Latency: time.Second}, normalBaseline, balancedSettings)
		assertSuspected(t, s, normalBaseline, balancedSettings, true)
	})
	t.Run("connection failures count in a cold start", func(t *testing.T) {
		s := &State{JoinedAt: startTime}
		observeRepeatedly(s, 6, Sample{Evidence: fleet.Unreachable, Latency: time.Second}, normalBaseline, balancedSettings)
		assertSuspected(t, s, normalBaseline, balancedSettings, true)
	})
	t.Run("successful probes do not outweigh failed requests", func(t *testing.T) {
		s := &State{}
		observeRepeatedly(s, 6, requestSample(fleet.Failed), normalBaseline, balancedSettings)
		observeRepeatedly(s, 100, Sample{Evidence: fleet.Succeeded, Probe: true}, normalBaseline, balancedSettings)
		assertSuspected(t, s, normalBaseline, balancedSettings, true)
	})
	t.Run("a failed probe has a quarter of the weight of a request", func(t *testing.T) {
		s := &State{}
		observeRepeatedly(s, 4, Sample{Evidence: fleet.Failed, Probe: true}, normalBaseline, balancedSettings)
		assertSum(t, s, 3.2, 3.3)
	})
	t.Run("a request that was counted while in flight is not counted again when it fails", func(t *testing.T) {
		s := &State{}
		evidence := InFlightEvidence{}
		ObserveInFlight(s, &evidence, time.Second, normalBaseline, balancedSettings, startTime)
		observeRepeatedly(s, 1, Sample{Evidence: fleet.Failed, InFlight: evidence}, normalBaseline, balancedSettings)
		assertSum(t, s, 3.2, 3.3)
	})
	t.Run("a stalled request counts at most twice", func(t *testing.T) {
		s := &State{}
		evidence := InFlightEvidence{}
		for range 20 {
			ObserveInFlight(s, &evidence, time.Minute, normalBaseline, balancedSettings, startTime)
		}
		assertSum(t, s, 6.4, 6.5)
	})
}

// Guards against ejections in a pool that is slow or failing as a whole.
func TestPool(t *testing.T) {
	t.Run("servers with equal failures are no outliers", func(t *testing.T) {
		pool := []*State{{}, {}, {}, {}}
		for _, s := range pool {
			observeRepeatedly(s, 20, requestSample(fleet.Failed), normalBaseline, balancedSettings)
		}
		b := BaselineFor(Summarize(pool, startTime), pool[0], startTime)
		assertSuspected(t, pool[0], b, balancedSettings, false)
	})
	t.Run("a failure has less weight in a failing pool", func(t *testing.T) {
		s := &State{}
		b := Baseline{FailureRate: 0.5, Latency: normalBaseline.Latency}
		observeRepeatedly(s, 1, requestSample(fleet.Failed), b, balancedSettings)
		assertSum(t, s, 0.3, 0.5)
	})
	t.Run("the stall age follows the latency of the pool", func(t *testing.T) {
		s := &State{}
		b := Baseline{Latency: 500 * time.Millisecond}
		observeRepeatedly(s, 10, Sample{Evidence: fleet.Succeeded, Latency: time.Second}, b, balancedSettings)
		assertSum(t, s, 0, 0)
	})
	t.Run("a minority of failing servers does not move the baseline", func(t *testing.T) {
		pool := []*State{{Sum: 36}, {Sum: 36}, {}, {}, {}, {}}
		b := BaselineFor(Summarize(pool, startTime), pool[0], startTime)
		assertSuspected(t, pool[0], b, balancedSettings, true)
	})
}

// Guards against ejections caused by a fault of the node itself.
func TestNode(t *testing.T) {
	for _, c := range []struct {
		name     string
		zones    map[string]ZoneCounts
		isolated bool
	}{
		{"all zones fail", map[string]ZoneCounts{"a": {4, 4}, "b": {4, 3}, "c": {3, 3}}, true},
		{"one other zone fails", map[string]ZoneCounts{"a": {4, 0}, "b": {4, 4}, "c": {3, 0}}, false},
		{"own zone works", map[string]ZoneCounts{"a": {4, 1}, "b": {4, 4}, "c": {3, 3}}, false},
		{"no server in own zone", map[string]ZoneCounts{"b": {4, 4}, "c": {3, 3}}, true},
		{"no evidence", map[string]ZoneCounts{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertEqual(t, Isolated(c.zones, "a"), c.isolated)
		})
	}
	t.Run("a sweep that is late by more than a second means a pause", func(t *testing.T) {
		assertEqual(t, Paused(startTime, 100*time.Millisecond, startTime.Add(1200*time.Millisecond)), true)
		assertEqual(t, Paused(startTime, 100*time.Millisecond, startTime.Add(time.Second)), false)
		assertEqual(t, Paused(time.Time{}, 100*time.Millisecond, startTime), false)
	})
}
