package configcmd

import (
	"context"
	"time"

	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// peerFetchDelay is how long a node waits for the log to deliver a revision that a peer has announced. Nearly every
// change arrives through the log in this time, which saves fetching whole states from peers at every change.
const peerFetchDelay = 2 * time.Second

// Peers gives access to the configuration of the other nodes.
type Peers interface {
	// HighestRevision returns the highest revision that peers announced in heartbeats.
	HighestRevision() int64
	// States returns the folded states of several peers in different availability zones. Peers that do not reply are left
	// out.
	States(ctx context.Context) []fold.State
}

// CatchUpFromPeers fetches the state of peers if one of them announced a higher revision that the log has not delivered.
// It is a periodic job for nodes that start during an outage of the log, or that cannot reach it while others can. A
// node without a configuration always fetches, because it is not in a service group yet and may receive no heartbeats.
func (f *Follower) CatchUpFromPeers(ctx context.Context, now time.Time) {
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
			due = now.Sub(c.BehindSince) >= peerFetchDelay
		}
	})
	if due {
		f.adoptPeerState(ctx)
	}
}

// adoptPeerState adopts the state with the highest revision of several peers.
func (f *Follower) adoptPeerState(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	if best, found := fold.HighestRevision(f.Peers.States(ctx)); found {
		f.adopt(best)
	}
}
