package node

import (
	"context"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/pool"
)

// job is a periodic task of the control pool. A job that still runs or waits is not started again.
type job struct {
	Name  string
	Every time.Duration
	Run   func(ctx context.Context)

	next time.Time
	busy atomic.Bool
}

// scheduler hands periodic jobs to the control pool from one timer goroutine.
type scheduler struct {
	jobs    []*job
	workers int
	// Skipped counts the jobs that were put off to their next period, because the pool was full or the job still ran.
	Skipped atomic.Int64
}

func newScheduler(workers int, jobs []*job) *scheduler {
	return &scheduler{jobs: jobs, workers: workers}
}

// run starts the workers and hands jobs to them until the context ends. It returns when the last job has ended.
func (s *scheduler) run(ctx context.Context) {
	control := pool.New("control", s.workers, len(s.jobs), func(j *job) {
		defer j.busy.Store(false)
		j.Run(ctx)
	})
	defer control.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(s.start(control, time.Now()))
		}
	}
}

// start hands over the jobs that are due, and returns the time until the next one.
func (s *scheduler) start(control *pool.Pool[*job], now time.Time) time.Duration {
	wait := time.Hour
	for _, j := range s.jobs {
		if !j.next.After(now) {
			j.next = now.Add(j.Every)
			if !j.busy.CompareAndSwap(false, true) {
				s.Skipped.Add(1)
			} else if err := control.TrySubmit(j); err != nil {
				j.busy.Store(false)
				s.Skipped.Add(1)
			}
		}
		wait = min(wait, j.next.Sub(now))
	}
	return wait
}
