// Package pausecmd notices pauses of the node's process, and keeps the node from acting on what it knew before. It writes the
// Pauses table, and corrects ages in the Replicas and Backends tables.
package pausecmd

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"egretline.example/egretline/internal/decide/pause"
	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// MaxRefreshDuration bounds how long a refresh is waited for. A peer that has not answered by then is down, paused or cut off.
const MaxRefreshDuration = 400 * time.Millisecond

// Commands notices the pauses of one node.
type Commands struct {
	Tables *table.Tables
	// ReadClocks reads the clocks of the process.
	ReadClocks func() pause.Reading
	// Refresh updates the replicas after a pause, as far as that is possible at present. It runs in a goroutine of its own.
	Refresh func()
	Logger  zerolog.Logger
}

// New returns the commands for one node.
func New(t *table.Tables, refresh func(), logger zerolog.Logger) *Commands {
	return &Commands{Tables: t, ReadClocks: readClocks, Refresh: refresh, Logger: logger}
}

// readClocks reads the clocks of the process. What cannot be read counts as not known.
func readClocks() pause.Reading {
	r := pause.Reading{Steady: time.Now()}
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err == nil {
		r.SinceBoot = time.Duration(boot.Nano())
	}
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err == nil {
		r.Processor = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	}
	return r
}

// Observe notices a pause that has ended since the last call. Everything that acts on what the node knows calls it first,
// because the goroutine of a request may run before any timer does.
func (c *Commands) Observe() {
	var p pause.Pause
	var paused bool
	c.Tables.Pauses.Write(guard.Held{}, func(h guard.Held, v *table.Pauses) {
		// The clocks are read under the lock, so that the readings are in order.
		if p, paused = pause.Observe(&v.State, c.ReadClocks()); !paused {
			return
		}
		c.correctAges(h, p)
		refreshed := make(chan struct{})
		v.Refreshed = refreshed
		go func() {
			defer close(refreshed)
			c.Refresh()
		}()
	})
	if paused {
		c.Logger.Warn().Dur("length-ms", p.Length).Dur("suspended-ms", p.Hidden).
			Msg("process was paused; refreshing what it knows of the backend servers")
	}
}

// correctAges corrects the ages of the replicas, and marks the requests in flight as ones whose ages are no evidence about their
// servers.
func (c *Commands) correctAges(h guard.Held, p pause.Pause) {
	c.Tables.Replicas.Write(h, func(_ guard.Held, r *table.Replicas) {
		for _, s := range r.Topics {
			replica.ObservePause(s, p)
		}
	})
	c.Tables.Backends.Write(h, func(_ guard.Held, b *table.Backends) {
		for _, servers := range b.Services {
			for _, s := range servers {
				for id, f := range s.InFlight {
					f.Evidence.Discarded = true
					s.InFlight[id] = f
				}
			}
		}
	})
}

// PausedSince reports whether a pause has ended after the time.
func (c *Commands) PausedSince(t time.Time) (paused bool) {
	c.Observe()
	c.Tables.Pauses.Read(guard.Held{}, func(_ guard.Held, v *table.Pauses) { paused = v.Ended.After(t) })
	return paused
}

// Refreshing reports whether the refresh after a pause is in progress, also after one that has not been noticed yet.
func (c *Commands) Refreshing() bool {
	c.Observe()
	select {
	case <-c.refreshed():
		return false
	default:
		return true
	}
}

// AwaitRefresh returns when no refresh after a pause is in progress, MaxRefreshDuration has passed, or the context has ended.
func (c *Commands) AwaitRefresh(ctx context.Context) {
	if !c.Refreshing() {
		return
	}
	timer := time.NewTimer(MaxRefreshDuration)
	defer timer.Stop()
	for c.Refreshing() { // there may have been another pause
		select {
		case <-c.refreshed():
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Count returns the number of pauses since the start of the process.
func (c *Commands) Count() (count int) {
	c.Tables.Pauses.Read(guard.Held{}, func(_ guard.Held, v *table.Pauses) { count = v.Count })
	return count
}

// noRefresh stands for the refresh after a pause while there was none.
var noRefresh = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

func (c *Commands) refreshed() <-chan struct{} {
	refreshed := noRefresh
	c.Tables.Pauses.Read(guard.Held{}, func(_ guard.Held, v *table.Pauses) {
		if v.Refreshed != nil {
			refreshed = v.Refreshed
		}
	})
	return refreshed
}
