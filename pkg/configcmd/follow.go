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
	// readLimit is the number of records of one read.
	readLimit = 256
	// longPoll is how long a read waits for a record. It is well under the 11 s in which a change has to be in force, so
	// that a connection that broke without notice does not delay the change for longer.
	longPoll = 4 * time.Second
	// retryDelay is the wait after a failed read.
	retryDelay = time.Second
	// reportEvery is the number of failed reads in a row for each log line. An outage of the log may last for hours.
	reportEvery = 60
	// maxSnapshotReads bounds the walk back through the snapshots, each of which may be several MB.
	maxSnapshotReads = 16
)

// Follower keeps the Config table up to date with the log, and appends the files that operators apply.
type Follower struct {
	Log Log
	// Peers may be nil.
	Peers Peers
	// Observer may be nil.
	Observer Observer
	Config   *guard.Guard[table.Config]
	Logger   zerolog.Logger
}

// Observer learns of changes of the configuration in force.
type Observer interface {
	// ConfigurationChanged is called after each change, and may be called concurrently.
	ConfigurationChanged()
}

// New returns a follower with its dependencies. peers may be nil.
func New(log Log, peers Peers, config *guard.Guard[table.Config], logger zerolog.Logger) *Follower {
	return &Follower{Log: log, Peers: peers, Config: config, Logger: logger}
}

// Run follows the log until the context ends. It waits in long polls of the log, so it needs a goroutine of its own and
// must not hold a worker of a pool.
func (f *Follower) Run(ctx context.Context) {
	if err := f.Start(ctx); err != nil {
		f.Logger.Warn().Err(err).Msg("cannot start from a snapshot of the configuration; reading the whole log")
	}
	failures := 0
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if failures%reportEvery == 0 && ctx.Err() == nil {
			f.Logger.Warn().Err(err).Int("failures", failures+1).
				Msg("cannot read the configuration log; keeping the configuration and retrying")
		}
		failures++
	}
}

// follow polls once. It pauses after a failure, and after a reply that came at once and brought nothing, so that a log
// that does not hold its long polls is not asked without end.
func (f *Follower) follow(ctx context.Context) error {
	before, started := f.state().Next, time.Now()
	err := f.Poll(ctx, longPoll)
	if err != nil || f.state().Next == before && time.Since(started) < retryDelay {
		pause(ctx, retryDelay)
	}
	return err
}

// Start adopts the newest snapshot, which saves a new node from reading all retained records.
func (f *Follower) Start(ctx context.Context) error {
	_, err := f.joinSnapshot(ctx, 0)
	return err
}

// Poll reads once from the log and folds what it returns. It waits up to wait for a record. If records have expired that
// the node has not read, it continues from a snapshot or a peer, or returns CannotJoinError.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	state := f.state()
	batch, err := f.Log.Read(ctx, ApplyStream, state.Next, readLimit, wait)
	var expired Expired
	if errors.As(err, &expired) {
		return f.rejoin(ctx, expired.FirstOffset())
	}
	if err != nil {
		return eris.Wrap(err, "follow configuration")
	}
	if batch.Next < state.Next {
		return BehindError{Next: batch.Next, Folded: state.Next}
	}
	state, err = f.foldRecords(state, batch.Records)
	f.adopt(state)
	var gap fold.GapError
	if errors.As(err, &gap) {
		return f.rejoin(ctx, gap.Offset)
	}
	return err
}

// rejoin continues from a snapshot or a peer that covers all records before the offset first.
func (f *Follower) rejoin(ctx context.Context, first int64) error {
	joined, err := f.joinSnapshot(ctx, first)
	if err != nil {
		f.Logger.Warn().Err(err).Msg("cannot read snapshots of the configuration; asking peers")
	}
	if !joined {
		f.fetch(ctx)
	}
	if s := f.state(); !fold.Joins(s, first) {
		return CannotJoinError{Next: s.Next, First: first}
	}
	return nil
}

// joinSnapshot walks back from the newest snapshot to one that covers all records before first, and adopts it. The newest
// need not be the one that covers most, because a paused node may have appended it late.
func (f *Follower) joinSnapshot(ctx context.Context, first int64) (bool, error) {
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
			f.Logger.Warn().Err(err).Int64("offset", r.Offset).Msg("ignoring a snapshot that cannot be decoded")
		} else {
			f.noteSnapshot(fold.Snapshot{Next: s.Next, Time: r.Time})
			if fold.Joins(s, first) {
				f.adopt(s)
				return true, nil
			}
		}
		if r.Offset <= batch.First {
			return false, nil
		}
		if batch, err = f.Log.Read(ctx, SnapshotStream, r.Offset-1, 1, 0); err != nil {
			return false, eris.Wrap(err, "read earlier snapshot")
		}
	}
	return false, nil
}

func (f *Follower) noteSnapshot(s fold.Snapshot) {
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

// foldRecords folds up to the first gap.
func (f *Follower) foldRecords(s fold.State, records []Record) (fold.State, error) {
	for _, r := range records {
		var err error
		a, malformed := configrecord.DecodeApply(r.Data)
		if malformed != nil {
			f.Logger.Warn().Err(malformed).Int64("offset", r.Offset).Msg("ignoring a record that is not an apply")
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

// adopt puts the state in force unless the node has one that covers as many records.
func (f *Follower) adopt(s fold.State) {
	var known map[string]table.DecodedFile
	var current fold.State
	f.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) { current, known = c.Fold, c.Decoded })
	if s.Next == current.Next {
		return
	}
	// Compiling a large configuration takes milliseconds, so it is done without the lock.
	compiled, decoded := Compile(s, known)
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
		f.report(s, compiled.Problems)
		if f.Observer != nil {
			f.Observer.ConfigurationChanged()
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
