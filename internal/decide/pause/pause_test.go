package pause

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// assertPause compares the pause that is noticed when the clocks have advanced by the given times, and zero if none is.
func assertPause(t *testing.T, steady, sinceBoot, processor time.Duration, want Pause) {
	t.Helper()
	is := is.New(t)
	var s State
	first := Reading{Steady: start, SinceBoot: time.Hour, Processor: time.Second}
	_, noticed := Observe(&s, first)
	is.True(!noticed) // the first reading follows no other one
	last := Reading{
		Steady: start.Add(steady), SinceBoot: first.SinceBoot + sinceBoot, Processor: first.Processor + processor,
	}
	got, noticed := Observe(&s, last)
	is.Equal(got, want)
	is.Equal(noticed, want != Pause{})
	is.Equal(s.Ended.Equal(last.Steady), noticed)
	_, noticed = Observe(&s, last)
	is.True(!noticed) // a pause is noticed once
}

// Guards against a node that acts on old knowledge after a pause, and against one that takes a busy processor for a pause and
// delays requests that it could serve.
func TestObserve(t *testing.T) {
	const second = time.Second
	t.Run("a process that was stopped by a signal", func(t *testing.T) {
		assertPause(t, 2*second, 2*second, time.Millisecond, Pause{Length: 1984 * time.Millisecond})
	})
	t.Run("a host that was suspended while its steady clock stood still", func(t *testing.T) {
		assertPause(t, 100*time.Millisecond, 2100*time.Millisecond, 0, Pause{Length: 2100 * time.Millisecond, Hidden: 2 * second})
	})
	t.Run("a process that worked before it was stopped", func(t *testing.T) {
		assertPause(t, 2*second, 2*second, 64*time.Millisecond, Pause{Length: 976 * time.Millisecond})
	})
	t.Run("the usual time between two readings", func(t *testing.T) {
		assertPause(t, 200*time.Millisecond, 200*time.Millisecond, 0, Pause{})
	})
	t.Run("a short pause", func(t *testing.T) {
		assertPause(t, MinLength-1, MinLength-1, 0, Pause{})
		assertPause(t, MinLength, MinLength, 0, Pause{Length: MinLength})
	})
	t.Run("a processor that is busy with this process", func(t *testing.T) {
		assertPause(t, 3*second, 3*second, 960*time.Millisecond, Pause{})
	})
	t.Run("a processor that leaves a slowed process a sixteenth", func(t *testing.T) {
		assertPause(t, 3*second, 3*second, 3*second/16, Pause{})
	})
	t.Run("a host without a clock that counts its suspension", func(t *testing.T) {
		var s State
		Observe(&s, Reading{Steady: start})
		p, noticed := Observe(&s, Reading{Steady: start.Add(second)})
		is.New(t).True(noticed)
		is.New(t).Equal(p, Pause{Length: second})
	})
}
