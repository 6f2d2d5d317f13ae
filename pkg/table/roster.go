package table

import (
	"time"

	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/pkg/fleet"
)

// Roster is the node's state and its view of the other hosts of the fleet, for the choice of entry hosts.
type Roster struct {
	Self fleet.Host
	// Ready reports whether the node has what it needs to serve callers.
	Ready bool
	// Hosts holds the states of the other hosts by host ID, without the node itself.
	Hosts map[string]*roster.State
	// UnansweredSince is when a registrar first did not answer while the others were not known to be in touch; zero if there is
	// no such doubt. Isolated reports whether the node is cut off from most registrars and from the platform's log, and
	// LogUnreachable whether the last read of the log failed.
	UnansweredSince time.Time
	Isolated        bool
	LogUnreachable  bool
	// EntryHosts are the entry hosts, to which callers are sent. The slice is replaced, never modified.
	EntryHosts []fleet.Host
	// SelectedFrom holds the hosts from which EntryHosts were selected, by host ID, and SelectedLoad the load in requests
	// per second.
	SelectedFrom map[string]fleet.Host
	SelectedLoad float64
}
