package api

// Entries is the response of GET /entries: the nodes that a caller may use for a service.
type Entries struct {
	// TimeToLiveMs is how long the caller may keep the response.
	TimeToLiveMs int64 `json:"time-to-live-ms"`
	// Entries is in the order in which the caller tries them.
	Entries []Entry `json:"entries"`
}

// Entry is one node in an entry response.
type Entry struct {
	HostID           string `json:"host-id"`
	AvailabilityZone string `json:"availability-zone"`
	// Address is the IP:port where the node takes requests of callers.
	Address string `json:"address"`
	// KeyPrefix is the prefix of idempotency keys whose home is this node; empty if it is not known.
	KeyPrefix string `json:"key-prefix,omitempty"`
}
