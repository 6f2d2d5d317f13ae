package guard

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against deadlocks: two goroutines that acquire the same two locks in opposite order can wait for each other
// forever.
func TestOrder(t *testing.T) {
	first := New(1, 10)
	second := New(2, 20)

	t.Run("ascending ranks are allowed", func(t *testing.T) {
		assertPanics(t, false, func() {
			first.Read(Held{}, func(h Held, _ *int) {
				second.Write(h, func(_ Held, v *int) { *v++ })
			})
		})
	})
	t.Run("descending ranks panic", func(t *testing.T) {
		assertPanics(t, true, func() {
			second.Read(Held{}, func(h Held, _ *int) {
				first.Read(h, func(Held, *int) {})
			})
		})
	})
	t.Run("the same rank panics", func(t *testing.T) {
		assertPanics(t, true, func() {
			first.Write(Held{}, func(h Held, _ *int) {
				first.Write(h, func(Held, *int) {})
			})
		})
	})
}

func assertPanics(t *testing.T, wantPanic bool, fn func()) {
	t.Helper()
	is := is.New(t)
	defer func() {
		_, ok := recover().(OrderError)
		is.Equal(ok, wantPanic)
	}()
	fn()
}
