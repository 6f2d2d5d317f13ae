package detect

import (
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against a flapping server that is readmitted too early and a repaired server that is readmitted too late.
func TestHoldDown(t *testing.T) {
	t.Run("doubles with each ejection up to the maximum", func(t *testing.T) {
		s := &State{}
		now := startTime
		for _, want := range []time.Duration{5, 10, 20, 40, 80, 160, 300, 300} {
			Eject(s, Ejected, now)
			assertHoldDown(t, s, want*time.Second)
			now = s.Ejection.Until
			Readmit(s, false, now)
		}
	})
	t.Run("halves for each minute without an ejection", func(t *testing.T) {
		s := &State{Ejection: Ejection{HoldDown: 80 * time.Second, ReadmittedAt: startTime}}
		Eject(s, Ejected, startTime.Add(2*time.Minute))
		assertHoldDown(t, s, 40*time.Second)
	})
	t.Run("does not double after a readmission for the floor", func(t *testing.T) {
		s := &State{}
		Eject(s, Ejected, startTime)
		Readmit(s, true, startTime.Add(time.Second))
		Eject(s, Ejected, startTime.Add(2*time.Second))
		assertHoldDown(t, s, 5*time.Second)
	})
}

// Guards against readmission without enough successful trial requests, and against trial requests that never end.
func TestTrials(t *testing.T) {
	run := func(e fleet.Evidence, n int) *State {
		s := &State{Sum: 20}
		Eject(s, Ejected, startTime)
		now := s.Ejection.Until
		for range n {
			StartTrial(s, "t")
			sample := requestSample(e)
			sample.Ticket = "t"
			Observe(s, sample, normalBaseline, balancedSettings, now)
		}
		return s
	}
	t.Run("due only after the hold-down and one at a time", func(t *testing.T) {
		s := run(fleet.Succeeded, 0)
		assertEqual(t, TrialDue(s, startTime.Add(time.Second)), false)
		assertEqual(t, TrialDue(s, s.Ejection.Until), true)
		StartTrial(s, "t")
		assertEqual(t, TrialDue(s, s.Ejection.Until), false)
	})
	t.Run("two successes do not readmit", func(t *testing.T) {
		assertEqual(t, OutOfUse(run(fleet.Succeeded, 2)), true)
	})
	t.Run("three successes readmit", func(t *testing.T) {
		s := run(fleet.Succeeded, 3)
		assertEqual(t, OutOfUse(s), false)
		assertSum(t, s, 0, 0)
	})
	t.Run("a failure restarts a doubled hold-down", func(t *testing.T) {
		s := run(fleet.Failed, 1)
		assertHoldDown(t, s, 10*time.Second)
		assertEqual(t, TrialDue(s, startTime.Add(6*time.Second)), false)
	})
	t.Run("a canceled trial allows another one", func(t *testing.T) {
		s := run(fleet.Canceled, 1)
		assertEqual(t, TrialDue(s, s.Ejection.Until), true)
	})
	t.Run("the result of an earlier request does not count as a trial", func(t *testing.T) {
		s := run(fleet.Succeeded, 0)
		StartTrial(s, "t")
		observeRepeatedly(s, 5, requestSample(fleet.Succeeded), normalBaseline, balancedSettings)
		assertEqual(t, OutOfUse(s), true)
	})
}

// Guards against a zone with a network fault that ejects servers which other zones can reach.
func TestZones(t *testing.T) {
	report := func(zone string, excess float64, age time.Duration) Report {
		return Report{AvailabilityZone: zone, Excess: excess, LastFailure: startTime.Add(-age)}
	}
	settings := balancedSettings
	for _, c := range []struct {
		name  string
		own   float64
		peers []Report
		want  EjectionScope
	}{
		{"evidence of the own zone alone ejects in the zone", settings.Threshold, nil, EjectedInZone},
		{"a second member of the own zone does not widen the scope", settings.Threshold, []Report{report("a", 36, 0)}, EjectedInZone},
		{"one foreign zone is not enough", 0, []Report{report("b", 36, 0), report("b", 36, 0)}, InUse},
		{"one foreign zone and one own failure are not enough", 3.2, []Report{report("b", 36, 0)}, InUse},
		{"two foreign zones eject", 0, []Report{report("b", 9, 0), report("c", 9, 0)}, Ejected},
		{"own and foreign zone eject", 9, []Report{report("b", 9, 0)}, Ejected},
		{"old reports do not count", 0, []Report{report("b", 36, 0), report("c", 36, time.Minute)}, InUse},
	} {
		t.Run(c.name, func(t *testing.T) {
			own := Report{AvailabilityZone: "a", Excess: c.own, LastFailure: startTime}
			assertScope(t, SuspectedScope(&State{}, own, c.peers, settings, startTime), c.want)
		})
	}
	t.Run("evidence from before the readmission does not count", func(t *testing.T) {
		s := &State{Ejection: Ejection{ReadmittedAt: startTime}}
		peers := []Report{report("b", 36, time.Second), report("c", 36, time.Second)}
		assertScope(t, SuspectedScope(s, Report{AvailabilityZone: "a"}, peers, settings, startTime), InUse)
	})
}
