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

// LogRecords is the reply of the log service to a read. With status 410 it is the reply to a read below First.
type LogRecords struct {
	// First is the oldest retained offset; it equals Next if the stream has no records.
	First int64 `json:"first"`
	// Next is the offset that the next append gets.
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}
