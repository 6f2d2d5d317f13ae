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

// slowSender answers each request after a delay and tracks the requests in flight.
type slowSender struct {
	delay    time.Duration
	inFlight atomic.Int64
	most     atomic.Int64
}

func (s *slowSender) Send(_ context.Context, j load.Job) load.Result {
	s.most.Store(max(s.most.Load(), s.inFlight.Add(1)))
	defer s.inFlight.Add(-1)
	time.Sleep(s.delay)
	return load.Result{Request: j.Request, Nonce: j.Nonce, Class: load.Answered}
}

// Guards against coordinated omission: a slow fleet must not slow down the load, and waiting for a worker must show in
// the latency.
func TestOpenLoop(t *testing.T) {
	t.Run("slow responses do not delay later requests", func(t *testing.T) {
		sender, report := runExperiment(t, 1000, time.Second)
		is := is.New(t)
		is.True(sender.most.Load() > 50) // about 100 are sent in the second that one takes
		assertClasses(t, report, load.Answered, report.Ranks[0].Offered)
	})
	t.Run("waiting in the load tool counts as latency", func(t *testing.T) {
		_, report := runExperiment(t, 10, time.Second)
		is := is.New(t)
		latency := report.Ranks[0].Latency
		is.True(latency[len(latency)-1].Milliseconds >= 2000)
	})
	t.Run("requests that find the tool full are counted", func(t *testing.T) {
		_, report := runExperiment(t, 1, time.Second)
		is := is.New(t)
		is.True(load.Count(report, load.NotSent) > 0)
		assertClasses(t, report, load.Answered, report.Ranks[0].Offered-load.Count(report, load.NotSent))
	})
}

// Guards against a request log that misses requests, which would hide a violation from the checks that read it.
func TestRequestLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		e := experiment(100)
		l := NewRequestLog(&out, e)
		run := New(e, "run", &slowSender{}, l)
		run.Do(t.Context())
		is := is.New(t)
		is.NoErr(l.Close())
		is.Equal(int64(strings.Count(out.String(), "\n")), run.Report().Ranks[0].Offered)
	})
}

func experiment(workers int) load.Experiment {
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
		run := New(experiment(workers), "run", sender, nil)
		run.Do(t.Context())
		report = run.Report()
	})
	return sender, report
}

func assertClasses(t *testing.T, r load.Report, c load.Class, want int64) {
	t.Helper()
	is.New(t).Equal(load.Count(r, c), want)
}
