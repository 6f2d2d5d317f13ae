package api

import "time"

// LogAppended is the reply of the log service to an append.
type LogAppended struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// LogRecords is the reply of the log service to a read. With status 410 it is the reply to a read below OldestOffset.
type LogRecords struct {
	// OldestOffset is the oldest retained offset; it equals NextOffset if the stream has no records.
	OldestOffset int64 `json:"first"`
	// NextOffset is the offset that the next append gets.
	NextOffset int64       `json:"next"`
	Records    []LogRecord `json:"records"`
}
