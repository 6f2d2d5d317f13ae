package dispatchcmd

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// observeConstantServiceTime makes the dispatcher observe requests that all take 100 ms.
func (f *fixture) observeConstantServiceTime() {
	for _, t := range f.tickets(30) {
		f.roundTrip(t)
	}
}

// assertRefusedForStop fails unless the request was refused as not run, to be repeated at another node.
func assertRefusedForStop(t *testing.T, r table.Result) {
	t.Helper()
	is := is.New(t)
	var refused admission.RefusedError
	is.True(errors.As(r.Err, &refused))
	is.Equal(refused.Reason, admission.NodeStopping)
	is.Equal(r.Outcome, fleet.NotRun)
	is.Equal(r.RetryAfter, admission.StoppingRetryAfter)
}

// TestStopAt guards against requests that wait in the queues of a stopping node until their connections are closed
// without an answer.
func TestStopAt(t *testing.T) {
	t.Run("waiting requests that do not fit are refused at once and the others are answered before the stop", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			f.observeConstantServiceTime()
			wait := f.start(f.tickets(40)...) // two slots: two seconds of work
			begin := time.Now()
			stop := begin.Add(time.Second)
			f.StopAt(stop, begin)
			refused := 0
			for _, r := range wait() {
				if r.Outcome != fleet.Answered {
					assertRefusedForStop(t, r)
					refused++
				}
			}
			is.True(!time.Now().After(stop))
			is.True(refused >= 20 && refused < 30)
		})
	})
	t.Run("a request is refused before the stop if no server becomes available", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			slow := map[string]time.Duration{"s0": 10 * time.Second}
			running := f.start(
				f.ticket("a", time.Minute, &fakeRunner{Durations: slow}), f.ticket("a", time.Minute, &fakeRunner{Durations: slow}),
			)
			wait := f.start(f.tickets(1)...)
			begin := time.Now()
			f.StopAt(begin.Add(time.Second), begin)
			time.Sleep(time.Second)
			f.Sweep(time.Now())
			assertRefusedForStop(t, wait()[0])
			is.Equal(time.Since(begin), time.Second)
			running()
		})
	})
	t.Run("a refused attempt is not repeated after the stop", func(t *testing.T) {
		runInBubble(t, 8, 2, func(is *is.I, f *fixture) {
			shed := table.Result{Evidence: fleet.Shed, Sent: true, Err: ServiceError{}}
			r := &fakeRunner{Results: map[string]table.Result{"s0": shed, "s1": shed}}
			wait := f.start(f.ticket("a", time.Minute, r))
			f.StopAt(time.Now(), time.Now())
			assertRefusedForStop(t, wait()[0])
			is.Equal(len(r.sent), 1)
		})
	})
	t.Run("no request is admitted after CloseAdmission", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			is.Equal(f.roundTrip(f.ticket("a", time.Minute, &fakeRunner{})).Outcome, fleet.Answered)
			f.CloseAdmission()
			r := f.roundTrip(f.ticket("a", time.Minute, &fakeRunner{}))
			is.True(errors.As(r.Err, &ClosingError{}))
			is.Equal(r.Outcome, fleet.NotRun)
			is.Equal(r.RetryAfter, admission.StoppingRetryAfter)
		})
	})
}
