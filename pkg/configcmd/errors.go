package configcmd

import "fmt"

// BehindError reports a log that holds fewer records than the node has folded, as after a loss of data in the log. The
// node keeps its state.
type BehindError struct {
	// Next is the offset that the next append to the log gets.
	Next int64
	// Folded is the offset up to which the node has read the log before.
	Folded int64
}

func (e BehindError) Error() string {
	return fmt.Sprintf("the log ends at offset %d, before offset %d that was read earlier", e.Next, e.Folded)
}

// CannotJoinError reports that records which the node has not read have expired, and that neither a snapshot nor a peer
// covers them.
type CannotJoinError struct {
	// Next is the offset of the first record that the node lacks.
	Next int64
	// First is the oldest retained offset.
	First int64
}

func (e CannotJoinError) Error() string {
	return fmt.Sprintf("records %d to %d have expired, and no snapshot or peer covers them", e.Next, e.First-1)
}

// UnknownOutcomeError reports an apply of which it is not known whether the log has its record. Applying the same
// contents with the same ID resolves it, because an ID counts once.
type UnknownOutcomeError struct {
	ApplyID string
	Cause   error
}

func (e UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of apply %s is unknown: %v", e.ApplyID, e.Cause)
}

// Unwrap returns the cause.
func (e UnknownOutcomeError) Unwrap() error { return e.Cause }

// ForgottenError reports an apply whose record was read, but whose verdict is no longer remembered.
type ForgottenError struct {
	Offset int64
}

func (e ForgottenError) Error() string {
	return fmt.Sprintf("the verdict on the record at offset %d is no longer remembered", e.Offset)
}

// ReusedIDError reports an apply ID that was used before for other contents.
type ReusedIDError struct {
	ApplyID string
	File    string
}

func (e ReusedIDError) Error() string {
	return fmt.Sprintf("apply ID %s was used before for other contents of %s; use a new ID", e.ApplyID, e.File)
}

// RequestError reports an apply that is not well formed.
type RequestError struct {
	Field  string
	Remedy string
}

func (e RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Remedy)
}
