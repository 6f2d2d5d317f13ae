package node

import (
	"context"
	"net/http"
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/peercmd"
	"egretline.example/egretline/service/peerquery"
)

const (
	// heartbeatWorkers bounds the number of heartbeats sent concurrently. A node sends to about ten others.
	heartbeatWorkers = 4
	// maxQueuedHeartbeats is enough for the heartbeats of one interval. Those that do not fit are skipped.
	maxQueuedHeartbeats = 64
	// heartbeatTimeout allows for many round trips between zones. A heartbeat that takes longer counts as failed.
	heartbeatTimeout = member.HeartbeatInterval
)

// outgoingHeartbeat is a heartbeat message queued for one host.
type outgoingHeartbeat struct {
	To      fleet.Host
	Message api.Heartbeat
}

func (n *Node) peerMux(forwarded http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+api.PathHeartbeat, &peercmd.Handler{Members: n.memberCommands, Reports: healthReports{health: n.healthCommands}, Log: n.Log})
	mux.Handle("GET "+api.PathPeerConfig, &peerquery.Handler{Config: n.Config})
	mux.Handle(api.PathForward+"/", forwarded)
	return mux
}

// maintainMembership is a periodic job that recomputes the service groups from the live hosts, drops expired idempotency
// keys and sends heartbeats.
func (n *Node) maintainMembership(ctx context.Context) {
	now := time.Now()
	if n.memberCommands.Tick(now) {
		n.Log.Warn().Msg("node was paused; ignoring missed heartbeats during the pause")
	}
	n.refreshGroups(now)
	n.keyCommands.Expire(now)
	n.sendHeartbeats(ctx, now)
}

func (n *Node) refreshGroups(now time.Time) {
	if c := n.Config.Current(); c != nil {
		n.memberCommands.Refresh(c, now)
	}
}

// sendHeartbeats queues the heartbeats of one interval for the workers.
func (n *Node) sendHeartbeats(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, member.HeartbeatInterval)
	defer cancel()
	message := n.newHeartbeat(now)
	for _, to := range n.Members.HeartbeatTargets(now) {
		if err := n.heartbeats.Submit(ctx, outgoingHeartbeat{To: to, Message: message}); err != nil {
			n.Log.Warn().Err(err).Str("to", to.ID).Msg("cannot queue heartbeat; skipping it")
		}
	}
}

func (n *Node) newHeartbeat(now time.Time) api.Heartbeat {
	self, incarnation := n.Members.Self()
	report := n.healthQueries.Report(now)
	m := api.Heartbeat{
		Host: api.Host(self), Incarnation: incarnation, Epoch: n.Members.Epoch(now),
		Suspicions:            encodeSuspicions(self.AvailabilityZone, report.Suspicions),
		BackendServersLeaving: make([]api.ServerKey, 0, len(report.Leaving)),
	}
	for _, key := range report.Leaving {
		m.BackendServersLeaving = append(m.BackendServersLeaving, api.ServerKey(key))
	}
	if c := n.Config.Current(); c != nil {
		m.Revision = c.Revision
	}
	return m
}

func encodeSuspicions(availabilityZone string, suspicions []healthquery.Suspicion) []api.Suspicion {
	encoded := make([]api.Suspicion, 0, len(suspicions))
	for _, s := range suspicions {
		encoded = append(encoded, api.Suspicion{
			Service: s.Server.Service, Address: s.Server.Address, AvailabilityZone: availabilityZone,
			Excess: s.Excess, AgeMs: s.Age.Milliseconds(),
		})
	}
	return encoded
}

func (n *Node) sendHeartbeat(h outgoingHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	err := n.peers.SendHeartbeat(ctx, h.To, h.Message)
	if err != nil {
		n.Log.Debug().Err(err).Str("to", h.To.ID).Msg("heartbeat failed")
	}
	n.memberCommands.ObserveContact(h.To.ID, err == nil, time.Now())
}

// healthReports passes the health evidence in heartbeats of other nodes to outlier detection.
type healthReports struct {
	health *healthcmd.Commands
}

// ReplaceReport implements peercmd.ReportRecorder.
func (r healthReports) ReplaceReport(p peercmd.Report, now time.Time) {
	report := healthcmd.PeerReport{
		HostID: p.Host.ID, AvailabilityZone: p.Host.AvailabilityZone, Suspicions: map[table.ServerKey]table.Suspicion{},
	}
	for _, s := range p.Suspicions {
		key := table.ServerKey{Service: s.Service, Address: s.Address}
		report.Suspicions[key] = table.Suspicion{Excess: s.Excess, Age: time.Duration(s.AgeMs) * time.Millisecond}
	}
	for _, key := range p.Leaving {
		report.Leaving = append(report.Leaving, table.ServerKey(key))
	}
	r.health.ApplyReport(now, report)
}
