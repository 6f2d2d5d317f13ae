package pool

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func TestPool(t *testing.T) {
	t.Run("close runs every queued job", func(t *testing.T) {
		is := is.New(t)
		var sum atomic.Int64
		p := New("test", 3, 4, func(j int64) { sum.Add(j) })
		for i := range int64(100) {
			is.NoErr(p.Submit(context.Background(), i))
		}
		p.Close()
		is.Equal(sum.Load(), int64(4950)) // a lost job would lower the sum
	})
	t.Run("a full queue rejects a job", func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		p := New("test", 1, 1, func(int) { <-release })
		is.NoErr(p.Submit(context.Background(), 1))
		is.NoErr(p.Submit(context.Background(), 2))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		// The second Submit returned only after the worker had taken the first job, so the queue is full now.
		is.True(errors.As(p.TrySubmit(3), &FullError{}))
		is.True(errors.Is(p.Submit(ctx, 4), context.Canceled))
		close(release)
		p.Close()
	})
	t.Run("a closed pool rejects a job", func(t *testing.T) {
		is := is.New(t)
		p := New("test", 1, 1, func(int) {})
		p.Close()
		is.True(errors.As(p.TrySubmit(1), &ClosedError{}))
	})
	// Guards against goroutine stacks that idle hosts keep, and against a job that waits although a worker could start.
	t.Run("workers start on demand", func(t *testing.T) {
		is := is.New(t)
		const jobs = 5
		release, running := make(chan struct{}), make(chan struct{})
		p := New("test", 2*jobs, jobs, func(int) {
			running <- struct{}{}
			<-release
		})
		is.Equal(p.startedWorkers.Load(), int32(0))
		for i := range jobs {
			is.NoErr(p.TrySubmit(i))
		}
		for range jobs {
			<-running // all jobs run at the same time
		}
		is.Equal(p.startedWorkers.Load(), int32(jobs))
		close(release)
		p.Close()
	})
}
