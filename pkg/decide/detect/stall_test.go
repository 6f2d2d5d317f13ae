package detect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against servers that hang for seconds while the timeouts of requests end before the stall age of the pool: a third of
// the servers of one deployment lost three of four of their requests that way, and nothing was held against them.
func TestStalling(t *testing.T) {
	const usual = minOverdueRate
	at := startTime.Add
	overdue := func(s *State, rate float64, d time.Duration) { ObserveOverdue(s, rate, true, avoidOnlySettings, at(d)) }
	t.Run("one overdue request makes others preferred, two within seconds open the breaker", func(t *testing.T) {
		is := is.New(t)
		s := &State{}
		overdue(s, usual, 0)
		is.True(SuspectedOfStalling(s, at(time.Second)))
		assertBreakerState(t, s, false, at(time.Second), Closed)
		overdue(s, usual, time.Second)
		assertBreakerState(t, s, false, at(time.Second), Open)
		is.True(SharesTrials(s))
	})
	t.Run("overdue requests between responses in time do not open it", func(t *testing.T) {
		s := &State{}
		for n := range 20 {
			overdue(s, usual, time.Duration(n)*time.Second)
			for k := range 5 {
				ObserveInTime(s, usual, at(time.Duration(n)*time.Second+time.Duration(k+1)*100*time.Millisecond))
			}
		}
		assertBreakerState(t, s, false, at(20*time.Second), Closed)
	})
	t.Run("in a pool that is slow as a whole no breaker opens", func(t *testing.T) {
		pool := []*State{{}, {}, {}}
		for n := range 10 {
			for _, s := range pool {
				overdue(s, UsualOverdueRate(pool), time.Duration(10+n)*time.Second) // the first ones are far apart
				ObserveInTime(s, UsualOverdueRate(pool), at(time.Duration(10+n)*time.Second))
			}
		}
		for _, s := range pool {
			s.Breaker = Breaker{}
			overdue(s, UsualOverdueRate(pool), 20*time.Second)
			overdue(s, UsualOverdueRate(pool), 20*time.Second)
			assertBreakerState(t, s, false, at(20*time.Second), Closed)
		}
	})
	t.Run("reports of peers add up with own evidence, old ones do not count", func(t *testing.T) {
		s := &State{}
		ObservePeerOverdue(s, usual, time.Minute, avoidOnlySettings, at(0))
		overdue(s, usual, 0)
		assertBreakerState(t, s, false, at(0), Closed)
		ObservePeerOverdue(s, usual, 20*time.Millisecond, avoidOnlySettings, at(0))
		assertBreakerState(t, s, false, at(0), Open)
	})
	t.Run("an overdue trial opens the breaker again at once", func(t *testing.T) {
		s := &State{}
		overdue(s, usual, 0)
		overdue(s, usual, 0)
		later := fastFailureOpenDuration + time.Minute
		assertBreakerState(t, s, false, at(later), HalfOpen)
		overdue(s, usual, later)
		assertBreakerState(t, s, false, at(later), Open)
	})
}

// Guards against breakers that open in an overload, when requests are late but answered: the pool lost servers when it had too few.
func TestOverdueResults(t *testing.T) {
	assertStalling := func(t *testing.T, served, unserved int, want bool) {
		t.Helper()
		var r OverdueResults
		for n := range served + unserved {
			r.Observe(n < served, startTime)
		}
		is.New(t).Equal(r.ShowStalling(), want)
	}
	t.Run("overdue requests that are lost are evidence", func(t *testing.T) { assertStalling(t, 2, 20, true) })
	t.Run("overdue requests that are answered are none", func(t *testing.T) { assertStalling(t, 30, 20, false) })
	t.Run("a few requests do not tell", func(t *testing.T) { assertStalling(t, 0, minOverdueEnded-1, false) })
	t.Run("without evidence no breaker opens", func(t *testing.T) {
		s := &State{}
		for range 5 {
			ObserveOverdue(s, minOverdueRate, false, avoidOnlySettings, startTime)
		}
		assertBreakerState(t, s, false, startTime, Closed)
		is.New(t).True(!SuspectedOfStalling(s, startTime))
	})
}

// Guards against requests that count as overdue although their route is slow, or before anything is known about it.
func TestOverdueAge(t *testing.T) {
	is := is.New(t)
	var l Latencies
	for n := range minOverdueSamples {
		is.Equal(l.OverdueAge(), time.Duration(0))
		l.Observe(time.Duration(300+n%2*200) * time.Millisecond)
	}
	age := l.OverdueAge()
	is.True(age > 500*time.Millisecond && age < 1200*time.Millisecond) // 400 ms in the mean, with a deviation of 100 ms
}
