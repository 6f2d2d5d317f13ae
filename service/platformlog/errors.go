package platformlog

import "fmt"

// UnavailableError reports that the log service sent no valid reply. An append may still have taken effect.
type UnavailableError struct {
	// Operation is "append" or "read".
	Operation string
	// Status is the HTTP status of the reply, or 0 if there was none.
	Status int
	Cause  error
}

func (e UnavailableError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("log service: %s: status %d", e.Operation, e.Status)
	}
	return fmt.Sprintf("log service: %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e UnavailableError) Unwrap() error { return e.Cause }

// ExpiredError reports a read below the oldest retained offset.
type ExpiredError struct {
	// OldestOffset is the oldest retained offset.
	OldestOffset int64
	// NextOffset is the offset that the next append gets.
	NextOffset int64
}

func (e ExpiredError) Error() string {
	return fmt.Sprintf("log service: records before offset %d have expired", e.OldestOffset)
}

// FirstOffset returns the oldest retained offset.
func (e ExpiredError) FirstOffset() int64 { return e.OldestOffset }
