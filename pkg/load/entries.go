package load

import (
	"slices"
	"time"
)

// goneFor is how long an entry is passed over after a connection to it failed. It is shorter than the time to live of an
// entry response, so that a node that came back is used again.
const goneFor = 2 * time.Second

// Entry is a node that callers may use.
type Entry struct {
	Address string
	// KeyPrefix is the prefix of idempotency keys whose home is the node; empty if it is not known.
	KeyPrefix string
}

// EntryResponse is an entry response that the caller keeps.
type EntryResponse struct {
	Entries []Entry
	Expires time.Time
}

// Gone holds the time of the last failed connection by address.
type Gone map[string]time.Time

// Choose returns the first entry that was not tried, and prefers entries whose last connection did not fail. A keyed
// request needs an entry with a key prefix.
func Choose(r EntryResponse, gone Gone, tried []string, keyed bool, now time.Time) (Entry, bool) {
	var fallback Entry
	found := false
	for _, e := range r.Entries {
		if slices.Contains(tried, e.Address) || keyed && e.KeyPrefix == "" {
			continue
		}
		if at, failed := gone[e.Address]; !failed || now.Sub(at) >= goneFor {
			return e, true
		}
		if !found {
			fallback, found = e, true
		}
	}
	return fallback, found
}

// Fresh says whether the response may still be used.
func Fresh(r EntryResponse, now time.Time) bool {
	return now.Before(r.Expires)
}
