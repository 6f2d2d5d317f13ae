package node

import (
	"context"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/pool"
)

// job is a periodic task of the control pool. It is not submitted again while it is queued or running.
type job struct {
	Name     string
	Interval time.Duration
	Run      func(ctx context.Context)

	nextStart time.Time
	pending   atomic.Bool
}

// scheduler submits periodic jobs to the control pool from a single timer goroutine.
type scheduler struct {
	jobs    []*job
	workers int
	// Skipped counts the job runs that were skipped because the pool was full or the previous run had not ended.
	Skipped atomic.Int64
}

func newScheduler(workers int, jobs []*job) *scheduler {
	return &scheduler{jobs: jobs, workers: workers}
}

// run starts the workers and submits jobs to them until the context ends. It returns when the last job has ended.
func (s *scheduler) run(ctx context.Context) {
	control := pool.New("control", s.workers, len(s.jobs), func(j *job) {
		defer j.pending.Store(false)
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
			timer.Reset(s.submitDue(control, time.Now()))
		}
	}
}

// submitDue submits the jobs that are due and returns the time until the next one.
func (s *scheduler) submitDue(control *pool.Pool[*job], now time.Time) time.Duration {
	wait := time.Hour
	for _, j := range s.jobs {
		if !j.nextStart.After(now) {
			j.nextStart = now.Add(j.Interval)
			if !j.pending.CompareAndSwap(false, true) {
				s.Skipped.Add(1)
			} else if err := control.TrySubmit(j); err != nil {
				j.pending.Store(false)
				s.Skipped.Add(1)
			}
		}
		wait = min(wait, j.nextStart.Sub(now))
	}
	return wait
}
