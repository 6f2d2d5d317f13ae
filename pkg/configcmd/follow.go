package configcmd

import (
	"context"
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
)

// Follower keeps the Config table up to date with the log.
type Follower struct {
	Log    Log
	Config *guard.Guard[table.Config]
	Logger zerolog.Logger
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.Poll(ctx, longPoll); err != nil && ctx.Err() == nil {
			f.Logger.Warn().Err(err).Msg("cannot read the configuration log; retrying")
			pause(ctx, retryDelay)
		}
	}
}

// Poll reads once from the log and folds what it returns. It waits up to wait for a record.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	state := f.state()
	batch, err := f.Log.Read(ctx, ApplyStream, state.Next, readLimit, wait)
	if err != nil {
		return eris.Wrap(err, "follow configuration")
	}
	f.adopt(foldRecords(state, batch.Records))
	return nil
}

func (f *Follower) state() (s fold.State) {
	f.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) { s = c.Fold })
	return s
}

func foldRecords(s fold.State, records []Record) fold.State {
	for _, r := range records {
		if r.Offset != s.Next {
			continue
		}
		a, err := configrecord.DecodeApply(r.Data)
		if err != nil {
			s.Next++
			continue
		}
		s = fold.Step(s, r.Offset, a)
	}
	return s
}

// adopt puts the state in force unless the node has one that covers as many records.
func (f *Follower) adopt(s fold.State) bool {
	compiled := Compile(s)
	adopted := false
	f.Config.Write(guard.Held{}, func(_ guard.Held, c *table.Config) {
		if s.Next <= c.Fold.Next || s.Revision < c.Fold.Revision {
			return
		}
		c.Fold = s
		c.Compiled = compiled
		adopted = true
	})
	return adopted
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
