// Package settings reads the settings file of one node.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/decide/once"
)

// Defaults of settings that the file leaves out.
const (
	// DefaultMaxConnections bounds the connections of each listener.
	DefaultMaxConnections = 2048
	// DefaultExchangeWorkers bounds the requests that a node exchanges with backend servers at the same time.
	DefaultExchangeWorkers = 256
	// DefaultForwardWorkers bounds the requests that a node forwards to other nodes at the same time.
	DefaultForwardWorkers = 64
	// DefaultControlWorkers bounds the concurrent probes, heartbeats and other periodic jobs.
	DefaultControlWorkers = 8
	// DefaultEntryTTL is how long callers may keep an entry response.
	DefaultEntryTTL = 30 * time.Second
	// DefaultDrainGrace is how long a leaving node keeps accepting requests. It is longer than DefaultEntryTTL, so that
	// callers with a cached entry response still reach the node.
	DefaultDrainGrace = 35 * time.Second
)

// Duration is a time span that is written as a string such as "2s".
type Duration struct {
	time.Duration
}

// UnmarshalText parses a Go duration string.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return DurationError{Text: string(text)}
	}
	d.Duration = v
	return nil
}

// DurationError reports a duration without a valid unit.
type DurationError struct {
	Text string
}

func (e DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration; write a number with a unit, such as \"250ms\" or \"30s\"", e.Text)
}

// Settings is what a node must know before it has any configuration.
type Settings struct {
	HostID           string `toml:"host-id"`
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability-zone"`

	CallerAddress   string `toml:"caller-address"`
	PeerAddress     string `toml:"peer-address"`
	OperatorAddress string `toml:"operator-address"`

	LogURL      string `toml:"log-url"`
	HostListURL string `toml:"host-list-url"`

	MaxConnections  int `toml:"max-connections"`
	ExchangeWorkers int `toml:"exchange-workers"`
	ForwardWorkers  int `toml:"forward-workers"`
	ControlWorkers  int `toml:"control-workers"`

	EntryTTL   Duration `toml:"entry-ttl"`
	DrainGrace Duration `toml:"drain-grace"`

	// CallerCertificate and CallerKey are PEM files for TLS towards callers; empty for plain HTTP.
	CallerCertificate string `toml:"caller-certificate"`
	CallerKey         string `toml:"caller-key"`
	// PeerCertificate, PeerKey and PeerAuthority are PEM files for mutual TLS between nodes; empty for plain HTTP.
	PeerCertificate string `toml:"peer-certificate"`
	PeerKey         string `toml:"peer-key"`
	PeerAuthority   string `toml:"peer-authority"`

	LogLevel string `toml:"log-level"`
	// TraceFile is where evidence about backend servers is recorded; empty for none.
	TraceFile string `toml:"trace-file"`
}

// FileError reports a settings file that cannot be used, with the place and the remedy.
type FileError struct {
	Path   string
	Line   int
	Key    string
	Remedy string
}

func (e FileError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, e.Key, e.Remedy)
}

// Load reads and checks the settings file. It returns FileError for a file with unknown, missing or malformed keys, and
// a wrapped os error if the file cannot be read.
func Load(path string) (Settings, error) {
	contents, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Decode(path, contents)
}

// Decode checks the contents of a settings file. The path is used in errors only.
func Decode(path string, contents []byte) (Settings, error) {
	s := Settings{
		MaxConnections:  DefaultMaxConnections,
		ExchangeWorkers: DefaultExchangeWorkers,
		ForwardWorkers:  DefaultForwardWorkers,
		ControlWorkers:  DefaultControlWorkers,
		EntryTTL:        Duration{DefaultEntryTTL},
		DrainGrace:      Duration{DefaultDrainGrace},
		LogLevel:        "info",
	}
	if err := DecodeStrict(path, contents, &s); err != nil {
		return Settings{}, err
	}
	return s, check(path, s)
}

// DecodeStrict decodes TOML into the struct that into points to. It returns FileError for unknown or malformed keys.
func DecodeStrict(path string, contents []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(contents))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return decodeError(path, err)
	}
	return nil
}

func decodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return FileError{Path: path, Line: line, Key: fmt.Sprint(first.Key()), Remedy: "unknown key; remove it"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return FileError{Path: path, Line: line, Key: fmt.Sprint(decode.Key()), Remedy: decode.Error()}
	}
	return FileError{Path: path, Remedy: err.Error()}
}

func check(path string, s Settings) error {
	required := []struct{ key, value string }{
		{"host-id", s.HostID},
		{"region", s.Region},
		{"availability-zone", s.AvailabilityZone},
		{"caller-address", s.CallerAddress},
		{"peer-address", s.PeerAddress},
		{"operator-address", s.OperatorAddress},
		{"log-url", s.LogURL},
		{"host-list-url", s.HostListURL},
	}
	for _, r := range required {
		if r.value == "" {
			return FileError{Path: path, Key: r.key, Remedy: "missing; write a value for it"}
		}
	}
	if s.MaxConnections < 1 {
		return FileError{Path: path, Key: "max-connections", Remedy: "must be at least 1"}
	}
	if s.ExchangeWorkers < 1 || s.ForwardWorkers < 1 || s.ControlWorkers < 1 {
		return FileError{Path: path, Key: "exchange-workers, forward-workers, control-workers", Remedy: "must be at least 1"}
	}
	if s.DrainGrace.Duration <= s.EntryTTL.Duration {
		return FileError{Path: path, Key: "drain-grace", Remedy: "must be longer than entry-ttl, so that callers with a cached entry are still served"}
	}
	if !once.ValidHost(s.HostID) {
		return FileError{Path: path, Key: "host-id", Remedy: "is part of idempotency keys; use 1 to 63 letters, digits, '-' and '_'"}
	}
	return checkTLS(path, s)
}

func checkTLS(path string, s Settings) error {
	if (s.CallerCertificate == "") != (s.CallerKey == "") {
		return FileError{Path: path, Key: "caller-certificate, caller-key", Remedy: "write both or neither"}
	}
	if (s.PeerCertificate == "") != (s.PeerKey == "") || (s.PeerCertificate == "") != (s.PeerAuthority == "") {
		return FileError{Path: path, Key: "peer-certificate, peer-key, peer-authority", Remedy: "write all three or none"}
	}
	return nil
}
