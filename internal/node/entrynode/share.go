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
	// shareDelay collects evidence that comes together into one message.
	shareDelay = 20 * time.Millisecond
	// trialSpread is the time over which nodes spread their trials of a server. It is many times shareDelay.
	trialSpread = 2 * time.Second
	// shareQueue bounds the sightings that wait to be told. More than that in 20 ms say nothing new.
	shareQueue = 256
	// tellWorkers and tellQueue bound the messages with evidence that are under way.
	tellWorkers = 4
	tellQueue   = 64
)

// sighting is a backend server that failed or recovered, which other nodes should hear of.
type sighting struct {
	Server    table.ServerKey
	Instance  string
	Recovered bool
	At        time.Time
}

// message is what one host is told.
type message struct {
	To   fleet.Host
	Seen []sighting
}

// sharedHealth records evidence, logs failed attempts, and passes on what other nodes would see as well. A server that
// cannot be reached from here may be reached from there, and a failure of a single request says nothing of the next one,
// so that only fast failures and recoveries from them are passed on.
type sharedHealth struct {
	*healthcmd.Commands
	seen   chan sighting
	logger zerolog.Logger
}

func newSharedHealth(c *healthcmd.Commands, logger zerolog.Logger) *sharedHealth {
	s := &sharedHealth{Commands: c, seen: make(chan sighting, shareQueue), logger: logger}
	c.Sink = s
	c.Spread = rand.N(trialSpread)
	return s
}

// FastFailure implements healthcmd.EvidenceSink.
func (s *sharedHealth) FastFailure(now time.Time, key table.ServerKey, instance string) {
	s.pass(sighting{Server: key, Instance: instance, At: now})
}

// Recovered implements healthcmd.EvidenceSink.
func (s *sharedHealth) Recovered(now time.Time, key table.ServerKey, instance string) {
	s.logger.Info().Str("service", key.Service).Str("backend-server", key.Address).Str("instance", instance).
		Msg("backend server has passed its trials")
	s.pass(sighting{Server: key, Instance: instance, Recovered: true, At: now})
}

func (s *sharedHealth) pass(one sighting) {
	select {
	case s.seen <- one:
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

// shareLoop tells the other entry hosts what was seen of backend servers.
func (n *Node) shareLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.health.seen:
			n.share(n.collect(first))
		}
	}
}

func (n *Node) collect(first sighting) []sighting {
	list := []sighting{first}
	timer := time.NewTimer(shareDelay)
	defer timer.Stop()
	for {
		select {
		case one := <-n.health.seen:
			list = append(list, one)
		case <-timer.C:
			return list
		}
	}
}

func (n *Node) share(list []sighting) {
	for _, h := range n.otherEntries() {
		if err := n.tells.TrySubmit(message{To: h, Seen: list}); err != nil {
			n.Logger.Debug().Err(err).Str("peer", h.ID).Msg("evidence is not told")
		}
	}
}

func (n *Node) tell(m message) {
	now := time.Now()
	out := peerapi.Evidence{From: peerapi.HostMessage(n.Roster.Self())}
	out.From.Leaving = n.leaving.Load()
	for _, one := range m.Seen {
		seen := peerapi.Sighting{
			Service: one.Server.Service, Address: one.Server.Address, Instance: one.Instance,
			AgeMs: now.Sub(one.At).Milliseconds(),
		}
		if one.Recovered {
			out.Recovered = append(out.Recovered, seen)
		} else {
			out.Failures = append(out.Failures, seen)
		}
	}
	if err := n.peers.Tell(n.calls, m.To.PeerAddress, out); err != nil {
		n.Logger.Warn().Err(err).Str("peer", m.To.ID).Msg("node was not told of evidence")
	}
}
