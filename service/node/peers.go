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
	// heartbeatWorkers bounds the heartbeats that are sent at the same time. A node sends to about ten others.
	heartbeatWorkers = 4
	// heartbeatQueue holds the heartbeats of one period. Those that do not fit are left out until the next one.
	heartbeatQueue = 64
	// heartbeatTimeout is many round trips between zones. A heartbeat that takes longer counts as failed.
	heartbeatTimeout = member.HeartbeatInterval
)

// beat is a heartbeat to one host.
type beat struct {
	To      fleet.Host
	Message api.Heartbeat
}

func (n *Node) peerMux(forwarded http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+api.PathHeartbeat, &peercmd.Handler{Members: n.members, Reports: reports{health: n.health}, Log: n.Log})
	mux.Handle("GET "+api.PathPeerConfig, &peerquery.Handler{Config: n.Config})
	mux.Handle(api.PathForward+"/", forwarded)
	return mux
}

// beatJob is a periodic job that brings the groups in line with the live hosts and sends heartbeats to their members.
func (n *Node) beatJob(ctx context.Context) {
	now := time.Now()
	if n.members.Tick(now) {
		n.Log.Warn().Msg("node was paused; the silence of other hosts in that time is ignored")
	}
	n.refreshGroups(now)
	n.keys.Expire(now)
	n.sendHeartbeats(ctx, now)
}

func (n *Node) refreshGroups(now time.Time) {
	if c := n.Config.Current(); c != nil {
		n.members.Refresh(c, now)
	}
}

// sendHeartbeats hands the heartbeats of one period to the workers.
func (n *Node) sendHeartbeats(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, member.HeartbeatInterval)
	defer cancel()
	message := n.heartbeat(now)
	for _, to := range n.Members.HeartbeatTargets(now) {
		if err := n.beats.Submit(ctx, beat{To: to, Message: message}); err != nil {
			n.Log.Warn().Err(err).Str("to", to.ID).Msg("heartbeat left out")
		}
	}
}

func (n *Node) heartbeat(now time.Time) api.Heartbeat {
	self, incarnation := n.Members.Self()
	report := n.healthQuery.Report(now)
	m := api.Heartbeat{
		Host: api.Host(self), Incarnation: incarnation, Epoch: n.Members.Epoch(now),
		Suspicions:            suspicions(self.AvailabilityZone, report.Suspicions),
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

func suspicions(availabilityZone string, found []healthquery.Suspicion) []api.Suspicion {
	list := make([]api.Suspicion, 0, len(found))
	for _, s := range found {
		list = append(list, api.Suspicion{
			Service: s.Server.Service, Address: s.Server.Address, AvailabilityZone: availabilityZone,
			Excess: s.Excess, AgeMs: s.Age.Milliseconds(),
		})
	}
	return list
}

func (n *Node) sendHeartbeat(b beat) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	err := n.peers.Heartbeat(ctx, b.To, b.Message)
	if err != nil {
		n.Log.Debug().Err(err).Str("to", b.To.ID).Msg("heartbeat failed")
	}
	n.members.ObserveContact(b.To.ID, err == nil, time.Now())
}

// reports passes the findings in heartbeats on to the detection of failing backend servers.
type reports struct {
	health *healthcmd.Commands
}

// AdoptReport implements peercmd.Reports.
func (r reports) AdoptReport(p peercmd.Report, now time.Time) {
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
