// Package loadcmd runs open-loop load experiments: a dispatcher submits requests to a worker pool at their intended
// send times, whether or not earlier requests have finished.
package loadcmd

import (
	"context"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/pool"
)

// rankTally is the lock rank of the tally. A run takes no other lock.
const rankTally guard.Rank = 1

// queuedRequestsPerWorker determines the queue length of the worker pool. Requests that find the queue full are counted
// as load.NotSent.
const queuedRequestsPerWorker = 4

// Sender sends one request and returns its result. Run fills in the latency.
type Sender interface {
	Send(ctx context.Context, j load.Job) load.Result
}

// Recorder receives every result. Several workers call it concurrently.
type Recorder interface {
	Record(r load.Result)
}

// Run is one execution of an experiment.
type Run struct {
	Experiment load.Experiment
	// ID prefixes each nonce and distinguishes the requests of different runs.
	ID       string
	Started  time.Time
	sender   Sender
	recorder Recorder
	tally    *guard.Guard[*load.Tally]
}

// dueRequest is a scheduled request with its absolute send time.
type dueRequest struct {
	Request load.Request
	SendAt  time.Time
	Context context.Context
}

// New returns a run that starts now: send times are offsets from this call. The recorder may be nil.
func New(e load.Experiment, id string, s Sender, r Recorder) *Run {
	return &Run{
		Experiment: e, ID: id, Started: time.Now(), sender: s, recorder: r, tally: guard.New(rankTally, load.NewTally(e)),
	}
}

// Do sends the requests of the experiment and waits for them to finish. If ctx is canceled, it stops sending early.
func (r *Run) Do(ctx context.Context) {
	workers := pool.New("load", r.Experiment.Workers, r.Experiment.Workers*queuedRequestsPerWorker, r.send)
	defer workers.Close()
	schedule := load.NewSchedule(r.Experiment)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		request, more := schedule.Next()
		if !more {
			return
		}
		due := dueRequest{Request: request, SendAt: r.Started.Add(request.SendOffset), Context: context.WithoutCancel(ctx)}
		timer.Reset(time.Until(due.SendAt))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if err := workers.TrySubmit(due); err != nil {
			r.addResult(load.Result{Request: request, Class: load.NotSent, Nonce: r.nonce(request), Detail: err.Error()})
		}
	}
}

// Report returns a report of the results so far.
func (r *Run) Report() load.Report {
	var report load.Report
	r.tally.Read(guard.Held{}, func(_ guard.Held, t **load.Tally) { report = load.Summarize(*t, r.Started) })
	return report
}

func (r *Run) send(d dueRequest) {
	result := r.sender.Send(d.Context, load.Job{Experiment: &r.Experiment, Request: d.Request, Nonce: r.nonce(d.Request)})
	result.Latency = time.Since(d.SendAt)
	r.addResult(result)
}

func (r *Run) nonce(request load.Request) string {
	return r.ID + "-" + strconv.Itoa(request.Number)
}

func (r *Run) addResult(result load.Result) {
	r.tally.Write(guard.Held{}, func(_ guard.Held, t **load.Tally) { load.AddResult(*t, result) })
	if r.recorder != nil {
		r.recorder.Record(result)
	}
}
