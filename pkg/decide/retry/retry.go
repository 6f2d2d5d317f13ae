// Package retry decides what becomes of a request after a failed attempt.
package retry

import "egretline.example/egretline/pkg/fleet"

// Attempt describes a finished attempt.
type Attempt struct {
	Evidence   fleet.Evidence
	Idempotent bool
	// Sent says that bytes of the request may have reached the backend server.
	Sent bool
	// MaybeRun says that an earlier attempt of the same request may have run.
	MaybeRun bool
}

// Refused says that the attempt was proven not to have run the request.
func Refused(a Attempt) bool {
	return !a.Sent || a.Evidence == fleet.Shed || a.Evidence == fleet.Draining
}

// Outcome returns what the caller is told if the attempt is the last one and gave no response.
func Outcome(a Attempt) fleet.Outcome {
	if a.MaybeRun || !Refused(a) {
		return fleet.Unknown
	}
	return fleet.NotRun
}
