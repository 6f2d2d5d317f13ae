// Package once decides what becomes of a request with an idempotency key, so that a key runs at most once.
package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// EpochLength is the time for which a home issues keys of one epoch.
	EpochLength = 5 * time.Minute
	// maxUnique bounds the memory of a key; a UUID takes 36 bytes.
	maxUnique = 128
	// maxName is the longest label that DNS allows, and bounds the host and the incarnation.
	maxName = 63
	// maxEpochDigits keeps an epoch inside int64.
	maxEpochDigits = 18
)

// Key is a parsed idempotency key. Its first three parts name the home: the incarnation of the host that issued them.
type Key struct {
	Host        string
	Incarnation string
	Epoch       int64
	// Unique is chosen by the caller.
	Unique string
}

// FormatError reports an idempotency key that names no home.
type FormatError struct {
	Reason string
}

func (e FormatError) Error() string {
	return "idempotency key has the form <host>.<incarnation>.<epoch>.<unique>: " + e.Reason
}

// Prefix returns the part of a key that the home issues. The caller appends a dot and its unique part.
func Prefix(host, incarnation string, epoch int64) string {
	return fmt.Sprintf("%s.%s.%d", host, incarnation, epoch)
}

// String returns the key in the form that Parse reads.
func (k Key) String() string {
	return Prefix(k.Host, k.Incarnation, k.Epoch) + "." + k.Unique
}

// Parse reads a key. It returns FormatError. Each key has exactly one accepted spelling, so that two spellings cannot
// run twice.
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

// ValidHost says whether a host ID can be part of a key.
func ValidHost(id string) bool {
	return validName(id)
}

// Epoch returns the epoch of a home that started at the given time. Both times must carry Go's monotonic clock reading,
// so that a step of the wall clock cannot bring back an old epoch.
func Epoch(started, now time.Time) int64 {
	return max(0, int64(now.Sub(started)/EpochLength))
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
	if len(s) == 0 || len(s) > maxName {
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
	if len(s) == 0 || len(s) > maxUnique {
		return false
	}
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
