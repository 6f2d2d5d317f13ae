package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newPatience returns an empty list of a service with 100 requests a second, whose servers turn requests away.
func newPatience() *Patience[string] {
	const perSecond = 100
	p := &Patience[string]{}
	for k := range 10 * perSecond {
		p.ObserveArrival(start.Add(-10*time.Second + time.Duration(k)*time.Second/time.Duration(perSecond)))
		p.ObserveAttempt(true)
	}
	return p
}

func waiting(id string, rank int, inTime, latest time.Duration) Waiting[string] {
	return Waiting[string]{ID: id, Rank: rank, Objective: time.Second, InTimeUntil: start.Add(inTime), LatestStart: start.Add(latest)}
}

func assertReleased(t *testing.T, p *Patience[string], b *Budget, at time.Duration, want ...string) {
	t.Helper()
	var got []string
	for _, w := range p.Release(b, start.Add(at)) {
		got = append(got, w.ID)
	}
	is.New(t).Equal(got, want)
}

// The load: servers turn away part of all requests for longer than the budget lasts. Guards against a budget that goes to
// requests which are too late, and against long waits that end in a refusal.
func TestPatience(t *testing.T) {
	params := BudgetParams{Deposit: 0.2, MaxBalance: 100, Patient: true}
	t.Run("requests in time go first, by rank, the newest of a rank first", func(t *testing.T) {
		p, b := newPatience(), &Budget{Balance: 3, Params: params}
		p.Add(waiting("late", 0, -time.Second, 2*time.Second), start)
		p.Add(waiting("less-urgent", 1, time.Second, 4*time.Second), start)
		p.Add(waiting("old", 0, time.Second/2, 3*time.Second), start)
		p.Add(waiting("new", 0, time.Second, 4*time.Second), start)
		assertReleased(t, p, b, 0, "new", "old", "less-urgent")
		b.Balance = 1
		assertReleased(t, p, b, 0, "late")
	})
	t.Run("the budget pays for no request whose latest start has passed", func(t *testing.T) {
		p, b := newPatience(), &Budget{Balance: 1, Params: params}
		p.Add(waiting("over", 0, -time.Second, time.Second), start)
		assertReleased(t, p, b, time.Second+1)
		p.Add(waiting("late", 0, -time.Second, 2*time.Second), start)
		assertReleased(t, p, b, time.Second+1, "late")
		is.New(t).Equal(len(p.Expire(start.Add(time.Second+1))), 1)
	})
	t.Run("a request that the budget cannot pay for before its deadline is refused at once", func(t *testing.T) {
		p, b := newPatience(), &Budget{Params: params}
		count := 0
		for w := waiting("", 0, time.Second, 4*time.Second); p.CanWait(b, w, start); count++ {
			w.ID = fmt.Sprint(count)
			p.Add(w, start)
		}
		is := is.New(t)
		is.True(count > 60 && count <= 80) // 20 a second for 4 s
		is.True(p.RetryAfter(b, start) >= 3*time.Second)
		is.True(!p.CanWait(b, waiting("over", 0, -time.Second, 0), start))
	})
	t.Run("a request whose deadline is near waits for a part of its objective", func(t *testing.T) {
		p, b := newPatience(), &Budget{Params: params}
		w := waiting("a", 0, time.Second, 3*time.Second/2)
		is := is.New(t)
		is.True(p.CanWait(b, w, start))
		p.Add(w, start)
		is.Equal(len(p.Expire(start.Add(time.Second/4))), 0)
		is.Equal(len(p.Expire(start.Add(time.Second/4+1))), 1)
	})
	t.Run("a wait ends after two objectives unless servers accept again", func(t *testing.T) {
		is := is.New(t)
		p := newPatience()
		p.Add(waiting("a", 0, time.Second, 5*time.Second), start)
		for range 64 {
			p.ObserveAttempt(false)
		}
		is.Equal(len(p.Expire(start.Add(3*time.Second))), 0)
		p.ObserveAttempt(true)
		p.ObserveAttempt(true)
		is.Equal(len(p.Expire(start.Add(3*time.Second))), 1)
	})
}
