package api

// Entries is the response of GET /entries: the nodes that a caller may use for a service.
type Entries struct {
	// TimeToLiveMs is the time for which the caller may cache the response.
	TimeToLiveMs int64 `json:"time-to-live-ms"`
	// Entries is in the order in which the caller should try them.
	Entries []Entry `json:"entries"`
}

// Entry is one node in an entry response.
type Entry struct {
	HostID           string `json:"host-id"`
	AvailabilityZone string `json:"availability-zone"`
	// Address is the IP:port of the node's caller listener.
	Address string `json:"address"`
	// KeyPrefix is the prefix of idempotency keys that this node owns; empty if it is not known.
	KeyPrefix string `json:"key-prefix,omitempty"`
}
