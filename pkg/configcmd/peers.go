package configcmd

import (
	"context"
	"time"

	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// peerGrace is how long the log has to deliver a revision that a peer already announced. Within it nearly every change
// arrives by the log, so that the nodes do not fetch whole states from each other at every change.
const peerGrace = 2 * time.Second

// Peers is the other nodes of the fleet.
type Peers interface {
	// HighestRevision returns the highest revision that peers announced in heartbeats.
	HighestRevision() int64
	// States returns the folded states of several peers in different availability zones, as far as they reply.
	States(ctx context.Context) []fold.State
}

// CheckPeers fetches the state of peers if one of them announced a higher revision that the log did not deliver. It is a
// periodic job, and covers a node that starts during an outage of the log or that alone cannot reach it. A node without a
// configuration always asks, because it is in no service group yet and may get no heartbeats.
func (f *Follower) CheckPeers(ctx context.Context, now time.Time) {
	if f.Peers == nil {
		return
	}
	announced := f.Peers.HighestRevision()
	due := false
	f.Config.Write(guard.Held{}, func(_ guard.Held, c *table.Config) {
		switch {
		case announced <= c.Fold.Revision && c.Fold.Revision > 0:
			c.BehindSince = time.Time{}
		case c.BehindSince.IsZero():
			c.BehindSince = now
		default:
			due = now.Sub(c.BehindSince) >= peerGrace
		}
	})
	if due {
		f.fetch(ctx)
	}
}

// fetch adopts the highest revision of several peers.
func (f *Follower) fetch(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	if best, found := fold.Highest(f.Peers.States(ctx)); found {
		f.adopt(best)
	}
}
