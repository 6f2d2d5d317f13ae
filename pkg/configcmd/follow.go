package configcmd

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

const (
	// maxRecordsPerRead bounds the size of one reply of the log.
	maxRecordsPerRead = 256
	// longPollTimeout is how long a read waits for a record. It is well under the 11 s within which a change has to be in
	// force, because a read on a silently broken connection delays the change until the read times out.
	longPollTimeout = 4 * time.Second
	// retryDelay is the delay after a failed read.
	retryDelay = time.Second
	// failuresPerLogLine limits log output during an outage of the log, which may last for hours: one line for this many
	// consecutive failed reads.
	failuresPerLogLine = 60
	// maxSnapshotReads bounds the search for a usable snapshot, because each snapshot may be several MB.
	maxSnapshotReads = 16
)

// Follower updates the Config table from the log and appends the files that operators apply.
type Follower struct {
	Log Log
	// Peers may be nil.
	Peers Peers
	// Observer may be nil.
	Observer Observer
	Config   *guard.Guard[table.Config]
	Logger   zerolog.Logger
}

// Observer is notified of changes of the configuration in force.
type Observer interface {
	// ConfigurationChanged is called after each change, and may be called concurrently.
	ConfigurationChanged()
}

// New returns a follower of the log. peers may be nil.
func New(log Log, peers Peers, config *guard.Guard[table.Config], logger zerolog.Logger) *Follower {
	return &Follower{Log: log, Peers: peers, Config: config, Logger: logger}
}

// Run follows the log until the context ends. It blocks in long polls, so it needs a dedicated goroutine and must not
// occupy a pool worker.
func (f *Follower) Run(ctx context.Context) {
	if err := f.LoadSnapshot(ctx); err != nil {
		f.Logger.Warn().Err(err).Msg("cannot load a snapshot of the configuration; reading all retained log records")
	}
	failures := 0
	for ctx.Err() == nil {
		err := f.longPollOnce(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if failures%failuresPerLogLine == 0 && ctx.Err() == nil {
			f.Logger.Warn().Err(err).Int("failures", failures+1).
				Msg("cannot read the configuration log; keeping the configuration and retrying")
		}
		failures++
	}
}

// longPollOnce polls the log once. It sleeps after an error, and after an immediate reply without records: a log that
// does not support long polls would otherwise be polled in a busy loop.
func (f *Follower) longPollOnce(ctx context.Context) error {
	before, started := f.state().Next, time.Now()
	err := f.Poll(ctx, longPollTimeout)
	if err != nil || f.state().Next == before && time.Since(started) < retryDelay {
		sleep(ctx, retryDelay)
	}
	return err
}

// LoadSnapshot adopts the newest valid snapshot, which saves a new node from reading all retained records.
func (f *Follower) LoadSnapshot(ctx context.Context) error {
	_, err := f.adoptSnapshot(ctx, 0)
	return err
}

// Poll reads the log once, blocking up to wait for a record, and folds the records. If records that the node has not
// read have expired, it continues from a snapshot or the state of a peer, or returns RecordsExpiredError.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	state := f.state()
	batch, err := f.Log.Read(ctx, ApplyStream, state.Next, maxRecordsPerRead, wait)
	var expired ExpiredOffsetError
	if errors.As(err, &expired) {
		return f.recoverGap(ctx, expired.FirstOffset())
	}
	if err != nil {
		return eris.Wrap(err, "read configuration log")
	}
	if batch.NextOffset < state.Next {
		return LogTruncatedError{LogEnd: batch.NextOffset, FoldedEnd: state.Next}
	}
	state, err = f.foldRecords(state, batch.Records)
	f.adopt(state)
	var gap fold.GapError
	if errors.As(err, &gap) {
		return f.recoverGap(ctx, gap.Offset)
	}
	return err
}

// recoverGap adopts a snapshot or the state of a peer that covers all records before the offset first. It returns
// RecordsExpiredError if there is none.
func (f *Follower) recoverGap(ctx context.Context, first int64) error {
	adopted, err := f.adoptSnapshot(ctx, first)
	if err != nil {
		f.Logger.Warn().Err(err).Msg("cannot read snapshots of the configuration; fetching it from peers")
	}
	if !adopted {
		f.adoptPeerState(ctx)
	}
	if s := f.state(); !fold.ContinuesWithoutGap(s, first) {
		return RecordsExpiredError{FirstMissing: s.Next, OldestRetained: first}
	}
	return nil
}

// adoptSnapshot adopts the newest snapshot that covers all records before first, and reports whether there is one. It
// also tries older snapshots, because a paused node may have appended an outdated one last.
func (f *Follower) adoptSnapshot(ctx context.Context, first int64) (bool, error) {
	batch, err := f.Log.Last(ctx, SnapshotStream)
	if err != nil {
		return false, eris.Wrap(err, "read newest snapshot")
	}
	for range maxSnapshotReads {
		if len(batch.Records) == 0 {
			return false, nil
		}
		r := batch.Records[0]
		s, err := configrecord.DecodeSnapshot(r.Data)
		if err != nil {
			f.Logger.Warn().Err(err).Int64("offset", r.Offset).Msg("ignoring malformed snapshot of the configuration")
		} else {
			f.recordSnapshot(fold.Snapshot{Next: s.Next, Time: r.Time})
			if fold.ContinuesWithoutGap(s, first) {
				f.adopt(s)
				return true, nil
			}
		}
		if r.Offset <= batch.OldestOffset {
			return false, nil
		}
		if batch, err = f.Log.Read(ctx, SnapshotStream, r.Offset-1, 1, 0); err != nil {
			return false, eris.Wrap(err, "read earlier snapshot")
		}
	}
	return false, nil
}

// recordSnapshot records the snapshot in the Config table if it covers more records than the recorded one.
func (f *Follower) recordSnapshot(s fold.Snapshot) {
	f.Config.Write(guard.Held{}, func(_ guard.Held, c *table.Config) {
		if s.Next > c.Snapshot.Next {
			c.Snapshot = s
		}
	})
}

func (f *Follower) state() (s fold.State) {
	f.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) { s = c.Fold })
	return s
}

// foldRecords folds the records up to the first gap. Malformed records are skipped.
func (f *Follower) foldRecords(s fold.State, records []Record) (fold.State, error) {
	for _, r := range records {
		var err error
		a, malformed := configrecord.DecodeApply(r.Data)
		if malformed != nil {
			f.Logger.Warn().Err(malformed).Int64("offset", r.Offset).Msg("ignoring malformed record of a configuration change")
			s, err = fold.Skip(s, r.Offset)
		} else {
			s, err = fold.Step(s, r.Offset, a)
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// adopt compiles the state and puts it in force if it supersedes the current state.
func (f *Follower) adopt(s fold.State) {
	var cached map[string]table.DecodedFile
	var current fold.State
	f.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) { current, cached = c.Fold, c.Decoded })
	if s.Next == current.Next {
		return
	}
	// Compiling a large configuration takes milliseconds, so it runs without the lock.
	compiled, decoded := Compile(s, cached)
	adopted := false
	f.Config.Write(guard.Held{}, func(_ guard.Held, c *table.Config) {
		if !fold.Supersedes(s, c.Fold) {
			return
		}
		c.Fold = s
		c.Compiled = compiled
		c.Decoded = decoded
		adopted = true
	})
	if adopted && s.Revision > current.Revision {
		f.logConfiguration(s, compiled.Problems)
		if f.Observer != nil {
			f.Observer.ConfigurationChanged()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
