// Package loadcmd runs load experiments: a dispatcher hands requests to a pool of workers at their intended send times,
// whether or not earlier ones have finished (open loop).
package loadcmd

import (
	"context"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/pool"
)

// rankTally is the only lock of a run.
const rankTally guard.Rank = 1

// queueFactor bounds the requests that wait for a worker of the load tool. Further ones are counted as not sent.
const queueFactor = 4

// Sender sends one request and returns its result without the latency.
type Sender interface {
	Send(ctx context.Context, j load.Job) load.Result
}

// Recorder receives every result. It is called by several workers at the same time.
type Recorder interface {
	Record(r load.Result)
}

// Run is one execution of an experiment.
type Run struct {
	Experiment load.Experiment
	// ID is part of each nonce and tells the requests of several runs apart.
	ID       string
	Started  time.Time
	sender   Sender
	recorder Recorder
	tally    *guard.Guard[*load.Tally]
}

// job is one request and the time when it should be sent.
type job struct {
	Request load.Request
	Due     time.Time
	Context context.Context
}

// New returns a run whose send times count from now. The recorder may be nil.
func New(e load.Experiment, id string, s Sender, r Recorder) *Run {
	return &Run{
		Experiment: e, ID: id, Started: time.Now(), sender: s, recorder: r, tally: guard.New(rankTally, load.NewTally(e)),
	}
}

// Do runs the experiment and waits for all its requests. It ends early, without an error, when the context does.
func (r *Run) Do(ctx context.Context) {
	workers := pool.New("load", r.Experiment.Workers, r.Experiment.Workers*queueFactor, r.handle)
	defer workers.Close()
	schedule := load.NewSchedule(r.Experiment)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		request, more := schedule.Next()
		if !more {
			return
		}
		j := job{Request: request, Due: r.Started.Add(request.At), Context: context.WithoutCancel(ctx)}
		timer.Reset(time.Until(j.Due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if err := workers.TrySubmit(j); err != nil {
			r.add(load.Result{Request: request, Class: load.NotSent, Nonce: r.nonce(request), Detail: err.Error()})
		}
	}
}

// Report returns the results so far.
func (r *Run) Report() load.Report {
	var report load.Report
	r.tally.Read(guard.Held{}, func(_ guard.Held, t **load.Tally) { report = load.Summarize(*t, r.Started) })
	return report
}

func (r *Run) handle(j job) {
	result := r.sender.Send(j.Context, load.Job{Experiment: &r.Experiment, Request: j.Request, Nonce: r.nonce(j.Request)})
	result.Latency = time.Since(j.Due)
	r.add(result)
}

func (r *Run) nonce(q load.Request) string {
	return r.ID + "-" + strconv.Itoa(q.Number)
}

func (r *Run) add(result load.Result) {
	r.tally.Write(guard.Held{}, func(_ guard.Held, t **load.Tally) { load.Add(*t, result) })
	if r.recorder != nil {
		r.recorder.Record(result)
	}
}
