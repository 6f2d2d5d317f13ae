// Package guard combines a value with its lock and with the rank of that lock in the lock order of the process.
package guard

import (
	"fmt"
	"sync"
)

// Rank is the position of a lock in the lock order. Locks are acquired in ascending rank.
type Rank int

// Held is a token that carries the highest rank of the locks that the caller holds. The zero value stands for no locks.
type Held struct {
	rank Rank
}

// OrderError reports a violation of the lock order. Guard panics with it, because such a violation is a programming error
// that can cause a deadlock under load.
type OrderError struct {
	Held  Rank
	Taken Rank
}

func (e OrderError) Error() string {
	return fmt.Sprintf("lock order violation: lock of rank %d acquired while a lock of rank %d is held", e.Taken, e.Held)
}

// Guard protects a value of type T by a read-write lock with a rank.
type Guard[T any] struct {
	mu    sync.RWMutex
	rank  Rank
	value T
}

// New returns a guard of the value. The rank must be positive.
func New[T any](rank Rank, value T) *Guard[T] {
	return &Guard[T]{rank: rank, value: value}
}

// Read calls fn with the value and holds the read lock meanwhile. fn must not modify the value or keep a reference to it.
func (g *Guard[T]) Read(h Held, fn func(h Held, v *T)) {
	g.check(h)
	g.mu.RLock()
	defer g.mu.RUnlock()
	fn(Held{rank: g.rank}, &g.value)
}

// Write calls fn with the value and holds the write lock meanwhile. fn must not keep a reference to the value.
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
