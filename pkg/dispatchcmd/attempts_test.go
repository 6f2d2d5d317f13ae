package dispatchcmd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// sameResultRunner is a request whose every attempt has the same result, after no time.
type sameResultRunner struct {
	fakeRunner
	Result table.Result
}

func (r *sameResultRunner) Send(_ context.Context, s fleet.BackendServer) table.Result {
	r.sent = append(r.sent, s.Address)
	return r.Result
}

// TestAttemptsBound guards against one request that makes thousands of attempts, because each of them fails at once and
// is not charged to the retry budget.
func TestAttemptsBound(t *testing.T) {
	evidences := []fleet.Evidence{fleet.Failed, fleet.Unreachable, fleet.Shed, fleet.Draining, fleet.Withheld}
	rapid.Check(t, func(rt *rapid.T) {
		servers := rapid.IntRange(1, 80).Draw(rt, "servers")
		result := table.Result{
			Evidence: rapid.SampledFrom(evidences).Draw(rt, "evidence"), Sent: rapid.Bool().Draw(rt, "sent"), Err: ServiceError{},
		}
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(8, servers)
			f.SetRetryBudgetParams(retry.BudgetParams{Deposit: 0.2, MaxBalance: 1000, InitialBalance: 1000, UnsentIsFree: true})
			r := &sameResultRunner{Result: result}
			ticket := f.ticket("a", time.Minute, &r.fakeRunner)
			ticket.Runner, ticket.Idempotent = r, idempotent
			wait := f.start(ticket)
			for range 300 { // the sweeps of a minute
				time.Sleep(200 * time.Millisecond)
				f.Sweep(time.Now())
			}
			is.New(t).True(wait()[0].Outcome != fleet.Answered)
			if len(r.sent) > retry.MaxAttempts {
				t.Errorf("%d attempts with %d servers and %s", len(r.sent), servers, result.Evidence)
			}
			f.Close()
			f.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) { is.New(t).Equal(q.Unfinished, 0) })
		})
	})
}
