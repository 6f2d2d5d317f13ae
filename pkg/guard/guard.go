// Package guard couples a value with its lock and with the place of that lock in one lock order for the process.
package guard

import (
	"fmt"
	"sync"
)

// Rank is the place of a lock in the lock order. Locks are taken in ascending rank.
type Rank int

// Held is a token for the locks that the caller holds. The zero value holds none.
type Held struct {
	rank Rank
}

// OrderError reports a lock that was taken against the lock order. It is raised as a panic, because it is a defect of
// the program that could deadlock under load.
type OrderError struct {
	Held  Rank
	Taken Rank
}

func (e OrderError) Error() string {
	return fmt.Sprintf("lock of rank %d taken while a lock of rank %d is held", e.Taken, e.Held)
}

// Guard is a value of type T, its lock and its rank.
type Guard[T any] struct {
	mu    sync.RWMutex
	rank  Rank
	value T
}

// New returns a guard of the value. The rank must be above zero.
func New[T any](rank Rank, value T) *Guard[T] {
	return &Guard[T]{rank: rank, value: value}
}

// Read calls fn with the value while it holds the lock for reading. fn must not change the value or keep a reference.
func (g *Guard[T]) Read(h Held, fn func(h Held, v *T)) {
	g.check(h)
	g.mu.RLock()
	defer g.mu.RUnlock()
	fn(Held{rank: g.rank}, &g.value)
}

// Write calls fn with the value while it holds the lock for writing. fn must not keep a reference.
func (g *Guard[T]) Write(h Held, fn func(h Held, v *T)) {
	g.check(h)
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(Held{rank: g.rank}, &g.value)
}

func (g *Guard[T]) check(h Held) {
	if h.rank >= g.rank {
		panic(OrderError{Held: h.rank, Taken: g.rank})
	}
}
