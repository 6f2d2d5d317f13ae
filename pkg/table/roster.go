package table

import (
	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/pkg/fleet"
)

// Roster is what the node knows of itself and of the other hosts of the fleet.
type Roster struct {
	Self fleet.Host
	// Ready says that the node has what it needs to serve callers.
	Ready bool
	// Hosts is keyed by host ID and does not hold the node itself.
	Hosts map[string]*roster.State
	// Entries are the hosts that callers are sent to. The slice is replaced as a whole.
	Entries []fleet.Host
}
