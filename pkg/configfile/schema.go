package configfile

// document is the TOML form of a configuration file.
type document struct {
	Ranks    []rankEntry             `toml:"rank"`
	Services map[string]serviceEntry `toml:"service"`
	Routes   []routeEntry            `toml:"route"`
	Tenants  map[string]tenantEntry  `toml:"tenant"`
}

type rankEntry struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	SlotLimit float64 `toml:"slot-limit"`
}

type serviceEntry struct {
	Region         string        `toml:"region"`
	Floor          int           `toml:"floor"`
	GroupSize      int           `toml:"group-size"`
	Preference     string        `toml:"preference"`
	ColdStart      string        `toml:"cold-start"`
	BackendServers []serverEntry `toml:"backend-server"`
}

type serverEntry struct {
	Address          string `toml:"address"`
	AvailabilityZone string `toml:"availability-zone"`
	Slots            int    `toml:"slots"`
	Connections      int    `toml:"connections"`
}

type routeEntry struct {
	Name       string `toml:"name"`
	Service    string `toml:"service"`
	Method     string `toml:"method"`
	PathPrefix string `toml:"path-prefix"`
	Rank       string `toml:"rank"`
	Idempotent bool   `toml:"idempotent"`
	Timeout    string `toml:"timeout"`
}

type tenantEntry struct {
	TokenSHA256       string   `toml:"token-sha256"`
	Services          []string `toml:"services"`
	RequestsPerSecond float64  `toml:"requests-per-second"`
	Burst             int      `toml:"burst"`
	InFlight          int      `toml:"in-flight"`
}
