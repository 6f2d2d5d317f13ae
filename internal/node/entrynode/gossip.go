package entrynode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/table"
)

const (
	// evidenceBatchDelay is the time during which evidence is collected into one message.
	evidenceBatchDelay = 20 * time.Millisecond
	// trialSpreadDuration is the time over which nodes spread their trial requests to a backend server. It is many
	// times evidenceBatchDelay, so a node usually receives the evidence from the first trial before it sends its own.
	trialSpreadDuration = 2 * time.Second
	// evidenceQueueLength bounds the evidence waiting to be sent. More evidence than that within 20 ms repeats what is
	// already queued, and is dropped.
	evidenceQueueLength = 256
	// gossipWorkers and gossipQueueLength bound the evidence messages in transmission and in the queue.
	gossipWorkers     = 4
	gossipQueueLength = 64
)

// evidenceKind is what serverEvidence reports.
type evidenceKind int

const (
	evidenceFailure evidenceKind = iota
	evidenceRecovery
	evidenceLeaving
	evidenceOverdue
)

// serverEvidence is a failure, a recovery or the leaving of a backend server, to be sent to other nodes.
type serverEvidence struct {
	Kind     evidenceKind
	Server   table.ServerKey
	Instance string
	// StartedAtMs is the start time of the server's run; set only for evidenceLeaving.
	StartedAtMs int64
	At          time.Time
}

// evidenceMessage is a batch of evidence for one host.
type evidenceMessage struct {
	To       fleet.Host
	Evidence []serverEvidence
}

// healthGossiper records evidence, logs failed attempts, and queues evidence that is valid for other nodes as well.
// Reachability of a server differs between nodes, and the failure of a single request does not predict the next one.
// Only fast failures, overdue requests, recoveries from them, and a server's own announcement that it is leaving are therefore sent.
type healthGossiper struct {
	*healthcmd.Commands
	pending chan serverEvidence
	logger  zerolog.Logger
}

func newHealthGossiper(c *healthcmd.Commands, logger zerolog.Logger) *healthGossiper {
	g := &healthGossiper{Commands: c, pending: make(chan serverEvidence, evidenceQueueLength), logger: logger}
	c.Sink = g
	c.TrialJitter = rand.N(trialSpreadDuration)
	return g
}

// FastFailure implements healthcmd.EvidenceSink.
func (g *healthGossiper) FastFailure(now time.Time, key table.ServerKey, instance string) {
	g.enqueue(serverEvidence{Server: key, Instance: instance, At: now})
}

// Overdue implements healthcmd.EvidenceSink.
func (g *healthGossiper) Overdue(now time.Time, key table.ServerKey, instance string) {
	g.enqueue(serverEvidence{Kind: evidenceOverdue, Server: key, Instance: instance, At: now})
}

// Recovered implements healthcmd.EvidenceSink.
func (g *healthGossiper) Recovered(now time.Time, key table.ServerKey, instance string) {
	g.logger.Info().Str("service", key.Service).Str("backend-server", key.Address).Str("instance", instance).
		Msg("circuit breaker of backend server closed after successful trial requests of this node")
	g.enqueue(serverEvidence{Kind: evidenceRecovery, Server: key, Instance: instance, At: now})
}

// Leaving implements healthcmd.EvidenceSink.
func (g *healthGossiper) Leaving(now time.Time, service string, run notice.Run) {
	g.logger.Info().Str("service", service).Str("backend-server", run.Address).Str("instance", run.Instance).
		Msg("backend server announced that it is leaving; sending it no more requests")
	g.enqueue(serverEvidence{
		Kind: evidenceLeaving, Server: table.ServerKey{Service: service, Address: run.Address}, Instance: run.Instance,
		StartedAtMs: run.StartedAtMs, At: now,
	})
}

// enqueue queues the evidence, or drops it if the queue is full.
func (g *healthGossiper) enqueue(e serverEvidence) {
	select {
	case g.pending <- e:
	default:
	}
}

// Observe implements dispatchcmd.HealthObserver.
func (g *healthGossiper) Observe(now time.Time, a table.Assignment, r table.Result) {
	g.Commands.Observe(now, a, r)
	if r.PauseErr != nil {
		g.logger.Warn().Err(r.PauseErr).Str("request-id", a.Ticket.ID).Str("backend-server", a.Server.Address).
			Msg("backend server sent an unusable Retry-After")
	}
	if r.Evidence == fleet.Succeeded || r.Evidence == fleet.Canceled {
		return
	}
	g.logger.Warn().Str("request-id", a.Ticket.ID).Str("service", a.Ticket.Service).
		Str("backend-server", a.Server.Address).Str("instance", a.Server.Instance).Str("evidence", string(r.Evidence)).
		Int("status", r.Status).Bool("sent", r.Sent).Int("attempt", a.Ticket.Attempt+1).
		Stringer("standing", a.BreakerState).Int("outstanding", a.Outstanding).Dur("quiet-ms", a.SinceLastFailure).
		Bool("leaving", r.Leaving).Dur("pause-ms", r.PauseFor).Dur("latency-ms", r.Latency).
		Dur("sent-registry-age-ms", r.RegistryAge).AnErr("error", r.Err).Msg("attempt failed")
}

// gossipLoop sends evidence about backend servers to the other entry hosts.
func (n *Node) gossipLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.health.pending:
			n.gossipEvidence(n.collectEvidence(first))
		}
	}
}

// collectEvidence returns the first item and all evidence that arrives within evidenceBatchDelay.
func (n *Node) collectEvidence(first serverEvidence) []serverEvidence {
	list := []serverEvidence{first}
	timer := time.NewTimer(evidenceBatchDelay)
	defer timer.Stop()
	for {
		select {
		case e := <-n.health.pending:
			list = append(list, e)
		case <-timer.C:
			return list
		}
	}
}

func (n *Node) gossipEvidence(list []serverEvidence) {
	for _, h := range n.otherEntryHosts() {
		if err := n.evidencePool.TrySubmit(evidenceMessage{To: h, Evidence: list}); err != nil {
			n.Logger.Debug().Err(err).Str("peer", h.ID).Msg("cannot queue health evidence for peer; dropping it")
		}
	}
}

func (n *Node) sendEvidence(m evidenceMessage) {
	now := time.Now()
	out := peerapi.Evidence{From: peerapi.HostMessage(n.Roster.Self())}
	out.From.Leaving = n.leaving.Load()
	for _, e := range m.Evidence {
		entry := peerapi.ServerEvidence{
			Service: e.Server.Service, Address: e.Server.Address, Instance: e.Instance,
			StartedAtMs: e.StartedAtMs, AgeMs: now.Sub(e.At).Milliseconds(),
		}
		switch e.Kind {
		case evidenceRecovery:
			out.Recovered = append(out.Recovered, entry)
		case evidenceOverdue:
			out.Overdue = append(out.Overdue, entry)
		case evidenceLeaving:
			out.Leaving = append(out.Leaving, entry)
		default:
			out.Failures = append(out.Failures, entry)
		}
	}
	if err := n.peers.SendEvidence(n.peerContext, m.To.PeerAddress, out); err != nil {
		n.Logger.Warn().Err(err).Str("peer", m.To.ID).Msg("cannot send health evidence to peer; not retrying")
	}
}
