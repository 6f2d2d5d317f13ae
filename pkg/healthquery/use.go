// Package healthquery reads the health of backend servers from the Backends table and returns copies.
package healthquery

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/table"
)

// Use says what a request may be sent to a backend server for.
type Use int

// Uses of a backend server.
const (
	// NoUse means that the server gets no new request.
	NoUse Use = iota
	// NormalUse means that the server is eligible.
	NormalUse
	// TrialUse means that the server is out of use, and that an idempotent request may go to it as a trial.
	TrialUse
)

// UseOf returns the use of the server for a request. Dispatch calls it under the lock of the table. A retry is no trial,
// because it is the last chance of its request.
func UseOf(s *table.Backend, idempotent bool, attempt int, now time.Time) Use {
	switch {
	case s.Leaving:
		return NoUse
	case !detect.Out(&s.State):
		return NormalUse
	case idempotent && attempt == 0 && detect.TrialDue(&s.State, now):
		return TrialUse
	default:
		return NoUse
	}
}
