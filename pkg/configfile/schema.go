package configfile

import (
	"reflect"
	"strings"
)

// document is the TOML schema of a configuration file.
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

// allowedKeys returns a remedy that lists the keys allowed in the table of the unknown key.
func allowedKeys(key []string) string {
	var entry any = document{}
	switch {
	case len(key) < 2:
	case key[0] == "rank":
		entry = rankEntry{}
	case key[0] == "route":
		entry = routeEntry{}
	case key[0] == "tenant":
		entry = tenantEntry{}
	case key[0] == "service" && len(key) > 3 && key[2] == "backend-server":
		entry = serverEntry{}
	case key[0] == "service":
		entry = serviceEntry{}
	}
	var names []string
	for f := range reflect.TypeOf(entry).Fields() {
		names = append(names, f.Tag.Get("toml"))
	}
	return "use one of " + strings.Join(names, ", ")
}
