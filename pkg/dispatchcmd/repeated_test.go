package dispatchcmd

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Guards against retries that no budget is charged for: a node forwards a request to a second node after the first one, which
// may have sent it to a backend server, did not answer.
func TestRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		balance    float64
		idempotent bool
		want       retry.Reason
	}{
		"the budget pays for it":              {1, true, retry.Allowed},
		"the budget is spent":                 {0.5, true, retry.BudgetSpent},
		"this node's route is not idempotent": {1, false, retry.PossiblyRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, f := is.New(t), newFixture(8, 2)
				f.SetRetryBudgetParams(retry.BudgetParams{Deposit: 1, MaxBalance: 1, InitialBalance: c.balance})
				r := &fakeRunner{}
				one := f.ticket("a", time.Second, r)
				one.Repeated, one.Idempotent = true, c.idempotent
				result := f.roundTrip(one)
				var refused RepeatedError
				if c.want == retry.Allowed {
					is.Equal(result.Outcome, fleet.Answered)
				} else {
					is.True(errors.As(result.Err, &refused))
					is.Equal(refused.Reason, c.want)
					is.Equal(len(r.sent), 0)
				}
				var left float64
				f.Tables.Budgets.Read(guard.Held{}, func(_ guard.Held, b *table.Budgets) { left = b.Services[service].Balance })
				want := c.balance
				if c.want == retry.Allowed {
					want -= retry.WithdrawalPerRetry // the first node earned the deposit
				}
				is.Equal(left, want)
				f.Close()
			})
		})
	}
}
