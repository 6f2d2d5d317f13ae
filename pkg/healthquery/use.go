// Package healthquery reads the health of backend servers from the Backends table and returns copies of it.
package healthquery

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/table"
)

// Use is the kind of request that a backend server may get.
type Use int

// Uses of a backend server.
const (
	// NoUse means that the server gets no new requests.
	NoUse Use = iota
	// NormalUse means that the server gets requests without restriction.
	NormalUse
	// TrialUse means that the server is out of use and that a trial request is due. Only an idempotent request may be one.
	TrialUse
)

// UseOf returns the use of the server for a request; attempt counts from 0. Dispatch calls it with the table locked. A
// retry is never a trial, because it may be the last attempt of its request.
func UseOf(s *table.Backend, idempotent bool, attempt int, now time.Time) Use {
	switch {
	case s.Leaving || now.Before(s.PausedUntil):
		return NoUse
	case !detect.OutOfUse(&s.State):
		return NormalUse
	case idempotent && attempt == 0 && detect.TrialDue(&s.State, now):
		return TrialUse
	default:
		return NoUse
	}
}
