package peerapi

import (
	"fmt"
	"net/netip"
)

// Bounds of a host in a message or in the topic of hosts, which other programs can write.
const (
	maxHostIDBytes = 255
	maxWeight      = 1e6
)

// HostError reports a host with an invalid field.
type HostError struct {
	ID    string
	Field string
}

func (e HostError) Error() string {
	return fmt.Sprintf("host %q has an invalid %s", e.ID[:min(len(e.ID), maxHostIDBytes)], e.Field)
}

// Check returns a HostError if a field of the host is invalid. A host that does not serve yet has no addresses.
func (h Host) Check() error {
	switch {
	case h.ID == "" || len(h.ID) > maxHostIDBytes:
		return HostError{ID: h.ID, Field: "ID"}
	case !validAddress(h.CallerAddress):
		return HostError{ID: h.ID, Field: "caller address"}
	case !validAddress(h.PeerAddress):
		return HostError{ID: h.ID, Field: "peer address"}
	case h.Weight < 0 || h.Weight > maxWeight:
		return HostError{ID: h.ID, Field: "weight"}
	}
	return nil
}

func validAddress(address string) bool {
	if address == "" {
		return true
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0
}
