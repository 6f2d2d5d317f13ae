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

// Defaults of the snapshot policy. The log has to retain more records than the maximum number, and for longer than the
// maximum age. At 820 changes a day a snapshot is due every hour, which costs the node that writes it at most a few KB
// a second.
const (
	DefaultSnapshotMaxRecords = 64
	DefaultSnapshotMaxAge     = time.Hour
)

// snapshotOwnerKey is the key that is hashed to choose the host that appends snapshots.
const snapshotOwnerKey = "config-snapshot"

// Members is this node's view of the fleet membership.
type Members interface {
	// Self returns the host and the incarnation of this node.
	Self() (fleet.Host, string)
	// Live returns the live hosts, including this one.
	Live(now time.Time) []fleet.Host
}

// Snapshotter appends snapshots of the folded state to the log while this host owns snapshotOwnerKey. Two hosts with
// different membership views may both append, and a paused node may append an outdated snapshot. Both are harmless: a
// snapshot is the fold of a prefix of the log, and nodes adopt only snapshots that are ahead of their state.
type Snapshotter struct {
	Follower *Follower
	Members  Members
	Policy   fold.SnapshotPolicy
	Logger   zerolog.Logger
}

// NewSnapshotter returns a snapshotter for the state of the follower. Zero fields of the policy get their defaults.
func NewSnapshotter(f *Follower, members Members, policy fold.SnapshotPolicy, logger zerolog.Logger) *Snapshotter {
	if policy.MaxRecords == 0 {
		policy.MaxRecords = DefaultSnapshotMaxRecords
	}
	if policy.MaxAge == 0 {
		policy.MaxAge = DefaultSnapshotMaxAge
	}
	return &Snapshotter{Follower: f, Members: members, Policy: policy, Logger: logger}
}

// AppendIfDue appends a snapshot if one is due and this host owns snapshotOwnerKey. It is a periodic job.
func (s *Snapshotter) AppendIfDue(ctx context.Context, now time.Time) error {
	self, _ := s.Members.Self()
	owner, found := group.Owner(snapshotOwnerKey, s.Members.Live(now))
	if !found || owner.ID != self.ID || !s.snapshotDue(now) {
		return nil
	}
	// Another node may have appended a snapshot since the last read of the stream.
	if err := s.reloadNewestSnapshot(ctx); err != nil {
		return err
	}
	if !s.snapshotDue(now) {
		return nil
	}
	state := s.Follower.state()
	offset, err := s.Follower.Log.Append(ctx, SnapshotStream, configrecord.EncodeSnapshot(state))
	if err != nil {
		return eris.Wrap(err, "append configuration snapshot")
	}
	s.setNewestSnapshot(fold.Snapshot{Next: state.Next, Time: now})
	s.Logger.Info().Int64("offset", offset).Int64("next", state.Next).Msg("appended a snapshot of the configuration")
	return nil
}

func (s *Snapshotter) snapshotDue(now time.Time) (due bool) {
	s.Follower.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) {
		due = fold.SnapshotDue(c.Fold, c.Snapshot, s.Policy, now)
	})
	return due
}

// reloadNewestSnapshot records the newest snapshot in the log in the Config table, even if the recorded snapshot covers
// more: a paused node may have appended an outdated snapshot since.
func (s *Snapshotter) reloadNewestSnapshot(ctx context.Context) error {
	batch, err := s.Follower.Log.Last(ctx, SnapshotStream)
	if err != nil {
		return eris.Wrap(err, "read newest configuration snapshot")
	}
	newest := fold.Snapshot{}
	for _, r := range batch.Records {
		if state, err := configrecord.DecodeSnapshot(r.Data); err == nil {
			newest = fold.Snapshot{Next: state.Next, Time: r.Time}
		}
	}
	s.setNewestSnapshot(newest)
	return nil
}

func (s *Snapshotter) setNewestSnapshot(snapshot fold.Snapshot) {
	s.Follower.Config.Write(guard.Held{}, func(_ guard.Held, c *table.Config) { c.Snapshot = snapshot })
}
