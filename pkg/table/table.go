// Package table holds the shared state of a node as plain structs. Each table has one lock, and the Rank constants
// define the lock order. Packages ending in cmd write the tables, packages ending in query read them.
package table

import (
	"context"
	"time"

	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
)

// Lock order of the tables: a goroutine acquires locks in ascending rank.
const (
	RankPauses guard.Rank = iota + 1
	RankConfig
	RankReplicas
	RankMembers
	RankRoster
	RankBackends
	RankQueues
	RankZones
	RankKeys
	RankBudgets
	RankQuotas
	RankTraffic
	RankTransfers
)

// Tables is the shared state of one node.
type Tables struct {
	Pauses   *guard.Guard[Pauses]
	Config   *guard.Guard[Config]
	Replicas *guard.Guard[Replicas]
	Members  *guard.Guard[Members]
	Roster   *guard.Guard[Roster]
	Backends *guard.Guard[Backends]
	Queues   *guard.Guard[Queues]
	Zones    *guard.Guard[Zones]
	Keys     *guard.Guard[Keys]
	Traffic  *guard.Guard[Traffic]
	Budgets  *guard.Guard[Budgets]
	Quotas   *guard.Guard[Quotas]
	// Transfers holds the byte budget of the transfers in progress.
	Transfers *guard.Guard[Transfers]
}

// New returns empty tables for the node on the given host.
func New(self fleet.Host, incarnation string) *Tables {
	return &Tables{
		Pauses:    guard.New(RankPauses, Pauses{}),
		Config:    guard.New(RankConfig, Config{}),
		Replicas:  guard.New(RankReplicas, newReplicas()),
		Members:   guard.New(RankMembers, newMembers(self, incarnation)),
		Roster:    guard.New(RankRoster, Roster{Self: self, Hosts: map[string]*roster.State{}}),
		Backends:  guard.New(RankBackends, newBackends()),
		Queues:    guard.New(RankQueues, newQueues()),
		Zones:     guard.New(RankZones, newZones()),
		Keys:      guard.New(RankKeys, newKeys()),
		Traffic:   guard.New(RankTraffic, newTraffic()),
		Budgets:   guard.New(RankBudgets, newBudgets()),
		Quotas:    guard.New(RankQuotas, newQuotas()),
		Transfers: guard.New(RankTransfers, newTransfers()),
	}
}

// Config holds the folded configuration and its decoded form.
type Config struct {
	Fold fold.State
	// Compiled is replaced, never modified, so readers may keep it.
	Compiled *fleet.Configuration
	// Decoded holds the decoded files by name. The map is replaced, never modified. It avoids decoding all files again
	// when one of them changes.
	Decoded map[string]DecodedFile
	// Snapshot is the newest snapshot of the fold that is known to be in the log.
	Snapshot fold.Snapshot
	// BehindSince is the time when a peer was first seen with a higher revision; zero if no peer has one.
	BehindSince time.Time
}

// DecodedFile is a configuration file after decoding.
type DecodedFile struct {
	Revision int64
	File     fleet.File
	// Problem is set if the file cannot be decoded.
	Problem *fleet.Problem
}

// Ticket is the state of one request while it is queued and attempted.
type Ticket struct {
	ID      string
	Service string
	Route   string
	Rank    int
	Tenant  string
	// Limits are the limits of the tenant.
	Limits     fleet.Limits
	Idempotent bool
	// Bulk reports whether the response is expected to be large. Such requests prefer a backend server in the node's
	// availability zone.
	Bulk bool
	// MaxPossibleRuns is the maximum number of attempts that may run the request; zero means that only the retry budget
	// limits them.
	MaxPossibleRuns int
	// BackupDelay is the duration of an attempt after which a backup attempt is sent to another server; zero disables
	// backup attempts.
	BackupDelay time.Duration
	// BodyBytes is the length of the request body; UnknownBodyBytes if it is not known.
	BodyBytes int64
	Arrived   time.Time
	Deadline  time.Time
	// TargetLatency is the time within which the response should arrive; zero means the time until the deadline.
	TargetLatency time.Duration
	// Context ends at the deadline or when the caller cancels the request.
	Context context.Context
	Runner  Runner
	// Done receives one result, after the last attempt.
	Done chan Result

	// Dispatched is the start time of the first attempt; zero before it.
	Dispatched time.Time
	Attempt    int
	// Trial reports whether the last attempt was sent to a server with a half-open circuit breaker.
	Trial bool
	// WaitEnded is when the request last ended a wait for the retry budget; zero if it never waited for it.
	WaitEnded time.Time
	// TriedAddresses lists the server addresses of earlier attempts.
	TriedAddresses []string
	// PossibleRuns is the number of earlier attempts that may have run the request.
	PossibleRuns int
	// Backups is the number of backup attempts.
	Backups int
	// MayHaveRun reports whether an earlier attempt may have run the request, at this node or at the one that forwarded it.
	MayHaveRun bool
	// Repeated reports whether another node may have sent the request before. The retry budget is then charged for the first
	// attempt at this node.
	Repeated bool
}

// Runner transfers the request and response of one ticket. Send and exactly one of Deliver and Discard are called for
// each attempt.
type Runner interface {
	// Send sends the request to the backend server and waits for the response headers.
	Send(ctx context.Context, s fleet.BackendServer) Result
	// Deliver streams the response to the caller.
	Deliver(ctx context.Context) Result
	// Discard drops the response and closes its connection.
	Discard()
}

// Result is the result of an attempt or of a whole request.
type Result struct {
	Outcome  fleet.Outcome
	Evidence fleet.Evidence
	// Sent reports whether bytes of the request may have reached the backend server.
	Sent bool
	// Response reports whether there is a response to deliver.
	Response bool
	// BodyLost reports whether the request body can no longer be sent again.
	BodyLost bool
	// Aborted reports whether the delivery of the response started but did not complete.
	Aborted bool
	// Latency is the time until the response headers arrived.
	Latency time.Duration
	// RegistryAge is the age of what the node knew of the backend servers when it sent the request; zero if it was not sent.
	RegistryAge time.Duration
	// Bytes is the size of the bodies of request and response, as far as it is known when the response starts.
	Bytes int64
	// Leaving reports whether the backend server announced that it is leaving.
	Leaving bool
	// PauseFor is the time for which the backend server asked to get no more requests from this node; zero if it did not.
	PauseFor time.Duration
	// PauseErr is set if PauseFor differs from what the server sent.
	PauseErr error
	// Status is the HTTP status of the response, or 0.
	Status int
	// RetryAfter is the delay that the caller should wait before a retry; zero if none is known.
	RetryAfter time.Duration
	// EndReason is the reason why a failed attempt was not retried; empty if the result is a complete response.
	EndReason retry.Reason
	// Backups is the number of backup attempts.
	Backups int
	// Attempts is the number of attempts, Address the backend server of the last one, and QueueDelay the time that
	// the request waited before the first one.
	Attempts   int
	Address    string
	QueueDelay time.Duration
	Err        error
}

// Assignment is a ticket and the backend server chosen for it.
type Assignment struct {
	Ticket *Ticket
	Server fleet.BackendServer
	// BreakerState is the state of the server's circuit breaker when the server was chosen, and Outstanding the number of
	// requests that this node had outstanding there, including this one.
	BreakerState detect.BreakerState
	Outstanding  int
	// SinceLastFailure is the time since the last failure of the server; zero if there was none.
	SinceLastFailure time.Duration
}
