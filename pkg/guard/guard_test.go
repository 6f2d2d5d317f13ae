package guard

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against deadlocks: two goroutines that take the same two locks in opposite orders can wait for each other.
func TestOrder(t *testing.T) {
	first := New(1, 10)
	second := New(2, 20)

	t.Run("ascending ranks are allowed", func(t *testing.T) {
		assertOrder(t, false, func() {
			first.Read(Held{}, func(h Held, _ *int) {
				second.Write(h, func(_ Held, v *int) { *v++ })
			})
		})
	})
	t.Run("descending ranks panic", func(t *testing.T) {
		assertOrder(t, true, func() {
			second.Read(Held{}, func(h Held, _ *int) {
				first.Read(h, func(Held, *int) {})
			})
		})
	})
	t.Run("the same rank panics", func(t *testing.T) {
		assertOrder(t, true, func() {
			first.Write(Held{}, func(h Held, _ *int) {
				first.Write(h, func(Held, *int) {})
			})
		})
	})
}

func assertOrder(t *testing.T, violation bool, fn func()) {
	t.Helper()
	is := is.New(t)
	defer func() {
		_, ok := recover().(OrderError)
		is.Equal(ok, violation)
	}()
	fn()
}
