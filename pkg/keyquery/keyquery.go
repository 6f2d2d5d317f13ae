// Package keyquery reads the Keys table.
package keyquery

import (
	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the Keys table of one node.
type Queries struct {
	Tables *table.Tables
}

// Usage is the size of the Keys table: the number of its keys, the number of running requests and the estimated memory.
type Usage struct {
	Entries int
	Running int
	// Bytes is the estimated memory use of the table.
	Bytes int
}

// Usage returns the size of the Keys table.
func (q *Queries) Usage() Usage {
	var usage Usage
	q.Tables.Keys.Read(guard.Held{}, func(_ guard.Held, k *table.Keys) {
		usage = Usage{Entries: len(k.Claims.Entries), Running: len(k.Finished), Bytes: once.EstimatedBytes(&k.Claims)}
	})
	return usage
}
