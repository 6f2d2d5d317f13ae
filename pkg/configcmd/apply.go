package configcmd

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
)

const (
	// applyTimeout bounds an apply whose context has no earlier deadline. It allows one append that hits the log client's
	// timeout of 10 s, and a second one.
	applyTimeout = 25 * time.Second
	// initialAppendBackoff is the delay before the second append. It doubles up to maxAppendBackoff.
	initialAppendBackoff = 500 * time.Millisecond
	maxAppendBackoff     = 4 * time.Second
)

// Apply validates the file, appends it to the log and returns the decision once the record has been read back. A failed
// append is retried with the same apply ID, and duplicate records therefore take effect only once.
//
// It returns RequestError or the error of configfile.Decode if nothing was appended, ReusedIDError if the ID was
// already decided for other contents, or UnknownOutcomeError.
func (f *Follower) Apply(
	ctx context.Context, file string, base int64, applyID string, contents []byte,
) (fold.Decision, error) {
	if err := validateRequest(base, applyID); err != nil {
		return fold.Decision{}, err
	}
	if _, err := configfile.Decode(file, contents); err != nil {
		return fold.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	a := fold.Apply{ID: applyID, File: file, Base: base, Contents: contents}
	record := configrecord.EncodeApply(a)
	backoff := initialAppendBackoff
	for {
		if d, decided := f.decision(applyID); decided {
			return verifyDecision(a, d)
		}
		offset, err := f.Log.Append(ctx, ApplyStream, record)
		if err == nil {
			return f.awaitDecision(ctx, a, offset)
		}
		f.Logger.Warn().Err(err).Str("apply-id", applyID).Msg("cannot append configuration change; checking the log for it before retrying")
		// The log may have appended the record although its reply was lost.
		if pollErr := f.Poll(ctx, 0); pollErr != nil {
			sleep(ctx, backoff)
		} else if _, decided := f.decision(applyID); !decided {
			sleep(ctx, backoff)
		}
		if ctx.Err() != nil {
			return f.unknownOutcome(a, err)
		}
		backoff = min(2*backoff, maxAppendBackoff)
	}
}

func validateRequest(base int64, applyID string) error {
	if applyID == "" || len(applyID) > fold.MaxIDBytes {
		return RequestError{Field: "apply-id", Remedy: "write an ID of 1 to 64 characters"}
	}
	if base < 0 {
		return RequestError{Field: "base", Remedy: "write the revision of the file that you saw, or 0 for a new file"}
	}
	return nil
}

// awaitDecision reads and folds the log up to the record at the offset and returns the decision on the apply.
func (f *Follower) awaitDecision(ctx context.Context, a fold.Apply, offset int64) (fold.Decision, error) {
	for {
		if d, decided := f.decision(a.ID); decided {
			return verifyDecision(a, d)
		}
		if f.state().Next > offset {
			return fold.Decision{}, UnknownOutcomeError{ApplyID: a.ID, Cause: DecisionEvictedError{Offset: offset}}
		}
		err := f.longPollOnce(ctx)
		if ctx.Err() != nil {
			return f.unknownOutcome(a, eris.Wrap(context.Cause(ctx), "read the record back"))
		}
		if err != nil {
			f.Logger.Warn().Err(err).Str("apply-id", a.ID).Msg("cannot read back the appended configuration change; retrying")
		}
	}
}

// unknownOutcome returns UnknownOutcomeError unless the decision has arrived in the meantime.
func (f *Follower) unknownOutcome(a fold.Apply, cause error) (fold.Decision, error) {
	if d, decided := f.decision(a.ID); decided {
		return verifyDecision(a, d)
	}
	return fold.Decision{}, UnknownOutcomeError{ApplyID: a.ID, Cause: cause}
}

func (f *Follower) decision(applyID string) (fold.Decision, bool) {
	d, decided := f.state().Decisions[applyID]
	return d, decided
}

// verifyDecision returns the decision, or ReusedIDError if it was made for another file or other contents.
func verifyDecision(a fold.Apply, d fold.Decision) (fold.Decision, error) {
	if d.Digest != fold.Digest(a.File, a.Contents) {
		return fold.Decision{}, ReusedIDError{ApplyID: a.ID, File: d.File}
	}
	return d, nil
}
