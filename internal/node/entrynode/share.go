package entrynode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/table"
)

const (
	// shareDelay collects failures that come together into one message.
	shareDelay = 20 * time.Millisecond
	// trialSpread is the time over which nodes spread their trials of a server. It is many times shareDelay.
	trialSpread = 2 * time.Second
	// shareQueue bounds the failures that wait to be told. More than that in 20 ms say nothing new.
	shareQueue = 256
	// tellWorkers and tellQueue bound the messages about failures that are under way.
	tellWorkers = 4
	tellQueue   = 64
)

// failure is a failed request that other nodes should hear of.
type failure struct {
	Server   table.ServerKey
	Instance string
	At       time.Time
}

// message is what one host is told.
type message struct {
	To       fleet.Host
	Failures []failure
}

// sharedHealth records evidence, logs failed attempts, and passes on the failures that other nodes would see as well. A
// server that cannot be reached from here may be reached from there, and a failure of a single request says nothing of the
// next one, so that only fast failures are passed on.
type sharedHealth struct {
	*healthcmd.Commands
	failures chan failure
	logger   zerolog.Logger
}

func newSharedHealth(c *healthcmd.Commands, logger zerolog.Logger) *sharedHealth {
	s := &sharedHealth{Commands: c, failures: make(chan failure, shareQueue), logger: logger}
	c.Sink = s
	c.Spread = rand.N(trialSpread)
	return s
}

// FastFailure implements healthcmd.FailureSink.
func (s *sharedHealth) FastFailure(now time.Time, key table.ServerKey, instance string) {
	select {
	case s.failures <- failure{Server: key, Instance: instance, At: now}:
	default:
	}
}

// Observe implements dispatchcmd.HealthObserver.
func (s *sharedHealth) Observe(now time.Time, a table.Assignment, r table.Result) {
	s.Commands.Observe(now, a, r)
	if r.Evidence == fleet.Succeeded || r.Evidence == fleet.Canceled {
		return
	}
	s.logger.Warn().Str("request-id", a.Ticket.ID).Str("service", a.Ticket.Service).
		Str("backend-server", a.Server.Address).Str("instance", a.Server.Instance).Str("evidence", string(r.Evidence)).
		Int("status", r.Status).Bool("sent", r.Sent).Int("attempt", a.Ticket.Attempt+1).
		Stringer("standing", a.Standing).Int("outstanding", a.Outstanding).Dur("quiet-ms", a.Quiet).
		Dur("latency-ms", r.Latency).AnErr("error", r.Err).Msg("attempt failed")
}

// shareLoop tells the other entry hosts of failures.
func (n *Node) shareLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.health.failures:
			n.share(n.collect(first))
		}
	}
}

func (n *Node) collect(first failure) []failure {
	list := []failure{first}
	timer := time.NewTimer(shareDelay)
	defer timer.Stop()
	for {
		select {
		case f := <-n.health.failures:
			list = append(list, f)
		case <-timer.C:
			return list
		}
	}
}

func (n *Node) share(list []failure) {
	for _, h := range n.otherEntries() {
		if err := n.tells.TrySubmit(message{To: h, Failures: list}); err != nil {
			n.Logger.Debug().Err(err).Str("peer", h.ID).Msg("failures are not told")
		}
	}
}

func (n *Node) tell(m message) {
	now := time.Now()
	out := peerapi.Failures{From: peerapi.HostMessage(n.Roster.Self())}
	out.From.Leaving = n.leaving.Load()
	for _, f := range m.Failures {
		out.Failures = append(out.Failures, peerapi.Failure{
			Service: f.Server.Service, Address: f.Server.Address, Instance: f.Instance,
			AgeMs: now.Sub(f.At).Milliseconds(),
		})
	}
	if err := n.peers.Tell(n.calls, m.To.PeerAddress, out); err != nil {
		n.Logger.Warn().Err(err).Str("peer", m.To.ID).Msg("node was not told of failures")
	}
}
