package load

import (
	"slices"
	"time"
)

// entryFailureBackoff is the time for which an entry is skipped after a failed connection. It is shorter than the time
// to live of an entry response, so a recovered node is used again before the response expires.
const entryFailureBackoff = 2 * time.Second

// Entry is an entry host that a caller may send requests to.
type Entry struct {
	Address string
	// KeyPrefix is the prefix of idempotency keys that the node owns; empty if unknown.
	KeyPrefix string
}

// EntryResponse is a response of GET /entries that the caller caches until Expires.
type EntryResponse struct {
	Entries []Entry
	Expires time.Time
}

// ConnectFailures maps the address of an entry to the time of its last failed connection.
type ConnectFailures map[string]time.Time

// ChooseEntry returns the first entry that is not in tried. Entries with a recent failed connection are used only if no
// other is left. A request with an idempotency key (keyed) needs an entry with a key prefix.
func ChooseEntry(r EntryResponse, failures ConnectFailures, tried []string, keyed bool, now time.Time) (Entry, bool) {
	var fallback Entry
	found := false
	for _, e := range r.Entries {
		if slices.Contains(tried, e.Address) || keyed && e.KeyPrefix == "" {
			continue
		}
		if at, failed := failures[e.Address]; !failed || now.Sub(at) >= entryFailureBackoff {
			return e, true
		}
		if !found {
			fallback, found = e, true
		}
	}
	return fallback, found
}

// IsFresh reports whether the cached response has not expired.
func IsFresh(r EntryResponse, now time.Time) bool {
	return now.Before(r.Expires)
}
