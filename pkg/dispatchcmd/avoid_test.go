package dispatchcmd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// failFast records a fast failure of the server some time ago.
func (n *node) failFast(address string, ago time.Duration) {
	n.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s := &b.Services[service][address].State
		settings := detect.SettingsOf(fleet.Service{Preference: fleet.AvoidOnly})
		x := detect.Sample{Evidence: fleet.Failed, Latency: time.Millisecond}
		detect.Observe(s, x, detect.Baseline{Latency: time.Second}, settings, time.Now().Add(-ago))
	})
}

// assertSent runs the tickets one after another and compares the servers that got them with those allowed.
func assertSent(t *testing.T, n *node, tickets []*table.Ticket, allowed ...string) {
	t.Helper()
	is := is.New(t)
	for _, one := range tickets {
		is.Equal(n.do(one).Outcome, fleet.Answered)
		for _, address := range one.Runner.(*runner).sent {
			ok := false
			for _, a := range allowed {
				ok = ok || a == address
			}
			is.True(ok)
		}
	}
}

func (n *node) tickets(count int) []*table.Ticket {
	var list []*table.Ticket
	for range count {
		list = append(list, n.ticket("a", time.Minute, &runner{}))
	}
	return list
}

func TestAvoidance(t *testing.T) {
	t.Run("an avoided server gets nothing while others serve", func(t *testing.T) {
		trial(t, 8, 3, func(_ *is.I, n *node) {
			n.failFast("s0", 0)
			assertSent(t, n, n.tickets(20), "s1", "s2")
		})
	})
	// Guards against trials that use up the retry budget: a pool with room tries a server when its time is over, not
	// before.
	t.Run("an idle pool does not try a server early", func(t *testing.T) {
		trial(t, 8, 3, func(_ *is.I, n *node) {
			n.failFast("s0", 3*time.Second)
			assertSent(t, n, n.tickets(20), "s1", "s2")
		})
	})
	t.Run("a pool that is half full tries it early by an idempotent request", func(t *testing.T) {
		trial(t, 8, 3, func(is *is.I, n *node) {
			n.failFast("s0", 3*time.Second)
			busy := n.start(n.tickets(2)...)
			tried := n.ticket("a", time.Minute, &runner{})
			other := n.ticket("a", time.Minute, &runner{})
			other.Idempotent = false
			wait := n.start(other, tried)
			wait()
			busy()
			is.Equal(tried.Runner.(*runner).sent, []string{"s0"})
			is.True(other.Runner.(*runner).sent[0] != "s0")
		})
	})
	// Guards against a pool without a welcome server that serves nobody.
	t.Run("with all servers avoided requests are still sent", func(t *testing.T) {
		trial(t, 8, 2, func(_ *is.I, n *node) {
			n.failFast("s0", 0)
			n.failFast("s1", 0)
			assertSent(t, n, n.tickets(2), "s0", "s1")
		})
	})
}

func TestPatience(t *testing.T) {
	stalled := func(n *node, servers int) *table.Ticket {
		takes := map[string]time.Duration{}
		for k := range servers - 1 {
			takes["s"+string(rune('0'+k))] = time.Minute
		}
		one := n.ticket("a", 4*time.Second, &runner{Takes: takes})
		one.Patience, one.MaxRuns = 2*time.Second, 2
		return one
	}
	t.Run("a stalled attempt makes way for another server", func(t *testing.T) {
		trial(t, 8, 2, func(is *is.I, n *node) {
			one := stalled(n, 2)
			r := n.do(one)
			is.Equal(r.Outcome, fleet.Answered)
			is.Equal(one.Runner.(*runner).sent[len(one.Runner.(*runner).sent)-1], "s1")
		})
	})
	// Guards against an attempt that is cut although nothing can follow it, or on a node that is leaving: the server was at
	// work, and the caller gets an error in place of its response.
	for name, prepare := range map[string]func(*node){
		"without budget the server goes on":        func(n *node) { n.SetRetries(retry.Terms{}) },
		"on a leaving node the server goes on":     func(n *node) { n.KeepAttempts() },
		"without time for another it goes on, too": func(n *node) { n.learn(1500 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			trial(t, 8, 2, func(is *is.I, n *node) {
				prepare(n)
				takes := map[string]time.Duration{"s0": 3 * time.Second, "s1": 3 * time.Second}
				one := n.ticket("a", 4*time.Second, &runner{Takes: takes})
				one.Patience, one.MaxRuns = 2*time.Second, 2
				r := n.do(one)
				is.Equal(r.Outcome, fleet.Answered)
				is.Equal(r.Attempts, 1)
			})
		})
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
