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

// Environment variables that select the seeds and the number of nodes.
const (
	envSeeds     = "SOAK_SEEDS"
	envFirstSeed = "SOAK_FIRST"
	envNodes     = "SOAK_NODES"
)

const (
	faultDuration = 8 * time.Second
	// recoveryDuration is the time after the last fault until the fleet must serve normally, assessmentDuration the time
	// after it in which minSuccessFraction applies.
	recoveryDuration   = 8 * time.Second
	assessmentDuration = 2 * time.Second
	callerCount        = 10
	// burstSize is the number of requests in a burst.
	burstSize = 300
	// faultStreamCount is the number of sequences of faults that run concurrently.
	faultStreamCount = 3
	// minSuccessFraction is the fraction of calls that must succeed after the recovery.
	minSuccessFraction = 0.95
)

// regressionSeeds are seeds that failed earlier, each with its cause. Every run of the test includes them.
var regressionSeeds = []uint64{}

// TestSoak runs one seed, or the number of seeds that SOAK_SEEDS asks for, and then the regression seeds.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "egretline-platform")
	is.New(t).NoErr(fleetproc.Build(t.Context(), "../..", filepath.Dir(program)))
	first, seeds := intFromEnv(t, envFirstSeed, 1), intFromEnv(t, envSeeds, 1)
	for k := range seeds {
		t.Run(fmt.Sprint("seed ", first+k), func(t *testing.T) { runSeed(t, program, uint64(first+k)) })
	}
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprint("regression ", seed), func(t *testing.T) { runSeed(t, program, seed) })
	}
}

// intFromEnv returns the integer in the environment variable, or fallback if the variable is empty.
func intFromEnv(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	is.New(t).NoErr(err)
	return n
}

// runSeed runs callers through the faults of one seed and checks the guarantees.
func runSeed(t *testing.T, program string, seed uint64) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h := newHarness(ctx, t, program, seed, intFromEnv(t, envNodes, 5), 12)
	var workers sync.WaitGroup
	callersCtx, stop := context.WithCancel(ctx)
	for k := range callerCount {
		workers.Go(func() { newCaller(h, k, seed).run(callersCtx) })
	}
	for k := range floodCallerCount {
		workers.Go(func() {
			c := newCaller(h, callerCount+k, seed)
			c.customer, c.interval = floodCustomer, 10*time.Millisecond
			c.run(callersCtx)
		})
	}
	is.NoErr(fleetproc.Await(ctx, "a call succeeds", func() bool { return h.successFraction(time.Time{}) > 0 }))
	h.injectFaults(ctx, t)
	h.sleep(recoveryDuration)
	since := time.Now()
	h.sleep(assessmentDuration)
	stop()
	workers.Wait()
	h.checkProcesses()
	for _, v := range h.violations() {
		t.Error(v)
	}
	if fraction := h.successFraction(since); fraction < minSuccessFraction {
		t.Errorf("recovery: %.3f of the calls succeeded", fraction)
	}
	t.Logf("%d calls, %.3f served", len(h.calls.snapshot()), h.successFraction(time.Time{}))
	if t.Failed() {
		h.saveLogs(t, seed)
	}
}

// injectFaults runs sequences of random faults for faultDuration and returns when the last faults are over.
func (h *harness) injectFaults(ctx context.Context, t *testing.T) {
	t.Helper()
	var streams sync.WaitGroup
	streamCtx, cancel := context.WithTimeout(ctx, faultDuration)
	defer cancel()
	for range faultStreamCount {
		streams.Go(func() {
			for streamCtx.Err() == nil {
				h.mu.Lock()
				f := faults[h.rng.IntN(len(faults))]
				h.mu.Unlock()
				t.Logf("%s %s", time.Now().Format("05.000"), f.name)
				f.inject(ctx, h)
				h.sleepRandom(streamCtx, 400*time.Millisecond)
			}
		})
	}
	streams.Wait()
}

func (h *harness) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// saveLogs copies the logs of the nodes out of the test's temporary directory, which is deleted at its end.
func (h *harness) saveLogs(t *testing.T, seed uint64) {
	t.Helper()
	to := filepath.Join(os.TempDir(), fmt.Sprintf("egretline-soak-%d", seed))
	if err := os.CopyFS(to, os.DirFS(h.dir)); err != nil {
		t.Logf("cannot save the node logs: %v", err)
		return
	}
	t.Logf("node logs are in %s", to)
}
