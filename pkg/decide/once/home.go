package once

import "egretline.example/egretline/pkg/fleet"

// OwnerLocation is the location of a key's owner relative to a node. The owner is the host incarnation that the key
// names.
type OwnerLocation string

// Locations of an owner.
const (
	// OwnerLocal means that this incarnation of this host is the owner.
	OwnerLocal OwnerLocation = "here"
	// OwnerRemote means that the key names another host. The request is forwarded to that host.
	OwnerRemote OwnerLocation = "elsewhere"
	// OwnerGone means that the owner was another incarnation of this host, or that the host is unknown. Whether the owner
	// executed the request is unknown.
	OwnerGone OwnerLocation = "gone"
)

// LocateOwner returns the location of the key's owner, as seen by the given incarnation of the host.
func LocateOwner(k Key, host, incarnation string) OwnerLocation {
	switch {
	case k.Host != host:
		return OwnerRemote
	case k.Incarnation == incarnation:
		return OwnerLocal
	default:
		return OwnerGone
	}
}

// ForwardOutcome returns the outcome that the caller gets for a request that was forwarded to another node and got no
// response. The argument keyed reports whether the request has an idempotency key, and sent whether bytes of it may have
// reached the other node. Only the owner of a key may report a request with that key as not run, because an earlier
// request with the key may have run there.
func ForwardOutcome(keyed, sent bool) fleet.Outcome {
	if keyed || sent {
		return fleet.Unknown
	}
	return fleet.NotRun
}

// RefusalOutcome returns the outcome that the caller gets for a request that a node refuses before it reaches the
// owner of its key.
func RefusalOutcome(keyed bool) fleet.Outcome {
	return ForwardOutcome(keyed, false)
}
