// Package settings reads and checks the settings file of one node.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/decide/once"
)

// Default values of optional settings.
const (
	// DefaultMaxConnections is the maximum number of connections of each listener.
	DefaultMaxConnections = 2048
	// DefaultExchangeWorkers is the maximum number of concurrent requests to backend servers.
	DefaultExchangeWorkers = 256
	// DefaultForwardWorkers is the maximum number of concurrent requests forwarded to other nodes.
	DefaultForwardWorkers = 64
	// DefaultControlWorkers is the maximum number of concurrent probes, heartbeats and other periodic jobs.
	DefaultControlWorkers = 8
	// DefaultEntryTTL is the time for which callers may cache an entry response.
	DefaultEntryTTL = 30 * time.Second
	// DefaultDrainGrace is the time for which a leaving node keeps accepting requests. It is longer than DefaultEntryTTL,
	// because callers with a cached entry response still use the node.
	DefaultDrainGrace = 35 * time.Second
)

// Duration is a duration that is written as a string such as "2s" in TOML.
type Duration struct {
	time.Duration
}

// UnmarshalText parses a Go duration string. It returns DurationError.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return DurationError{Text: string(text)}
	}
	d.Duration = v
	return nil
}

// DurationError reports a string that is not a Go duration, for example because it lacks a unit.
type DurationError struct {
	Text string
}

func (e DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration; write a number with a unit, such as \"250ms\" or \"30s\"", e.Text)
}

// OptionalNumber is a number that is written as a string in TOML, for settings that a template fills in. An empty string and
// null stand for a missing value, which is zero.
type OptionalNumber float64

// UnmarshalText parses a decimal number. It returns NumberError.
func (n *OptionalNumber) UnmarshalText(text []byte) error {
	if len(text) == 0 || string(text) == "null" {
		*n = 0
		return nil
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return NumberError{Text: string(text)}
	}
	*n = OptionalNumber(v)
	return nil
}

// NumberError reports a string that is not a decimal number.
type NumberError struct {
	Text string
}

func (e NumberError) Error() string {
	return fmt.Sprintf("%q is not a number; write one such as \"0.1\", or \"\" for none", e.Text)
}

// Settings holds the settings that a node needs at startup, before it has read any configuration.
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

	// CallerCertificate and CallerKey are paths of PEM files for TLS connections from callers; empty for plain HTTP.
	CallerCertificate string `toml:"caller-certificate"`
	CallerKey         string `toml:"caller-key"`
	// PeerCertificate, PeerKey and PeerAuthority are paths of PEM files for mutual TLS between nodes; empty for plain
	// HTTP.
	PeerCertificate string `toml:"peer-certificate"`
	PeerKey         string `toml:"peer-key"`
	PeerAuthority   string `toml:"peer-authority"`

	LogLevel string `toml:"log-level"`
	// TraceFile is the path of the file to which evidence about backend servers is written; empty to record no trace.
	TraceFile string `toml:"trace-file"`
}

// FileError reports an error in a settings file, with its location and a remedy.
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

// Decode decodes and checks the contents of a settings file. The path is used in errors only.
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
	return s, validate(path, s)
}

// DecodeStrict decodes TOML into the struct that target points to. It returns FileError for unknown or malformed keys.
func DecodeStrict(path string, contents []byte, target any) error {
	d := toml.NewDecoder(bytes.NewReader(contents))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return decodeError(path, err)
	}
	return nil
}

// decodeError converts an error of the TOML decoder to a FileError.
func decodeError(path string, err error) error {
	var strictError *toml.StrictMissingError
	if errors.As(err, &strictError) && len(strictError.Errors) > 0 {
		first := strictError.Errors[0]
		line, _ := first.Position()
		return FileError{Path: path, Line: line, Key: fmt.Sprint(first.Key()), Remedy: "unknown key; remove it"}
	}
	var tomlError *toml.DecodeError
	if errors.As(err, &tomlError) {
		line, _ := tomlError.Position()
		return FileError{Path: path, Line: line, Key: fmt.Sprint(tomlError.Key()), Remedy: tomlError.Error()}
	}
	return FileError{Path: path, Remedy: err.Error()}
}

func validate(path string, s Settings) error {
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
	return validateTLS(path, s)
}

func validateTLS(path string, s Settings) error {
	if (s.CallerCertificate == "") != (s.CallerKey == "") {
		return FileError{Path: path, Key: "caller-certificate, caller-key", Remedy: "write both or neither"}
	}
	if (s.PeerCertificate == "") != (s.PeerKey == "") || (s.PeerCertificate == "") != (s.PeerAuthority == "") {
		return FileError{Path: path, Key: "peer-certificate, peer-key, peer-authority", Remedy: "write all three or none"}
	}
	return nil
}
