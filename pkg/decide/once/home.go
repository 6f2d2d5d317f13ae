package once

import "egretline.example/egretline/pkg/fleet"

// Place is where the home of a key is, seen from a node.
type Place string

// Places of a home.
const (
	// Here means that this incarnation of this host is the home.
	Here Place = "here"
	// Elsewhere means that another host may be the home. The request is forwarded to it.
	Elsewhere Place = "elsewhere"
	// Gone means that an earlier incarnation of this host was the home, or that its host is not known. Whether it ran the
	// request is not known.
	Gone Place = "gone"
)

// Locate returns where the home of the key is.
func Locate(k Key, host, incarnation string) Place {
	switch {
	case k.Host != host:
		return Elsewhere
	case k.Incarnation == incarnation:
		return Here
	default:
		return Gone
	}
}

// ForwardOutcome is what a caller is told about a request whose forward to another node gave no response. Sent says that
// bytes may have reached the other node. With a key only the home may say that the request was not run, because an
// earlier request with the key may have run there.
func ForwardOutcome(keyed, sent bool) fleet.Outcome {
	if keyed || sent {
		return fleet.Unknown
	}
	return fleet.NotRun
}

// RefusalOutcome is what a caller is told about a request that a node refuses before the home has seen its key.
func RefusalOutcome(keyed bool) fleet.Outcome {
	return ForwardOutcome(keyed, false)
}
