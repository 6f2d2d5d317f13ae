// Package once implements idempotency keys: it decides whether a request with a key is executed, waits for an earlier
// request with the same key, or gets the stored response. A request with a given key is executed at most once.
package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// EpochDuration is the time for which an owner issues keys of one epoch.
	EpochDuration = 5 * time.Minute
	// maxUniqueBytes bounds the memory used by a key; a UUID has 36 bytes.
	maxUniqueBytes = 128
	// maxNameBytes bounds the host and the incarnation. It is the maximum length of a DNS label.
	maxNameBytes = 63
	// maxEpochDigits ensures that an epoch fits into an int64.
	maxEpochDigits = 18
)

// Key is a parsed idempotency key. Host and Incarnation name the owner, which issued the key's prefix in the given
// epoch.
type Key struct {
	Host        string
	Incarnation string
	Epoch       int64
	// Unique is the part that the caller chooses.
	Unique string
}

// FormatError is returned for an idempotency key with an invalid format.
type FormatError struct {
	Reason string
}

func (e FormatError) Error() string {
	return "idempotency key has the form <host>.<incarnation>.<epoch>.<unique>: " + e.Reason
}

// Prefix returns the prefix of a key, which the owner issues. The caller appends a dot and its unique part.
func Prefix(host, incarnation string, epoch int64) string {
	return fmt.Sprintf("%s.%s.%d", host, incarnation, epoch)
}

// String returns the key in the format that Parse accepts.
func (k Key) String() string {
	return Prefix(k.Host, k.Incarnation, k.Epoch) + "." + k.Unique
}

// Parse parses a key. The error is a FormatError. Each key has exactly one valid spelling; otherwise a request could be
// executed once per spelling.
func Parse(s string) (Key, error) {
	parts := strings.SplitN(s, ".", 4)
	if len(parts) != 4 {
		return Key{}, FormatError{Reason: "there are fewer than four parts"}
	}
	if !validName(parts[0]) {
		return Key{}, FormatError{Reason: "the host is not 1 to 63 letters, digits, '-' or '_'"}
	}
	if !validName(parts[1]) {
		return Key{}, FormatError{Reason: "the incarnation is not 1 to 63 letters, digits, '-' or '_'"}
	}
	epoch, ok := parseEpoch(parts[2])
	if !ok {
		return Key{}, FormatError{Reason: "the epoch is not a decimal number without leading zeros"}
	}
	if !validUnique(parts[3]) {
		return Key{}, FormatError{Reason: "the unique part is not 1 to 128 printable ASCII characters without spaces"}
	}
	return Key{Host: parts[0], Incarnation: parts[1], Epoch: epoch, Unique: parts[3]}, nil
}

// ValidHost reports whether a host ID can be used in a key.
func ValidHost(id string) bool {
	return validName(id)
}

// Epoch returns the current epoch of an owner that started at the given time. Both times must contain a monotonic clock
// reading; otherwise a step of the wall clock could return to an earlier epoch.
func Epoch(started, now time.Time) int64 {
	return max(0, int64(now.Sub(started)/EpochDuration))
}

func parseEpoch(s string) (int64, bool) {
	if len(s) == 0 || len(s) > maxEpochDigits || (len(s) > 1 && s[0] == '0') {
		return 0, false
	}
	for _, c := range s {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	epoch, err := strconv.ParseInt(s, 10, 64)
	return epoch, err == nil
}

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func validUnique(s string) bool {
	if len(s) == 0 || len(s) > maxUniqueBytes {
		return false
	}
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
