package api

// HostList is the response of the platform's host list to GET /hosts.
type HostList struct {
	Hosts []Host `json:"hosts"`
	// BackendServersLeaving lists the addresses of backend servers that will stop soon.
	BackendServersLeaving []string `json:"backend-servers-leaving"`
}

// Host is one machine on the platform's host list.
type Host struct {
	ID               string `json:"id"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability-zone"`
	CallerAddress    string `json:"caller-address"`
	PeerAddress      string `json:"peer-address"`
	// Weight is the relative capacity of the host; absent or 0 means 1.
	Weight  float64 `json:"weight,omitempty"`
	Leaving bool    `json:"leaving"`
}
