// Package configcmd changes the Config table: it follows the platform's log, folds its records into the configuration,
// and appends the files that operators apply.
package configcmd

import (
	"context"
	"time"
)

// Streams of the platform's log that hold the configuration.
const (
	// ApplyStream holds the apply records.
	ApplyStream = "config-applies"
	// SnapshotStream holds snapshots of the folded state.
	SnapshotStream = "config-snapshots"
)

// Log is the platform's append-only log. Offsets of a stream are dense.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may still have been appended, or may yet be.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from the offset on and waits up to wait for the first. It returns an error that implements
	// Expired if the offset is below the oldest retained one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
	// Last returns the newest record, or a batch without records if there is none.
	Last(ctx context.Context, stream string) (Batch, error)
}

// Expired is implemented by the error of a read below the oldest retained offset.
type Expired interface {
	error
	// FirstOffset returns the oldest retained offset.
	FirstOffset() int64
}

// Batch is the result of a read.
type Batch struct {
	// First is the oldest retained offset.
	First int64
	// Next is the offset that the next append gets.
	Next    int64
	Records []Record
}

// Record is one record of a stream.
type Record struct {
	Offset int64
	// Time is when the log took the record, by the log's clock.
	Time time.Time
	Data []byte
}
