// Package pool runs jobs on a bounded number of workers over a bounded queue.
package pool

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
)

// FullError reports a job that was rejected because the queue was full.
type FullError struct {
	Pool     string
	Capacity int
}

func (e FullError) Error() string {
	return fmt.Sprintf("pool %s: queue of %d jobs is full", e.Pool, e.Capacity)
}

// ClosedError reports a job that was submitted after Close.
type ClosedError struct {
	Pool string
}

func (e ClosedError) Error() string {
	return fmt.Sprintf("pool %s is closed", e.Pool)
}

// Pool is a set of workers that take jobs of type J from a bounded queue. A worker is started when a job finds none idle,
// up to a fixed number, and runs until the pool is closed. Hosts with little load therefore keep few goroutine stacks.
type Pool[J any] struct {
	name       string
	jobs       chan J
	handle     func(J)
	running    sync.WaitGroup
	maxWorkers int32
	// startedWorkers counts the workers, and unfinishedJobs the jobs that were submitted and have not ended.
	startedWorkers atomic.Int32
	unfinishedJobs atomic.Int32

	mu     sync.RWMutex
	closed bool
}

// New returns a pool of at most maxWorkers workers with a queue of the given capacity. Each worker calls handle for one
// job at a time.
func New[J any](name string, maxWorkers, capacity int, handle func(J)) *Pool[J] {
	return &Pool[J]{name: name, jobs: make(chan J, capacity), handle: handle, maxWorkers: int32(maxWorkers)}
}

// addJob counts a job, and starts a worker for it if every started worker has a job.
func (p *Pool[J]) addJob() {
	unfinished := p.unfinishedJobs.Add(1)
	for {
		started := p.startedWorkers.Load()
		if started >= p.maxWorkers || started >= unfinished {
			return
		}
		if p.startedWorkers.CompareAndSwap(started, started+1) {
			p.running.Go(p.runJobs)
			return
		}
	}
}

// Submit queues a job, and waits while the queue is full. It returns ClosedError after Close, or the cause of the
// context's end.
func (p *Pool[J]) Submit(ctx context.Context, j J) error {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return ClosedError{Pool: p.name}
	}
	p.addJob()
	select {
	case p.jobs <- j:
		return nil
	case <-ctx.Done():
		p.unfinishedJobs.Add(-1)
		return context.Cause(ctx)
	}
}

// TrySubmit queues a job. It returns FullError instead of waiting while the queue is full, and ClosedError after Close.
func (p *Pool[J]) TrySubmit(j J) error {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return ClosedError{Pool: p.name}
	}
	p.addJob()
	select {
	case p.jobs <- j:
		return nil
	default:
		p.unfinishedJobs.Add(-1)
		return FullError{Pool: p.name, Capacity: cap(p.jobs)}
	}
}

// Close rejects further jobs, and waits until the workers have run all queued jobs.
func (p *Pool[J]) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.jobs)
	}
	p.mu.Unlock()
	p.running.Wait()
}

func (p *Pool[J]) runJobs() {
	for j := range p.jobs {
		p.handle(j)
		p.unfinishedJobs.Add(-1)
	}
}
