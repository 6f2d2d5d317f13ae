package configcmd

import (
	"context"
	"fmt"

	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
)

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

// Apply checks the file, appends it to the log and returns the verdict once its record was read back. It returns the
// error of the check, after which nothing has changed, or UnknownOutcomeError.
func (f *Follower) Apply(
	ctx context.Context, file string, base int64, applyID string, contents []byte,
) (fold.Decision, error) {
	if _, err := configfile.Decode(file, contents); err != nil {
		return fold.Decision{}, err
	}
	record := configrecord.EncodeApply(fold.Apply{ID: applyID, File: file, Base: base, Contents: contents})
	if _, err := f.Log.Append(ctx, ApplyStream, record); err != nil {
		return fold.Decision{}, UnknownOutcomeError{ApplyID: applyID, Cause: err}
	}
	for {
		if d, decided := f.state().Decisions[applyID]; decided {
			return d, nil
		}
		if err := f.Poll(ctx, longPoll); err != nil {
			return fold.Decision{}, UnknownOutcomeError{ApplyID: applyID, Cause: err}
		}
	}
}
