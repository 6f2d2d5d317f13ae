package configcmd

import "fmt"

// LogTruncatedError reports a log with fewer records than the node has folded, for example after the log lost data. The
// node keeps its state.
type LogTruncatedError struct {
	// LogEnd is the offset of the next append.
	LogEnd int64
	// FoldedEnd is the offset of the first record that the node has not folded.
	FoldedEnd int64
}

func (e LogTruncatedError) Error() string {
	return fmt.Sprintf("the log ends at offset %d, before offset %d that was read earlier", e.LogEnd, e.FoldedEnd)
}

// RecordsExpiredError reports that records have expired which the node has not read and no snapshot or peer covers.
type RecordsExpiredError struct {
	// FirstMissing is the offset of the first record that the node has not folded.
	FirstMissing int64
	// OldestRetained is the offset of the oldest record in the log.
	OldestRetained int64
}

func (e RecordsExpiredError) Error() string {
	return fmt.Sprintf("records %d to %d have expired, and no snapshot or peer covers them",
		e.FirstMissing, e.OldestRetained-1)
}

// UnknownOutcomeError reports an apply whose record may or may not be in the log. It is safe to apply the same contents
// again with the same ID, because an ID takes effect once.
type UnknownOutcomeError struct {
	ApplyID string
	Cause   error
}

func (e UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of apply %s is unknown: %v", e.ApplyID, e.Cause)
}

// Unwrap returns the cause.
func (e UnknownOutcomeError) Unwrap() error { return e.Cause }

// DecisionEvictedError reports an apply whose record was folded, but whose decision has been evicted from the state.
type DecisionEvictedError struct {
	Offset int64
}

func (e DecisionEvictedError) Error() string {
	return fmt.Sprintf("the verdict on the record at offset %d is no longer remembered", e.Offset)
}

// ReusedIDError reports an apply ID that was already used for another file or other contents.
type ReusedIDError struct {
	ApplyID string
	File    string
}

func (e ReusedIDError) Error() string {
	return fmt.Sprintf("apply ID %s was used before for other contents of %s; use a new ID", e.ApplyID, e.File)
}

// RequestError reports an apply with an invalid ID or base revision.
type RequestError struct {
	Field  string
	Remedy string
}

func (e RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Remedy)
}
