package query

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var tracesDir = filepath.Join("..", "..", "..", "..", "_fixtures", "traces")

// Guards against changes of outlier detection or of the floor that alter the outcome of a recorded trace.
func TestReplayFixtures(t *testing.T) {
	for _, name := range []string{"stall", "flap", "one-way-partition", "cold-start", "slow-pool", "healthy-noise"} {
		t.Run(name, func(t *testing.T) {
			m, err := replayFiles(filepath.Join(tracesDir, name+".jsonl"), filepath.Join(tracesDir, name+".outcome.json"))
			is.New(t).NoErr(err)
			assertDifferences(t, m, 0)
		})
	}
}

// Guards against a comparison that finds no difference whatever the outcome.
func TestReplayDiffers(t *testing.T) {
	replayAs := func(t *testing.T, name, outcome string) replayResult {
		t.Helper()
		m, err := replayFiles(filepath.Join(tracesDir, name+".jsonl"), filepath.Join(tracesDir, outcome+".outcome.json"))
		is.New(t).NoErr(err)
		return m
	}
	t.Run("a change that is not stated", func(t *testing.T) {
		assertDifferences(t, replayAs(t, "stall", "healthy-noise"), 1)
	})
	t.Run("a stated change that does not occur", func(t *testing.T) {
		assertDifferences(t, replayAs(t, "healthy-noise", "flap"), 3)
	})
	t.Run("a change of another kind", func(t *testing.T) {
		assertDifferences(t, replayAs(t, "stall", "one-way-partition"), 1)
	})
	t.Run("printed in words", func(t *testing.T) {
		var b strings.Builder
		is := is.New(t)
		is.NoErr(printReplay(&b, replayAs(t, "stall", "healthy-noise")))
		is.True(strings.Contains(b.String(), "backend server 10.0.0.1:80 of service survey-vault was ejected"))
		is.True(strings.HasSuffix(b.String(), ", 1 changes, 1 differences\n"))
	})
}

func assertDifferences(t *testing.T, m replayResult, want int) {
	t.Helper()
	if len(m.Differences) != want {
		t.Errorf("%d differences, want %d: %s", len(m.Differences), want, strings.Join(m.Differences, "; "))
	}
}
