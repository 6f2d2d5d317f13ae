package node

import "fmt"

// HostIDError reports a host ID that cannot be part of an idempotency key.
type HostIDError struct {
	HostID string
}

func (e HostIDError) Error() string {
	return fmt.Sprintf("host-id %q: use 1 to 63 letters, digits, '-' and '_'", e.HostID)
}
