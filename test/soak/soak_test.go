package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/test/fleetproc"
)

// Variables that set the size of a soak.
const (
	variableSeeds = "SOAK_SEEDS"
	variableFirst = "SOAK_FIRST"
	variableNodes = "SOAK_NODES"
)

const (
	disturbed = 8 * time.Second
	// recovery is the time after the last disturbance until the fleet has to serve again, and calm the time in which it is
	// judged.
	recovery = 8 * time.Second
	calm     = 2 * time.Second
	callers  = 10
	// streams is the number of series of disturbances that overlap.
	streams = 3
	// fewestServed is the part of the calls that have to be served after the recovery.
	fewestServed = 0.95
)

// regressions are the seeds that failed once, each with its cause.
var regressions = []uint64{}

// TestSoak runs one seed, or as many as the environment asks for.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "egretline-platform")
	is.New(t).NoErr(fleetproc.Build(t.Context(), "../..", filepath.Dir(program)))
	first, seeds := number(t, variableFirst, 1), number(t, variableSeeds, 1)
	for k := range seeds {
		t.Run(fmt.Sprint("seed ", first+k), func(t *testing.T) { soak(t, program, uint64(first+k)) })
	}
	for _, seed := range regressions {
		t.Run(fmt.Sprint("regression ", seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

func number(t *testing.T, name string, otherwise int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	is.New(t).NoErr(err)
	return n
}

func soak(t *testing.T, program string, seed uint64) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := newWorld(ctx, t, program, seed, number(t, variableNodes, 5), 12)
	var done sync.WaitGroup
	calling, stop := context.WithCancel(ctx)
	for k := range callers {
		done.Go(func() { newCaller(w, k, seed).run(calling) })
	}
	is.NoErr(fleetproc.Await(ctx, "service", func() bool { return w.served(time.Time{}) > 0 }))
	w.disturb(ctx, t)
	w.pauseFor(recovery)
	since := time.Now()
	w.pauseFor(calm)
	stop()
	done.Wait()
	for _, b := range w.check() {
		t.Error(b)
	}
	if share := w.served(since); share < fewestServed {
		t.Errorf("recovery: %.3f of the calls were served", share)
	}
	t.Logf("%d calls, %.3f served", len(w.calls.all()), w.served(time.Time{}))
	if t.Failed() {
		w.keepLogs(t, seed)
	}
}

// disturb runs the series of disturbances until their time is over and all of them have ended.
func (w *world) disturb(ctx context.Context, t *testing.T) {
	t.Helper()
	var done sync.WaitGroup
	limited, cancel := context.WithTimeout(ctx, disturbed)
	defer cancel()
	for range streams {
		done.Go(func() {
			for limited.Err() == nil {
				w.mu.Lock()
				f := faults[w.rand.IntN(len(faults))]
				w.mu.Unlock()
				t.Logf("%s %s", time.Now().Format("05.000"), f.name)
				f.run(ctx, w)
				w.pause(limited, 400*time.Millisecond)
			}
		})
	}
	done.Wait()
}

func (w *world) pauseFor(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// keepLogs copies the logs of the nodes out of the directory that ends with the test.
func (w *world) keepLogs(t *testing.T, seed uint64) {
	t.Helper()
	to := filepath.Join(os.TempDir(), fmt.Sprintf("egretline-soak-%d", seed))
	if err := os.CopyFS(to, os.DirFS(w.dir)); err != nil {
		t.Logf("logs were not kept: %v", err)
		return
	}
	t.Logf("the logs are in %s", to)
}
