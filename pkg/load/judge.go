package load

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Class is the result category of one request from the caller's point of view.
type Class string

// Result classes. Each request is counted in exactly one.
const (
	// Answered is a complete and correct response of a backend server.
	Answered Class = "answered"
	// AnsweredError is an answered request with a 5xx status.
	AnsweredError Class = "answered-error"
	// NotRun is a request that, according to the node, no backend server ran.
	NotRun Class = "not-run"
	// Unknown is a request that, according to the node, a backend server may have run.
	Unknown Class = "unknown"
	// TransportError is a connection that failed before the response was complete.
	TransportError Class = "transport-error"
	// NoEntry is a request that was not sent because no node accepted a connection.
	NoEntry Class = "no-entry"
	// NotSent is a request that the load tool did not send because its workers were busy and its queue was full.
	NotSent Class = "not-sent"
	// NoOutcome is a response without a valid outcome header.
	NoOutcome Class = "no-outcome"
	// WrongResponse is a complete response that belongs to another request. No fault may cause one.
	WrongResponse Class = "wrong-response"
	// DigestMismatch is an apparently complete response whose body does not match its digest. No fault may cause one.
	DigestMismatch Class = "digest-mismatch"
)

// Classes lists all classes in the order in which reports show them.
var Classes = []Class{
	Answered, AnsweredError, NotRun, Unknown, TransportError, NoEntry, NotSent, NoOutcome, WrongResponse, DigestMismatch,
}

// Digest is the result of verifying the Content-Digest header against the received body.
type Digest string

// Results of the digest verification.
const (
	DigestMatches Digest = "matches"
	DigestDiffers Digest = "differs"
	DigestMissing Digest = "missing"
)

// Reply describes the response that the caller received.
type Reply struct {
	// Connected reports whether a connection to a node was established.
	Connected bool
	// Incomplete reports whether the exchange failed before the response was complete.
	Incomplete bool
	Status     int
	Outcome    fleet.Outcome
	Reason     string
	Digest     Digest
	// EchoMismatch reports whether the response echoes another request.
	EchoMismatch bool
	Bytes        int64
}

// Classify returns the result class of the reply.
func Classify(r Reply) Class {
	switch {
	case !r.Connected:
		return NoEntry
	case r.Incomplete:
		return TransportError
	case r.Outcome == fleet.NotRun:
		return NotRun
	case r.Outcome == fleet.Unknown:
		return Unknown
	case r.Outcome != fleet.Answered:
		return NoOutcome
	case r.Digest == DigestDiffers:
		return DigestMismatch
	case r.EchoMismatch:
		return WrongResponse
	case r.Status >= 500:
		return AnsweredError
	}
	return Answered
}

// CountsAsGoodput reports whether the result is an answer within the latency target. A target of 0 accepts any latency.
func CountsAsGoodput(c Class, latency, target time.Duration) bool {
	return c == Answered && (target == 0 || latency <= target)
}
