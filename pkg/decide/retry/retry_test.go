package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

var evidences = []fleet.Evidence{
	fleet.Succeeded, fleet.Failed, fleet.Unreachable, fleet.Shed, fleet.Draining, fleet.Canceled,
}

func drawAttempt(t *rapid.T) Attempt {
	return Attempt{
		Evidence:   rapid.SampledFrom(evidences).Draw(t, "evidence"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Sent:       rapid.Bool().Draw(t, "sent"),
		TimeLeft:   time.Duration(rapid.IntRange(-1, 5).Draw(t, "left")) * time.Second,
	}
}

// maxRetriesPerRequest is the highest long-run ratio of retries to first attempts, an amplification of 1.1.
const maxRetriesPerRequest = 0.1

func TestDecide(t *testing.T) {
	t.Run("retries do not exceed a tenth of the first attempts plus the cap", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			b, first, retries := NewBudget(), 0, 0
			for range rapid.IntRange(1, 300).Draw(t, "requests") {
				first++
				Deposit(&b)
				a := drawAttempt(t)
				for Decide(a, &b) == Allowed {
					retries++
				}
				if float64(retries) > maxRetriesPerRequest*float64(first)+DefaultMaxBalance {
					t.Fatalf("%d retries after %d first attempts", retries, first)
				}
			}
		})
	})
	t.Run("a request that is not idempotent runs at most once", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			b, runs := NewBudget(), 0
			var a Attempt
			for {
				mayHaveRun := a.MayHaveRun || a.Evidence != "" && !ProvenNotRun(a)
				a = drawAttempt(t)
				a.Idempotent, a.MayHaveRun = false, mayHaveRun
				if a.Sent && a.Evidence != fleet.Shed && a.Evidence != fleet.Draining {
					runs++
				}
				if Decide(a, &b) != Allowed {
					break
				}
			}
			if runs > 1 {
				t.Fatalf("the request may have run %d times", runs)
			}
			if outcome := Outcome(a); (outcome == fleet.NotRun) != (runs == 0) {
				t.Fatalf("the reported outcome is %s, but the request may have run %d times", outcome, runs)
			}
		})
	})
	t.Run("a request that may have run is never reported as not-run", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			a := drawAttempt(t)
			a.MayHaveRun = true
			if outcome := Outcome(a); outcome != fleet.Unknown {
				t.Fatalf("the reported outcome is %s after an earlier attempt that may have run", outcome)
			}
		})
	})
	t.Run("each condition that prevents a retry has its reason", func(t *testing.T) {
		failed := Attempt{Evidence: fleet.Failed, Idempotent: true, Sent: true, TimeLeft: time.Second}
		for _, c := range []struct {
			change func(*Attempt)
			budget Budget
			want   Reason
		}{
			{func(*Attempt) {}, NewBudget(), Allowed},
			{func(*Attempt) {}, Budget{Balance: 0.9}, BudgetSpent},
			{func(a *Attempt) { a.TimeLeft = 0 }, NewBudget(), DeadlinePassed},
			{func(a *Attempt) { a.Idempotent = false }, NewBudget(), PossiblyRun},
			{func(a *Attempt) { a.Evidence = fleet.Canceled }, NewBudget(), CallerGone},
			{func(a *Attempt) { a.Evidence = fleet.Succeeded }, NewBudget(), Complete},
			{func(a *Attempt) { a.BodyLost = true }, NewBudget(), BodyLost},
		} {
			t.Run(string(c.want), func(t *testing.T) {
				a := failed
				c.change(&a)
				is.New(t).Equal(Decide(a, &c.budget), c.want)
			})
		}
	})
}
