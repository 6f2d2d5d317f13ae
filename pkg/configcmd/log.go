// Package configcmd updates the Config table: it follows the platform's log, folds its records into the configuration,
// and appends the files that operators apply.
package configcmd

import (
	"context"
	"time"
)

// Streams of the platform's log that hold the configuration.
const (
	// ApplyStream holds one record for each file that an operator applied.
	ApplyStream = "config-applies"
	// SnapshotStream holds snapshots of the folded state.
	SnapshotStream = "config-snapshots"
)

// Log is the platform's append-only log. The offsets of a stream have no gaps.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may still be appended, at once or later.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records from the offset on, and blocks up to wait until there is one. It returns an
	// ExpiredOffsetError if the offset is below the oldest retained one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
	// Last returns the newest record, or a batch without records if there is none.
	Last(ctx context.Context, stream string) (Batch, error)
}

// ExpiredOffsetError is implemented by the error of a read below the oldest retained offset.
type ExpiredOffsetError interface {
	error
	// FirstOffset returns the offset of the oldest record in the log.
	FirstOffset() int64
}

// Batch is the result of a read.
type Batch struct {
	// OldestOffset is the offset of the oldest record in the log.
	OldestOffset int64
	// NextOffset is the offset of the next append.
	NextOffset int64
	Records    []Record
}

// Record is one record of a stream.
type Record struct {
	Offset int64
	// Time is when the log appended the record, by the clock of the log.
	Time time.Time
	Data []byte
}
