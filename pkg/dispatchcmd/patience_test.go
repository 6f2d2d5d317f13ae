package dispatchcmd

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// turningAway is a pool whose servers turn requests away at random until a given time.
type turningAway struct {
	share    float64
	until    time.Time
	duration time.Duration
	random   *rand.Rand
	lock     chan struct{}
	// again holds the time of each attempt after the first of its request.
	again []time.Time
}

// turnedAwayRunner is a request to such a pool.
type turnedAwayRunner struct {
	fakeRunner
	pool     *turningAway
	attempts int
}

func (r *turnedAwayRunner) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	if r.pool.turnsAway(r.attempts > 0) {
		r.attempts++
		return table.Result{Evidence: fleet.Shed, Sent: true, Err: ServiceError{}}
	}
	r.Durations = map[string]time.Duration{s.Address: r.pool.duration}
	return r.fakeRunner.Send(ctx, s)
}

func (p *turningAway) turnsAway(again bool) bool {
	p.lock <- struct{}{}
	defer func() { <-p.lock }()
	if again {
		p.again = append(p.again, time.Now())
	}
	return time.Now().Before(p.until) && p.random.Float64() < p.share
}

// patienceLoad is a steady load of 100 requests a second.
type patienceLoad struct {
	fault, objective, deadline time.Duration
}

const patienceRate, patienceDuration = 100, 14 * time.Second

// play returns the results of the load, with how long each request took.
func (l patienceLoad) play(f *fixture, p *turningAway) (results []table.Result, took []time.Duration) {
	count := patienceRate * int(patienceDuration/time.Second)
	results, took = make([]table.Result, count), make([]time.Duration, count)
	done := make(chan struct{})
	for k := range count {
		t := f.ticket("a", l.deadline, nil)
		t.Runner, t.Idempotent, t.TargetLatency = &turnedAwayRunner{pool: p}, false, l.objective
		go func() {
			results[k] = f.roundTrip(t)
			took[k] = time.Since(t.Arrived)
			done <- struct{}{}
		}()
		time.Sleep(time.Second / patienceRate)
	}
	for range count {
		<-done
	}
	return results, took
}

type patienceOutcome struct{ inTime, late, refused int }

func playPatience(t *testing.T, l patienceLoad, patient bool) (o patienceOutcome) {
	t.Helper()
	runInBubble(t, 400, 60, func(is *is.I, f *fixture) {
		budget := retry.BudgetParams{Deposit: 0.18, MaxBalance: 60, InitialBalance: 60, UnsentIsFree: true, Patient: patient}
		f.SetRetryBudgetParams(budget)
		p := &turningAway{
			share: 0.55, until: time.Now().Add(l.fault), duration: 150 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2)),
			lock: make(chan struct{}, 1),
		}
		ctx, stop := context.WithCancel(context.Background())
		go func() {
			for ctx.Err() == nil {
				time.Sleep(200 * time.Millisecond)
				f.Sweep(time.Now())
			}
		}()
		results, took := l.play(f, p)
		stop()
		time.Sleep(time.Second) // the last sweep
		for k, r := range results {
			switch {
			case r.Outcome == fleet.Answered && took[k] <= l.objective:
				o.inTime++
			case r.Outcome == fleet.Answered:
				o.late++
			default:
				is.Equal(r.Outcome, fleet.NotRun) // a refusal is true
				is.True(r.RetryAfter > 0)
				is.True(took[k] <= 2*l.objective+l.objective) // the longest wait and a round of attempts
				o.refused++
			}
		}
		assertBudgetKept(t, p.again, budget)
		is.Equal(f.waiting(), 0)
	})
	return o
}

// assertBudgetKept fails if the repeated attempts of some ten seconds exceed the budget of a steady load.
func assertBudgetKept(t *testing.T, again []time.Time, b retry.BudgetParams) {
	t.Helper()
	const window = 10 * time.Second
	for first := range again {
		last := first
		for last < len(again) && again[last].Sub(again[first]) <= window {
			last++
		}
		if allowed := b.Deposit*patienceRate*window.Seconds() + b.MaxBalance + 1; float64(last-first) > allowed {
			t.Fatalf("%d repeated attempts within %s; %.0f are allowed", last-first, window, allowed)
		}
	}
}

// The load: for some seconds all servers of a service turn away 55 in 100 of what reaches them, whatever their load.
// Guards against requests that are refused although they have time left and the servers accept again before it is over,
// and against a retry budget that is exceeded or left unused.
func TestPatience(t *testing.T) {
	commands := patienceLoad{fault: 8500 * time.Millisecond, objective: 1500 * time.Millisecond, deadline: 6 * time.Second}
	postings := patienceLoad{fault: 8500 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 1500 * time.Millisecond}
	for name, l := range map[string]patienceLoad{"deadline far after the objective": commands, "deadline near the objective": postings} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, after := playPatience(t, l, false), playPatience(t, l, true)
			t.Logf("refused at once: %+v; patient: %+v", before, after)
			is.True(after.inTime >= before.inTime)
			is.True(after.refused < before.refused)
		})
	}
}

// Guards against waiting requests that outlive their caller or keep a node from stopping.
func TestWaitEnds(t *testing.T) {
	for name, end := range map[string]func(f *fixture, cancel func()){
		"when the node stops":    func(f *fixture, _ func()) { f.StopAt(time.Now().Add(time.Second), time.Now()) },
		"when the callers leave": func(_ *fixture, cancel func()) { cancel() },
		"after two objectives": func(f *fixture, _ func()) {
			time.Sleep(3*time.Second + 1)
			f.Sweep(time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 100, 60, func(is *is.I, f *fixture) {
				f.SetRetryBudgetParams(retry.BudgetParams{Deposit: 0.2, MaxBalance: 60, UnsentIsFree: true, Patient: true})
				p := &turningAway{
					share: 1, until: time.Now().Add(time.Hour), random: rand.New(rand.NewPCG(1, 2)), lock: make(chan struct{}, 1),
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				var tickets []*table.Ticket
				for range 40 {
					one := f.ticket("a", 6*time.Second, nil)
					one.Runner, one.Context, one.TargetLatency = &turnedAwayRunner{pool: p}, ctx, 1500*time.Millisecond
					tickets = append(tickets, one)
				}
				wait := f.start(tickets...)
				is.True(f.waiting() > 0)
				end(f, cancel)
				is.Equal(outcomes(wait()), map[fleet.Outcome]int{fleet.NotRun: 40})
				is.Equal(f.waiting(), 0)
			})
		})
	}
}

// waiting returns the number of requests that wait for the retry budget.
func (f *fixture) waiting() (count int) {
	f.Tables.Budgets.Read(guard.Held{}, func(_ guard.Held, b *table.Budgets) {
		if p, known := b.Patience[service]; known {
			count = len(p.Items)
		}
	})
	return count
}
