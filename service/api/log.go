package api

import "time"

// LogAppended is the log service's reply to an append.
type LogAppended struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// LogRecords is the log service's reply to a read, and with status 410 its reply to a read below First.
type LogRecords struct {
	// First is the oldest retained offset; it equals Next if the stream holds no record.
	First int64 `json:"first"`
	// Next is the offset that the next append gets.
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}
