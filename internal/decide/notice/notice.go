// Package notice keeps what backend servers asked of this node in their responses: to get no more requests because they
// are leaving, or none for some time. It answers loads in which servers shed work or are replaced while their registration
// lags behind.
package notice

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// MaxPause bounds the time for which a response can keep this node from using a server.
	MaxPause = 5 * time.Minute
	// retention is how long a notice is kept after its last use. A registration that expired during an outage of the
	// registry may return under the same run.
	retention = time.Hour
	// maxNotices bounds the number of notices.
	maxNotices = 8192
)

// Run identifies one run of a backend server. A restarted server is another run.
type Run struct {
	Address     string
	Instance    string
	StartedAtMs int64
}

// RunOf returns the run that the definition of the server describes.
func RunOf(s fleet.BackendServer) Run {
	return Run{Address: s.Address, Instance: s.Instance, StartedAtMs: s.StartedAtMs}
}

// State is what one run asked for. The zero value asks for nothing.
type State struct {
	// Leaving reports whether the server is leaving and gets no more requests.
	Leaving bool
	// PausedUntil is the time until which the server gets no requests; zero if it never asked for a pause.
	PausedUntil time.Time

	updated time.Time
}

// Permits reports whether the server may get a new request.
func (s State) Permits(now time.Time) bool { return !s.Leaving && !now.Before(s.PausedUntil) }

// Table holds the states of all runs that asked for something. The zero value is an empty table. It has no lock of its own.
type Table struct {
	runs map[Run]State
	// lastPauseEnd is the latest end of all pauses.
	lastPauseEnd time.Time
}

// AnyPaused reports whether any run may be paused.
func (t *Table) AnyPaused(now time.Time) bool { return now.Before(t.lastPauseEnd) }

// Get returns the state of the run.
func (t *Table) Get(r Run) State { return t.runs[r] }

// Record adds a request of the run and returns its state. A pause never ends earlier than one recorded before.
func (t *Table) Record(r Run, leaving bool, pause time.Duration, now time.Time) State {
	if t.runs == nil {
		t.runs = map[Run]State{}
	}
	s := t.runs[r]
	s.Leaving = s.Leaving || leaving
	if until := now.Add(min(pause, MaxPause)); pause > 0 && until.After(s.PausedUntil) {
		s.PausedUntil = until
	}
	if s.PausedUntil.After(t.lastPauseEnd) {
		t.lastPauseEnd = s.PausedUntil
	}
	s.updated = now
	t.runs[r] = s
	if len(t.runs) > maxNotices {
		t.prune(now)
	}
	return s
}

// prune deletes expired notices and, if none has expired, the oldest one.
func (t *Table) prune(now time.Time) {
	var oldest Run
	before := len(t.runs)
	for r, s := range t.runs {
		if now.Sub(s.updated) > retention {
			delete(t.runs, r)
			continue
		}
		if o, known := t.runs[oldest]; !known || s.updated.Before(o.updated) {
			oldest = r
		}
	}
	if len(t.runs) == before {
		delete(t.runs, oldest)
	}
}

// RetryAfterError reports a Retry-After header that was not applied as sent.
type RetryAfterError struct {
	Value string
	// Applied is the pause that was used instead.
	Applied time.Duration
}

func (e RetryAfterError) Error() string {
	const maxQuoted = 40
	return fmt.Sprintf("invalid Retry-After %q; using %s", e.Value[:min(len(e.Value), maxQuoted)], e.Applied)
}

// ParseRetryAfter returns the pause that a Retry-After header asks for, in whole or fractional seconds. An empty header
// asks for none. With a RetryAfterError the result is within bounds: zero for a value that is not a number of seconds, and
// MaxPause for a longer one.
func ParseRetryAfter(value string) (time.Duration, error) {
	text := strings.TrimSpace(value)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case seconds > MaxPause.Seconds(): // includes values out of the range of float64
		return MaxPause, RetryAfterError{Value: value, Applied: MaxPause}
	case err != nil || math.IsNaN(seconds) || seconds < 0 || strings.Trim(text, "+.0123456789") != "":
		return 0, RetryAfterError{Value: value}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
