package detect

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

var (
	startTime        = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	normalBaseline   = Baseline{Latency: 20 * time.Millisecond}
	balancedSettings = SettingsOf(fleet.Service{ColdStart: 10 * time.Second})
)

// observeRepeatedly records the same sample n times, 100 ms apart.
func observeRepeatedly(s *State, n int, sample Sample, b Baseline, t Settings) {
	now := startTime
	for range n {
		now = now.Add(100 * time.Millisecond)
		Observe(s, sample, b, t, now)
	}
}

func requestSample(e fleet.Evidence) Sample {
	return Sample{Evidence: e, Latency: 20 * time.Millisecond}
}

func assertSuspected(t *testing.T, s *State, b Baseline, settings Settings, want bool) {
	t.Helper()
	is := is.New(t)
	own := Report{AvailabilityZone: "a", Excess: Excess(s, b)}
	is.Equal(SuspectedScope(s, own, nil, settings, startTime) != InUse, want)
}

func assertSum(t *testing.T, s *State, low, high float64) {
	t.Helper()
	is := is.New(t)
	is.True(s.Sum >= low)
	is.True(s.Sum <= high)
}

func assertScope(t *testing.T, got, want EjectionScope) {
	t.Helper()
	is := is.New(t)
	is.Equal(got, want)
}

func assertHoldDown(t *testing.T, s *State, want time.Duration) {
	t.Helper()
	is := is.New(t)
	is.Equal(s.Ejection.HoldDown, want)
}

func assertEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	is := is.New(t)
	is.Equal(got, want)
}
