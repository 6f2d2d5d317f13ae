// Package transferquery reads the Transfers table.
package transferquery

import (
	"egretline.example/egretline/internal/decide/bytebudget"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the Transfers table.
type Queries struct {
	Tables *table.Tables
}

// Usage is what the node holds for callers and backend servers.
type Usage struct {
	LimitBytes    int64
	RequestBytes  int64
	ResponseBytes int64
	// Waiting is the number of transfers that are slowed now.
	Waiting int
	// Slowed and Refused count the transfers that were slowed and refused since the node started.
	Slowed  int64
	Refused int64
	// Short reports whether the budget binds.
	Short bool
}

// Usage returns the current usage of the byte budget.
func (q *Queries) Usage() Usage {
	var u Usage
	q.Tables.Transfers.Read(guard.Held{}, func(_ guard.Held, v *table.Transfers) {
		b := &v.Budget
		u = Usage{
			LimitBytes: b.LimitBytes, RequestBytes: b.HeldByDirection[bytebudget.Requests],
			ResponseBytes: b.HeldByDirection[bytebudget.Responses], Waiting: len(b.Waiting),
			Slowed: b.Slowed, Refused: b.Refused, Short: b.Short,
		}
	})
	return u
}
