package table

import (
	"time"

	"egretline.example/egretline/internal/decide/quota"
	"egretline.example/egretline/pkg/fleet"
)

// Quotas holds what customers have used of their limits for the whole fleet, as this node sees it.
type Quotas struct {
	Tolerance quota.Tolerance
	// Limits holds the limits of customers by name, from the active configuration, whose revision is Revision.
	Limits   map[string]fleet.Quota
	Revision int64
	// Buckets holds the buckets of the customers that were active lately, by name.
	Buckets    map[string]*quota.Bucket
	Membership quota.Membership
	// Spenders are the other hosts that may accept requests. The value is replaced, never modified.
	Spenders quota.Spenders
	// MayDecide reports whether this node may accept requests, and Decided whether it might at the last sweep.
	MayDecide bool
	Decided   bool
	// PressedUntil is the time until which a customer counts as near its limit.
	PressedUntil time.Time
	// EntryHost reports whether this node is an entry host, and EntryUntil is when it last was one.
	EntryHost  bool
	EntryUntil time.Time
	// Unreported holds the names of the customers whose use may not have been reported to all entry hosts.
	Unreported map[string]struct{}
	// SweptAt is when the buckets were last swept.
	SweptAt time.Time
	// Sequence is the highest sequence number of the reports that were built.
	Sequence uint64
	// Isolated is set while the node hears none of the hosts that may accept requests.
	Isolated bool
}

func newQuotas() Quotas {
	return Quotas{
		Limits: map[string]fleet.Quota{}, Buckets: map[string]*quota.Bucket{},
		Unreported: map[string]struct{}{},
		Membership: quota.Membership{Hosts: map[string]*quota.Host{}},
	}
}
