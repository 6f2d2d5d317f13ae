// Package entrysettings reads the settings file of an entry node.
package entrysettings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/settings"
)

// Default values of optional settings.
const (
	// DefaultZoneCrossingTime is the time that a neighboring availability zone of the same region adds to a request.
	DefaultZoneCrossingTime = 3 * time.Millisecond
	// DefaultZoneTransferCost makes small requests wait a few milliseconds and large responses as long as they are in time.
	DefaultZoneTransferCost = time.Second
)

// defaultServerRequestMB leaves half of the memory of a small backend server to other things than request bodies, and admits
// the largest body that operators allow.
const defaultServerRequestMB = 64

// Settings holds the settings that an entry node needs before it reads the log.
type Settings struct {
	HostID           string `toml:"host-id"`
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability-zone"`

	CallerAddress    string `toml:"caller-address"`
	PeerAddress      string `toml:"peer-address"`
	DirectoryAddress string `toml:"directory-address"`
	ReadinessAddress string `toml:"readiness-address"`
	MetricsAddress   string `toml:"metrics-address"`
	// LogAddress is the address of the platform's log.
	LogAddress string `toml:"log-address"`
	// FirstStart is set if the whole fleet starts for the first time. Otherwise callers may be waiting for the node.
	FirstStart bool `toml:"first-start"`
	// Seeds are peer addresses of other hosts, which may be stale.
	Seeds []string `toml:"seeds"`

	// CPUShare is the fraction of each core that the node may use, and Cores the number of cores.
	CPUShare      float64 `toml:"cpu-share"`
	Cores         float64 `toml:"cores"`
	BandwidthMbps float64 `toml:"bandwidth-mbps"`
	MemoryMB      int64   `toml:"memory-mb"`
	// ServerRequestMB bounds the request bodies outstanding at a backend server from all nodes together, in MB.
	ServerRequestMB int64 `toml:"server-request-mb"`

	// EntryTTL is how long callers may cache a directory response.
	EntryTTL settings.Duration `toml:"entry-ttl"`
	// GracePeriod is the time between the stop signal and the forced end of the process.
	GracePeriod settings.Duration `toml:"grace"`
	// RetryRatio and RetryBurst limit the retries of the whole fleet at one service.
	RetryRatio float64 `toml:"retry-ratio"`
	RetryBurst int     `toml:"retry-burst"`
	// QuotaOver and QuotaSlack are how far the requests of a customer at all hosts may exceed its limit in any window: by a
	// fraction of what the limit allows in it, and by a number of requests. They are zero if the deployment states none.
	QuotaOver  settings.OptionalNumber `toml:"quota-over"`
	QuotaSlack settings.OptionalNumber `toml:"quota-slack"`
	// ZonePreference is set if requests prefer the backend servers in the availability zone of their callers.
	ZonePreference bool `toml:"zone-preference"`
	// ZoneCrossingTime is the time that another zone adds to a request, there and back.
	ZoneCrossingTime settings.Duration `toml:"zone-crossing-time"`
	// ZoneTransferCost is the wait that is accepted to keep a megabyte of request and response in its zone. Responses that
	// would be late leave the zone at any cost.
	ZoneTransferCost settings.Duration `toml:"zone-transfer-cost"`
	LogLevel         string            `toml:"log-level"`
}

// Load reads and validates the settings file. It returns settings.FileError for a file with unknown, missing or
// malformed keys, and a wrapped os error if the file cannot be read.
func Load(path string) (Settings, error) {
	contents, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Decode(path, contents)
}

// Decode parses and validates the contents of a settings file. The path is used only in errors.
func Decode(path string, contents []byte) (Settings, error) {
	s := Settings{
		LogLevel: "info", ServerRequestMB: defaultServerRequestMB,
		ZoneCrossingTime: settings.Duration{Duration: DefaultZoneCrossingTime},
		ZoneTransferCost: settings.Duration{Duration: DefaultZoneTransferCost},
	}
	if err := settings.DecodeStrict(path, contents, &s); err != nil {
		return Settings{}, err
	}
	return s, checkValues(path, s)
}

func checkValues(path string, s Settings) error {
	for _, r := range []struct{ key, value string }{
		{"host-id", s.HostID},
		{"availability-zone", s.AvailabilityZone},
		{"caller-address", s.CallerAddress},
		{"peer-address", s.PeerAddress},
		{"directory-address", s.DirectoryAddress},
		{"readiness-address", s.ReadinessAddress},
		{"metrics-address", s.MetricsAddress},
		{"log-address", s.LogAddress},
	} {
		if r.value == "" {
			return settings.FileError{Path: path, Key: r.key, Remedy: "missing; write a value for it"}
		}
	}
	for _, r := range []struct {
		key string
		ok  bool
	}{
		{"cpu-share", s.CPUShare > 0},
		{"cores", s.Cores > 0},
		{"bandwidth-mbps", s.BandwidthMbps > 0},
		{"memory-mb", s.MemoryMB > 0},
		{"server-request-mb", s.ServerRequestMB > 0},
		{"entry-ttl", s.EntryTTL.Duration > 0},
		{"grace", s.GracePeriod.Duration > time.Second},
		{"retry-ratio", s.RetryRatio >= 0 && s.RetryRatio < 1},
		{"retry-burst", s.RetryBurst >= 0},
		{"quota-over", s.QuotaOver >= 0 && s.QuotaOver < 1},
		{"quota-slack", s.QuotaSlack >= 0},
		{"zone-crossing-time", s.ZoneCrossingTime.Duration > 0},
		{"zone-transfer-cost", s.ZoneTransferCost.Duration >= 0},
	} {
		if !r.ok {
			return settings.FileError{Path: path, Key: r.key, Remedy: "out of range; see docs/OPERATIONS.md"}
		}
	}
	return nil
}
