// Package pool runs jobs on a bounded number of workers over a bounded queue.
package pool

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
)

// FullError reports a job that was turned away because the queue was full.
type FullError struct {
	Pool     string
	Capacity int
}

func (e FullError) Error() string {
	return fmt.Sprintf("pool %s: queue of %d jobs is full", e.Pool, e.Capacity)
}

// ClosedError reports a job that was turned away because the pool is stopping.
type ClosedError struct {
	Pool string
}

func (e ClosedError) Error() string {
	return fmt.Sprintf("pool %s is closed", e.Pool)
}

// Pool is a set of workers that take jobs of type J from a bounded queue. A worker is started when a job finds none idle,
// up to a fixed number, and stays until the pool is closed: hosts that have little to do keep few stacks.
type Pool[J any] struct {
	name    string
	jobs    chan J
	handle  func(J)
	done    sync.WaitGroup
	workers int32
	// started counts the workers, and busy the jobs that were submitted and have not ended.
	started atomic.Int32
	busy    atomic.Int32

	mu     sync.RWMutex
	closed bool
}

// New returns a pool of at most the given number of workers. handle runs on a worker, one job at a time.
func New[J any](name string, workers, capacity int, handle func(J)) *Pool[J] {
	return &Pool[J]{name: name, jobs: make(chan J, capacity), handle: handle, workers: int32(workers)}
}

// enter counts a job and starts a worker for it if all that were started have one.
func (p *Pool[J]) enter() {
	busy := p.busy.Add(1)
	for {
		started := p.started.Load()
		if started >= p.workers || started >= busy {
			return
		}
		if p.started.CompareAndSwap(started, started+1) {
			p.done.Go(p.work)
			return
		}
	}
}

// Submit hands a job to the workers and waits while the queue is full. It returns ClosedError after Close, or the error
// of the context.
func (p *Pool[J]) Submit(ctx context.Context, j J) error {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return ClosedError{Pool: p.name}
	}
	p.enter()
	select {
	case p.jobs <- j:
		return nil
	case <-ctx.Done():
		p.busy.Add(-1)
		return context.Cause(ctx)
	}
}

// TrySubmit hands a job to the workers. It returns FullError instead of waiting, and ClosedError after Close.
func (p *Pool[J]) TrySubmit(j J) error {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return ClosedError{Pool: p.name}
	}
	p.enter()
	select {
	case p.jobs <- j:
		return nil
	default:
		p.busy.Add(-1)
		return FullError{Pool: p.name, Capacity: cap(p.jobs)}
	}
}

// Close takes no more jobs, and waits until the workers have run those that were queued.
func (p *Pool[J]) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.jobs)
	}
	p.mu.Unlock()
	p.done.Wait()
}

func (p *Pool[J]) work() {
	for j := range p.jobs {
		p.handle(j)
		p.busy.Add(-1)
	}
}
