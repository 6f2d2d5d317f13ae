package configcmd

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/decide/group"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Defaults of the snapshot policy. The log has to retain records for longer than the interval and more of them than the
// number. At 820 changes a day a snapshot is due every hour either way, which is at most a few KB a second for its writer.
const (
	DefaultSnapshotRecords  = 64
	DefaultSnapshotInterval = time.Hour
)

// snapshotTask is the key by which the fleet chooses the node that appends snapshots.
const snapshotTask = "config-snapshot"

// Members is the node's view of the fleet.
type Members interface {
	// Self returns the host and the incarnation of this node.
	Self() (fleet.Host, string)
	// Live returns the live hosts, with this one.
	Live(now time.Time) []fleet.Host
}

// Snapshotter appends snapshots of the folded state to the log while this node is the chosen one. Two nodes with different
// views may both do so, and a paused node may do so late. Both are harmless, because a snapshot is a prefix of the log and
// readers adopt only what is ahead of them.
type Snapshotter struct {
	Follower *Follower
	Members  Members
	Policy   fold.SnapshotPolicy
	Logger   zerolog.Logger
}

// NewSnapshotter returns a snapshotter with its dependencies. Zero fields of the policy get their defaults.
func NewSnapshotter(f *Follower, members Members, policy fold.SnapshotPolicy, logger zerolog.Logger) *Snapshotter {
	if policy.Records == 0 {
		policy.Records = DefaultSnapshotRecords
	}
	if policy.Interval == 0 {
		policy.Interval = DefaultSnapshotInterval
	}
	return &Snapshotter{Follower: f, Members: members, Policy: policy, Logger: logger}
}

// Check appends a snapshot if this node is the chosen one and a snapshot is due. It is a periodic job.
func (s *Snapshotter) Check(ctx context.Context, now time.Time) error {
	self, _ := s.Members.Self()
	owner, found := group.Owner(snapshotTask, s.Members.Live(now))
	if !found || owner.ID != self.ID || !s.due(now) {
		return nil
	}
	// Another node may have appended one since this node last looked.
	if err := s.refresh(ctx); err != nil {
		return err
	}
	if !s.due(now) {
		return nil
	}
	state := s.Follower.state()
	offset, err := s.Follower.Log.Append(ctx, SnapshotStream, configrecord.EncodeSnapshot(state))
	if err != nil {
		return eris.Wrap(err, "append snapshot")
	}
	s.note(fold.Snapshot{Next: state.Next, Time: now})
	s.Logger.Info().Int64("offset", offset).Int64("next", state.Next).Msg("appended a snapshot of the configuration")
	return nil
}

func (s *Snapshotter) due(now time.Time) (due bool) {
	s.Follower.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) {
		due = fold.SnapshotDue(c.Fold, c.Snapshot, s.Policy, now)
	})
	return due
}

// refresh reads what the newest snapshot in the log covers. It replaces what the node knew, because a late snapshot of a
// paused node may have displaced a better one.
func (s *Snapshotter) refresh(ctx context.Context) error {
	batch, err := s.Follower.Log.Last(ctx, SnapshotStream)
	if err != nil {
		return eris.Wrap(err, "read newest snapshot")
	}
	newest := fold.Snapshot{}
	for _, r := range batch.Records {
		if state, err := configrecord.DecodeSnapshot(r.Data); err == nil {
			newest = fold.Snapshot{Next: state.Next, Time: r.Time}
		}
	}
	s.note(newest)
	return nil
}

func (s *Snapshotter) note(snapshot fold.Snapshot) {
	s.Follower.Config.Write(guard.Held{}, func(_ guard.Held, c *table.Config) { c.Snapshot = snapshot })
}
