package dispatchcmd

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// twin is a request that can be sent to two servers at the same time. All its copies share the record of what was sent.
type twin struct {
	runner
	Shared *twinRecord
}

type twinRecord struct {
	mu        sync.Mutex
	sent      []string
	delivered int
	discarded int
}

func (w *twin) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	w.Shared.mu.Lock()
	w.Shared.sent = append(w.Shared.sent, s.Address)
	w.Shared.mu.Unlock()
	result := w.runner.Send(ctx, s)
	if ctx.Err() != nil && result.Evidence == fleet.Failed {
		result.Evidence = fleet.Canceled
	}
	return result
}

func (w *twin) Deliver(ctx context.Context) table.Result {
	w.Shared.delivered++
	return w.runner.Deliver(ctx)
}

func (w *twin) Discard() { w.Shared.discarded++ }

func (w *twin) Duplicate() table.Runner {
	return &twin{runner: runner{Takes: w.Takes, Results: w.Results}, Shared: w.Shared}
}

// lookup returns a request of four seconds whose backup is due after two.
func (n *node) lookup(takes map[string]time.Duration, results map[string]table.Result) (*table.Ticket, *twinRecord) {
	record := &twinRecord{}
	t := n.ticket("a", 4*time.Second, nil)
	t.Runner = &twin{runner: runner{Takes: takes, Results: results}, Shared: record}
	t.Patience, t.MaxRuns = 2*time.Second, 2
	return t, record
}

func everywhere(takes time.Duration) map[string]time.Duration {
	return map[string]time.Duration{"s0": takes, "s1": takes, "s2": takes}
}

// assertServed fails unless the request was answered after the time by one of the given number of attempts.
func assertServed(t *testing.T, n *node, one *table.Ticket, record *twinRecord, after time.Duration, attempts int) {
	t.Helper()
	is := is.New(t)
	r := n.do(one)
	is.Equal(r.Outcome, fleet.Answered)
	is.Equal(time.Since(one.Arrived), after)
	is.Equal(len(record.sent), attempts)
	is.Equal(record.delivered, 1)
	is.Equal(record.discarded, attempts-1) // no connection of the other attempt is left
}

func TestBackup(t *testing.T) {
	// Guards against a stalled server that uses up the time of a request which another one can answer.
	t.Run("a stalled server is overtaken", func(t *testing.T) {
		trial(t, 8, 2, func(_ *is.I, n *node) {
			id := first(n)
			one, record := n.lookup(map[string]time.Duration{"s0": time.Minute, "s1": time.Second}, nil)
			one.ID = id
			assertServed(t, n, one, record, 3*time.Second, 2)
		})
	})
	// Guards against cutting a request that takes long wherever it runs: cut at half of its time, it never ends.
	t.Run("a long request is answered by its first server", func(t *testing.T) {
		trial(t, 8, 3, func(_ *is.I, n *node) {
			one, record := n.lookup(everywhere(3*time.Second), nil)
			assertServed(t, n, one, record, 3*time.Second, 2)
		})
	})
	t.Run("a short request has no backup", func(t *testing.T) {
		trial(t, 8, 3, func(_ *is.I, n *node) {
			one, record := n.lookup(everywhere(time.Second), nil)
			assertServed(t, n, one, record, time.Second, 1)
		})
	})
	// Guards against an error that wins against a response which comes a moment later.
	t.Run("a failure of the backup leaves the first attempt", func(t *testing.T) {
		trial(t, 8, 2, func(_ *is.I, n *node) {
			failed := map[string]table.Result{"s1": {Evidence: fleet.Failed, Sent: true, Response: true, Status: 500}}
			id := first(n)
			one, record := n.lookup(map[string]time.Duration{"s0": 3 * time.Second, "s1": time.Millisecond}, failed)
			one.ID = id
			assertServed(t, n, one, record, 3*time.Second, 2)
		})
	})
	t.Run("a failure of the first attempt leaves the backup", func(t *testing.T) {
		trial(t, 8, 2, func(_ *is.I, n *node) {
			failed := map[string]table.Result{"s0": {Evidence: fleet.Failed, Sent: true, Response: true, Status: 500}}
			id := first(n)
			one, record := n.lookup(map[string]time.Duration{"s0": 2500 * time.Millisecond, "s1": time.Second}, failed)
			one.ID = id
			assertServed(t, n, one, record, 3*time.Second, 2)
		})
	})
	// Guards against work that is done twice for nothing, and against more runs than the route allows.
	for name, prepare := range map[string]func(*node, *table.Ticket){
		"without retry budget":                     func(n *node, _ *table.Ticket) { n.SetRetries(retry.Terms{}) },
		"on a leaving node":                        func(n *node, _ *table.Ticket) { n.KeepAttempts() },
		"without time for it":                      func(n *node, _ *table.Ticket) { n.learn(1500 * time.Millisecond) },
		"of a route that allows one server":        func(_ *node, t *table.Ticket) { t.MaxRuns = 1 },
		"of a request that must not be repeated":   func(_ *node, t *table.Ticket) { t.Idempotent = false },
		"while no welcome server has room":         func(n *node, _ *table.Ticket) { n.failFast("s1", 0) },
		"of a request whose body can be sent once": func(_ *node, t *table.Ticket) { t.Runner = &once{Runner: t.Runner} },
	} {
		t.Run("there is no backup "+name, func(t *testing.T) {
			trial(t, 8, 2, func(_ *is.I, n *node) {
				one, record := n.lookup(everywhere(3*time.Second), nil)
				one.ID = first(n)
				prepare(n, one)
				one.Arrived, one.Deadline = time.Now(), time.Now().Add(4*time.Second)
				one.Context = context.Background()
				assertServed(t, n, one, record, 3*time.Second, 1)
			})
		})
	}
	// Guards against a third run of a request whose route allows two.
	t.Run("two attempts that fail are all", func(t *testing.T) {
		trial(t, 8, 3, func(is *is.I, n *node) {
			failed := table.Result{Evidence: fleet.Failed, Sent: true, Response: true, Status: 500}
			one, record := n.lookup(everywhere(2500*time.Millisecond), map[string]table.Result{"s0": failed, "s1": failed, "s2": failed})
			one.Deadline = one.Arrived.Add(time.Minute)
			one.Context = context.Background()
			r := n.do(one)
			is.Equal(len(record.sent), 2)
			is.Equal(r.Ended, retry.RunsSpent)
		})
	})
	t.Run("a caller that leaves ends both attempts", func(t *testing.T) {
		trial(t, 8, 2, func(is *is.I, n *node) {
			one, record := n.lookup(everywhere(time.Minute), nil)
			ctx, cancel := context.WithTimeout(one.Context, 3*time.Second)
			defer cancel()
			one.Context = ctx
			r := n.do(one)
			is.Equal(r.Outcome, fleet.Unknown)
			is.Equal(time.Since(one.Arrived), 3*time.Second)
			is.Equal(len(record.sent), 2)
		})
	})
}

// once is a runner that does not say whether it can be sent twice.
type once struct{ table.Runner }

// first returns the ID of a request whose first attempt goes to s0.
func first(n *node) string {
	for {
		probe := n.ticket("a", time.Minute, &runner{})
		n.do(probe)
		if probe.Runner.(*runner).sent[0] == "s0" {
			return probe.ID
		}
	}
}

// learn has the node learn that requests take the time.
func (n *node) learn(takes time.Duration) {
	for range 20 {
		n.do(n.ticket("a", time.Minute, &runner{Takes: map[string]time.Duration{"s0": takes, "s1": takes}}))
	}
	n.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		q.Services[service].Ranks[0].ServiceTime.Deviation = takes
	})
}
