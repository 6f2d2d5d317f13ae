package loadcmd

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/load"
)

// slowSender answers each request after a fixed delay and records the maximum number of requests in flight.
type slowSender struct {
	delay       time.Duration
	inFlight    atomic.Int64
	maxInFlight atomic.Int64
}

func (s *slowSender) Send(_ context.Context, j load.Job) load.Result {
	s.maxInFlight.Store(max(s.maxInFlight.Load(), s.inFlight.Add(1)))
	defer s.inFlight.Add(-1)
	time.Sleep(s.delay)
	return load.Result{Request: j.Request, Nonce: j.Nonce, Class: load.Answered}
}

// Guards against coordinated omission: slow responses must not reduce the offered load, and the time that a request
// waits for a worker must count as latency.
func TestOpenLoop(t *testing.T) {
	t.Run("slow responses do not delay later requests", func(t *testing.T) {
		sender, report := runExperiment(t, 1000, time.Second)
		is := is.New(t)
		is.True(sender.maxInFlight.Load() > 50) // at 100 requests per second and a delay of 1 s, about 100 are in flight
		assertClasses(t, report, load.Answered, report.Ranks[0].Offered)
	})
	t.Run("queueing in the load tool counts as latency", func(t *testing.T) {
		_, report := runExperiment(t, 10, time.Second)
		is := is.New(t)
		latency := report.Ranks[0].Latency
		is.True(latency[len(latency)-1].Milliseconds >= 2000)
	})
	t.Run("requests that find the queue full are counted as not sent", func(t *testing.T) {
		_, report := runExperiment(t, 1, time.Second)
		is := is.New(t)
		is.True(load.CountClass(report, load.NotSent) > 0)
		assertClasses(t, report, load.Answered, report.Ranks[0].Offered-load.CountClass(report, load.NotSent))
	})
}

// Guards against requests that are missing from the request log, which would hide violations from the checks on it.
func TestRequestLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		e := newExperiment(100)
		l := NewRequestLog(&out, e)
		run := New(e, "run", &slowSender{}, l)
		run.Do(t.Context())
		is := is.New(t)
		is.NoErr(l.Close())
		is.Equal(int64(strings.Count(out.String(), "\n")), run.Report().Ranks[0].Offered)
	})
}

func newExperiment(workers int) load.Experiment {
	return load.Experiment{
		Seed:     1,
		Duration: time.Second,
		Workers:  workers,
		Tenants:  []load.Tenant{{Name: "shop", Weight: 1}},
		Flows:    []load.Flow{{Name: "lookups", Rank: "lookups", RequestsPerSecond: 100}},
	}
}

func runExperiment(t *testing.T, workers int, delay time.Duration) (*slowSender, load.Report) {
	t.Helper()
	sender := &slowSender{delay: delay}
	var report load.Report
	synctest.Test(t, func(t *testing.T) {
		run := New(newExperiment(workers), "run", sender, nil)
		run.Do(t.Context())
		report = run.Report()
	})
	return sender, report
}

func assertClasses(t *testing.T, r load.Report, c load.Class, want int64) {
	t.Helper()
	is.New(t).Equal(load.CountClass(r, c), want)
}
