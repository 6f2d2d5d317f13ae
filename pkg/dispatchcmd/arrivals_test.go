package dispatchcmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// arrivals counts the attempts of all requests that reached a server, by request.
type arrivals struct {
	mu    sync.Mutex
	count map[string]int
	rng   *rand.Rand
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count[id]++
}

// beyondFirst returns the number of arrivals beyond the first of each request.
func (a *arrivals) beyondFirst() (n int) {
	for _, count := range a.count {
		n += count - 1
	}
	return n
}

// draw returns the result and the duration of the next attempt. Half of the attempts succeed.
func (a *arrivals) draw() (table.Result, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := time.Duration(a.rng.IntN(3000)) * time.Millisecond
	evidences := []fleet.Evidence{
		fleet.Failed, fleet.Unreachable, fleet.Shed, fleet.Draining, fleet.Withheld, fleet.IdleClosed,
	}
	if k := a.rng.IntN(2 * len(evidences)); k < len(evidences) {
		sent := evidences[k] != fleet.Unreachable && evidences[k] != fleet.Withheld
		return table.Result{Evidence: evidences[k], Sent: sent, Err: ServiceError{}}, d
	}
	return table.Result{Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}, d
}

// countedRunner is a request whose attempts have random results and are counted.
type countedRunner struct {
	ID       string
	Arrivals *arrivals
}

func (c *countedRunner) Send(ctx context.Context, _ fleet.BackendServer) table.Result {
	result, d := c.Arrivals.draw()
	if result.Sent {
		c.Arrivals.add(c.ID)
	}
	select {
	case <-time.After(d):
		return result
	case <-ctx.Done():
		return table.Result{Evidence: fleet.Canceled, Sent: result.Sent, Err: ctx.Err()}
	}
}

func (*countedRunner) Deliver(context.Context) table.Result {
	return table.Result{Outcome: fleet.Answered, Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}
}

func (*countedRunner) Discard() {}

func (c *countedRunner) Duplicate() table.Runner {
	return &countedRunner{ID: c.ID, Arrivals: c.Arrivals}
}

// Guards against arrivals at backend servers that the retry budget is not charged for, whoever sends them: retries, retries
// after a wait for the budget, backup attempts, and requests that another node may have sent before.
func TestRetryBudgetProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		requests := rapid.IntRange(1, 60).Draw(rt, "requests")
		params := retry.BudgetParams{
			Deposit: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "deposit"), MaxBalance: 5, UnsentIsFree: true,
			InitialBalance: rapid.SampledFrom([]float64{0, 1, 5}).Draw(rt, "initial balance"),
			Patient:        rapid.Bool().Draw(rt, "patient"),
		}
		counted := &arrivals{count: map[string]int{}, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "results"), 1))}
		gap := time.Duration(rapid.IntRange(0, 500).Draw(rt, "gap-ms")) * time.Millisecond
		backup := rapid.Bool().Draw(rt, "backups")
		repeated := rapid.SliceOfN(rapid.Bool(), requests, requests).Draw(rt, "repeated")
		first := 0 // requests that no other node has sent
		synctest.Test(t, func(*testing.T) {
			f := newFixture(8, 4)
			f.SetRetryBudgetParams(params)
			var running sync.WaitGroup
			for k := range requests {
				ticket := f.ticket("a", 8*time.Second, nil)
				ticket.ID = fmt.Sprint(k)
				ticket.Runner = &countedRunner{ID: ticket.ID, Arrivals: counted}
				if backup {
					ticket.BackupDelay = time.Second
				}
				if ticket.Repeated = repeated[k]; ticket.Repeated {
					counted.add(ticket.ID)
					ticket.MayHaveRun = true
				} else {
					first++
				}
				running.Go(func() { f.roundTrip(ticket) })
				time.Sleep(gap)
				f.Sweep(time.Now())
			}
			for range 60 { // the sweeps until the last deadline
				time.Sleep(200 * time.Millisecond)
				f.Sweep(time.Now())
			}
			running.Wait()
			f.Close()
		})
		allowed := params.InitialBalance + params.Deposit*float64(first)
		if got := counted.beyondFirst(); float64(got) > allowed {
			rt.Errorf("%d arrivals beyond the first of %d requests, want at most %.1f", got, requests, allowed)
		}
	})
}
