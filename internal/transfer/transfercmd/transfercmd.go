// Package transfercmd accounts the bytes that the node holds for its callers and backend servers. It writes the Transfers
// table.
package transfercmd

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/bytebudget"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Commands changes the Transfers table.
type Commands struct {
	Tables *table.Tables
	Logger zerolog.Logger
}

// New returns commands over the tables with a budget of the given number of bytes.
func New(t *table.Tables, limitBytes int64, logger zerolog.Logger) *Commands {
	t.Transfers.Write(guard.Held{}, func(_ guard.Held, v *table.Transfers) { v.Budget.LimitBytes = limitBytes })
	return &Commands{Tables: t, Logger: logger}
}

// Open returns the account of a new request. End must be called when the request has ended.
func (c *Commands) Open(rank, ranks int) *Account {
	return &Account{Commands: c, Transfer: table.Transfer{Rank: rank, Ranks: ranks}}
}

// Account is the account of the bytes that the node holds for one request. At most one goroutine may wait for bytes.
type Account struct {
	Commands *Commands
	// Transfer is guarded by the Transfers table.
	Transfer table.Transfer
}

// TryTake takes bytes if the budget allows them.
func (a *Account) TryTake(d bytebudget.Direction, bytes int64) bool {
	return a.tryTake(d, bytes, false)
}

// Admit takes the bytes that new work with a large body needs. If the budget does not allow them, the work is to be refused,
// and Admit returns the delay after which it is likely to be admitted, and false.
func (a *Account) Admit(now time.Time, d bytebudget.Direction, bytes int64, large bool) (retryAfter time.Duration, ok bool) {
	if a.tryTake(d, bytes, large) {
		return 0, true
	}
	a.write(func(v *table.Transfers) {
		retryAfter = bytebudget.Refuse(&v.Budget, a.need(d, bytes, large), now)
	})
	return retryAfter, false
}

func (a *Account) tryTake(d bytebudget.Direction, bytes int64, large bool) bool {
	var taken bool
	a.write(func(v *table.Transfers) { taken = a.take(v, d, bytes, large) })
	return taken
}

func (a *Account) take(v *table.Transfers, d bytebudget.Direction, bytes int64, large bool) bool {
	if a.Transfer.Ended || !bytebudget.Take(&v.Budget, a.need(d, bytes, large)) {
		return false
	}
	a.Transfer.Held[d] += bytes
	return true
}

// Await takes bytes as soon as the budget allows them, and reports whether it took them before the context ended.
func (a *Account) Await(ctx context.Context, d bytebudget.Direction, bytes int64) bool {
	var taken bool
	a.write(func(v *table.Transfers) {
		if taken = a.take(v, d, bytes, false); taken {
			return
		}
		if a.Transfer.ID == 0 {
			v.NextID++
			a.Transfer.ID = v.NextID
			a.Transfer.Granted = make(chan struct{}, 1)
		}
		bytebudget.Wait(&v.Budget, bytebudget.Waiter{ID: a.Transfer.ID, Need: a.need(d, bytes, false)}, time.Now())
		v.Waiting[a.Transfer.ID] = &a.Transfer
	})
	if taken {
		return true
	}
	select {
	case <-a.Transfer.Granted:
		return true
	case <-ctx.Done():
	}
	a.write(a.stopWaiting)
	select {
	case <-a.Transfer.Granted: // the bytes were taken meanwhile
		return true
	default:
		return false
	}
}

func (a *Account) stopWaiting(v *table.Transfers) {
	bytebudget.Cancel(&v.Budget, a.Transfer.ID)
	delete(v.Waiting, a.Transfer.ID)
}

// Release gives back bytes.
func (a *Account) Release(d bytebudget.Direction, bytes int64) {
	a.write(func(v *table.Transfers) { a.release(v, d, bytes) })
}

func (a *Account) release(v *table.Transfers, d bytebudget.Direction, bytes int64) {
	if bytes = min(bytes, a.Transfer.Held[d]); bytes <= 0 {
		return
	}
	need := a.need(d, bytes, false)
	a.Transfer.Held[d] -= bytes
	for _, w := range bytebudget.Release(&v.Budget, a.Transfer.ID, need, time.Now()) {
		t := v.Waiting[w.ID]
		delete(v.Waiting, w.ID)
		t.Held[w.Direction] += w.Bytes
		t.Granted <- struct{}{} // has room: a transfer waits for one grant at a time
	}
}

// End gives back all bytes. The account may take no more.
func (a *Account) End() {
	a.write(func(v *table.Transfers) {
		a.Transfer.Ended = true
		a.stopWaiting(v)
		for d := range a.Transfer.Held {
			a.release(v, bytebudget.Direction(d), a.Transfer.Held[d])
		}
	})
}

func (a *Account) need(d bytebudget.Direction, bytes int64, large bool) bytebudget.Need {
	held := a.Transfer.Held[bytebudget.Requests] + a.Transfer.Held[bytebudget.Responses]
	return bytebudget.Need{Rank: a.Transfer.Rank, Direction: d, Bytes: bytes, Held: held, Large: large}
}

// write calls fn with the table, and logs when the budget becomes short or sufficient.
func (a *Account) write(fn func(v *table.Transfers)) {
	var wasShort bool
	var b bytebudget.Budget
	a.Commands.Tables.Transfers.Write(guard.Held{}, func(_ guard.Held, v *table.Transfers) {
		wasShort = v.Budget.Short
		bytebudget.SetRanks(&v.Budget, a.Transfer.Ranks)
		fn(v)
		b = v.Budget
	})
	if b.Short == wasShort {
		return
	}
	event, message := a.Commands.Logger.Info(), "byte budget is sufficient again"
	if b.Short {
		event, message = a.Commands.Logger.Warn(), "byte budget is short; transfers are slowed or refused"
	}
	event.Int64("limit-bytes", b.LimitBytes).
		Int64("request-bytes", b.HeldByDirection[bytebudget.Requests]).
		Int64("response-bytes", b.HeldByDirection[bytebudget.Responses]).
		Int64("slowed", b.Slowed).
		Int64("refused", b.Refused).
		Msg(message)
}
