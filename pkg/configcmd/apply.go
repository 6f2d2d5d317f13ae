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
	// applyTimeout bounds an apply whose context has no earlier deadline. It leaves room for an attempt that runs into the
	// log client's timeout of 10 s and for one more.
	applyTimeout = 25 * time.Second
	// firstAppendDelay is the wait before the second attempt to append; it doubles up to maxAppendDelay.
	firstAppendDelay = 500 * time.Millisecond
	maxAppendDelay   = 4 * time.Second
)

// Apply checks the file, appends it to the log and returns the verdict once its record was read back. Attempts to append
// are repeated with the same apply ID, which counts once.
//
// It returns RequestError or the error of configfile.Decode, after which nothing has changed; ReusedIDError if the ID was
// decided for other contents; or UnknownOutcomeError.
func (f *Follower) Apply(
	ctx context.Context, file string, base int64, applyID string, contents []byte,
) (fold.Decision, error) {
	if err := checkRequest(base, applyID); err != nil {
		return fold.Decision{}, err
	}
	if _, err := configfile.Decode(file, contents); err != nil {
		return fold.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	a := fold.Apply{ID: applyID, File: file, Base: base, Contents: contents}
	record := configrecord.EncodeApply(a)
	delay := firstAppendDelay
	for {
		if d, decided := f.decision(applyID); decided {
			return verdict(a, d)
		}
		offset, err := f.Log.Append(ctx, ApplyStream, record)
		if err == nil {
			return f.readBack(ctx, a, offset)
		}
		f.Logger.Warn().Err(err).Str("apply-id", applyID).Msg("append failed; reading the log back before the next attempt")
		// The record may be in the log although the reply was lost.
		if pollErr := f.Poll(ctx, 0); pollErr != nil {
			pause(ctx, delay)
		} else if _, decided := f.decision(applyID); !decided {
			pause(ctx, delay)
		}
		if ctx.Err() != nil {
			return f.unknown(a, err)
		}
		delay = min(2*delay, maxAppendDelay)
	}
}

func checkRequest(base int64, applyID string) error {
	if applyID == "" || len(applyID) > fold.MaxID {
		return RequestError{Field: "apply-id", Remedy: "write an ID of 1 to 64 characters"}
	}
	if base < 0 {
		return RequestError{Field: "base", Remedy: "write the revision of the file that you saw, or 0 for a new file"}
	}
	return nil
}

// readBack folds the log up to the record at the offset and returns the verdict on its apply.
func (f *Follower) readBack(ctx context.Context, a fold.Apply, offset int64) (fold.Decision, error) {
	for {
		if d, decided := f.decision(a.ID); decided {
			return verdict(a, d)
		}
		if f.state().Next > offset {
			return fold.Decision{}, UnknownOutcomeError{ApplyID: a.ID, Cause: ForgottenError{Offset: offset}}
		}
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return f.unknown(a, eris.Wrap(context.Cause(ctx), "read the record back"))
		}
		if err != nil {
			f.Logger.Warn().Err(err).Str("apply-id", a.ID).Msg("cannot read the record back; retrying")
		}
	}
}

// unknown returns the verdict if it became known at the last moment.
func (f *Follower) unknown(a fold.Apply, cause error) (fold.Decision, error) {
	if d, decided := f.decision(a.ID); decided {
		return verdict(a, d)
	}
	return fold.Decision{}, UnknownOutcomeError{ApplyID: a.ID, Cause: cause}
}

func (f *Follower) decision(applyID string) (fold.Decision, bool) {
	d, decided := f.state().Decisions[applyID]
	return d, decided
}

func verdict(a fold.Apply, d fold.Decision) (fold.Decision, error) {
	if d.Digest != fold.Digest(a.File, a.Contents) {
		return fold.Decision{}, ReusedIDError{ApplyID: a.ID, File: d.File}
	}
	return d, nil
}
