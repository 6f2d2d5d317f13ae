// Package table holds the shared state of a node as plain structs. Each table has one lock, and the ranks below are the
// lock order. Packages ending in cmd write the tables, packages ending in query read them.
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

// Lock order of the tables: a goroutine takes locks in ascending rank.
const (
	RankConfig guard.Rank = iota + 1
	RankReplicas
	RankMembers
	RankRoster
	RankBackends
	RankQueues
	RankKeys
	RankBudgets
	RankTraffic
)

// Tables is the shared state of one node.
type Tables struct {
	Config   *guard.Guard[Config]
	Replicas *guard.Guard[Replicas]
	Members  *guard.Guard[Members]
	Roster   *guard.Guard[Roster]
	Backends *guard.Guard[Backends]
	Queues   *guard.Guard[Queues]
	Keys     *guard.Guard[Keys]
	Traffic  *guard.Guard[Traffic]
	Budgets  *guard.Guard[Budgets]
}

// New returns empty tables for the node on the given host.
func New(self fleet.Host, incarnation string) *Tables {
	return &Tables{
		Config:   guard.New(RankConfig, Config{}),
		Replicas: guard.New(RankReplicas, newReplicas()),
		Members:  guard.New(RankMembers, newMembers(self, incarnation)),
		Roster:   guard.New(RankRoster, Roster{Self: self, Hosts: map[string]*roster.State{}}),
		Backends: guard.New(RankBackends, newBackends()),
		Queues:   guard.New(RankQueues, newQueues()),
		Keys:     guard.New(RankKeys, newKeys()),
		Traffic:  guard.New(RankTraffic, newTraffic()),
		Budgets:  guard.New(RankBudgets, Budgets{Terms: retry.DefaultTerms(), Services: map[string]*retry.Budget{}}),
	}
}

// Config is the folded configuration and its decoded form.
type Config struct {
	Fold fold.State
	// Compiled is replaced as a whole and never changed in place, so that readers may keep it.
	Compiled *fleet.Configuration
	// Decoded is the decoded form of the files by name. It is replaced as a whole, and saves decoding all files again when
	// one changes.
	Decoded map[string]DecodedFile
	// Snapshot is the newest snapshot of the fold that the node knows to be in the log.
	Snapshot fold.Snapshot
	// BehindSince is when a peer was first seen with a higher revision; zero if none has one.
	BehindSince time.Time
}

// DecodedFile is one configuration file after decoding.
type DecodedFile struct {
	Revision int64
	File     fleet.File
	// Problem is set if the file cannot be decoded.
	Problem *fleet.Problem
}

// Ticket is one request on its way through the node.
type Ticket struct {
	ID      string
	Service string
	Route   string
	Rank    int
	Tenant  string
	// Limits are those of the tenant.
	Limits     fleet.Limits
	Idempotent bool
	// Bulk says that the response is large, so that a backend server in the node's availability zone is preferred.
	Bulk bool
	// MaxRuns bounds the attempts that may run the request; zero means no bound but the retry budget.
	MaxRuns int
	// Patience is how long an attempt may take before a backup attempt is sent to another server; zero means that none is.
	Patience time.Duration
	Arrived  time.Time
	Deadline time.Time
	// Target is the time within which a response has its full worth; zero means until the deadline.
	Target time.Duration
	// Context ends at the deadline or when the caller gives up.
	Context context.Context
	Runner  Runner
	// Done receives the result once, after the last attempt.
	Done chan Result

	// Dispatched is the time of the first attempt; zero before it.
	Dispatched time.Time
	Attempt    int
	// Trial says that the last attempt went to a server on probation.
	Trial bool
	// Tried lists the addresses of earlier attempts.
	Tried []string
	// Runs is the number of earlier attempts that may have run the request.
	Runs int
	// Backups is the number of backup attempts.
	Backups int
	// MaybeRun says that an earlier attempt may have run the request.
	MaybeRun bool
}

// Runner carries the bytes of one request. Send and exactly one of Deliver and Discard are called for each attempt.
type Runner interface {
	// Send sends the request to the backend server and waits for the response headers.
	Send(ctx context.Context, s fleet.BackendServer) Result
	// Deliver streams the response to the caller.
	Deliver(ctx context.Context) Result
	// Discard drops the response and the connection that it came on.
	Discard()
}

// Result is the result of an attempt or of a whole request.
type Result struct {
	Outcome  fleet.Outcome
	Evidence fleet.Evidence
	// Sent says that bytes of the request may have reached the backend server.
	Sent bool
	// Response says that there is a response to deliver.
	Response bool
	// BodyLost says that the request body cannot be sent again.
	BodyLost bool
	// Aborted says that the delivery of the response began and could not be completed.
	Aborted bool
	// Latency is the time to the response headers.
	Latency time.Duration
	// Leaving says that the backend server announced that it is leaving.
	Leaving bool
	// Status is the HTTP status of the response, or 0.
	Status int
	// RetryAfter is the wait that the caller should keep before it sends the request again; zero if none is known.
	RetryAfter time.Duration
	// Ended is why a failed attempt was the last one; empty if a response stands.
	Ended retry.Reason
	// Backups is the number of backup attempts.
	Backups int
	// Attempts is the number of attempts, Address the backend server of the last one, and Waited the time before the first.
	Attempts int
	Address  string
	Waited   time.Duration
	Err      error
}

// Assignment is a ticket and the backend server that it goes to.
type Assignment struct {
	Ticket *Ticket
	Server fleet.BackendServer
	// Standing is how the server was to be used when it was chosen, and Outstanding the requests that it had from this
	// node, this one included.
	Standing    detect.Standing
	Outstanding int
	// Quiet is the time since the last failure of the server; zero if it had none.
	Quiet time.Duration
}
