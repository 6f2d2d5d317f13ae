package node

import (
	"context"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/service/hostlist"
)

const (
	// hostListInterval is the time between two fetches of the host list. Heartbeats spread changes sooner.
	hostListInterval = 2 * time.Second
	// peerConfigCheckInterval is the time between two comparisons of the local revision with those announced by peers.
	peerConfigCheckInterval = time.Second
	// snapshotCheckInterval is the time between two checks whether a snapshot is due. It is short compared with the
	// maximum snapshot age of one hour.
	snapshotCheckInterval = 10 * time.Second
)

func (n *Node) periodicJobs() []*job {
	return []*job{
		{Name: "host-list", Interval: hostListInterval, Run: n.newHostListJob()},
		{Name: "heartbeat", Interval: member.HeartbeatInterval, Run: n.maintainMembership},
		{Name: "peer-config", Interval: peerConfigCheckInterval, Run: n.checkPeerConfig},
		{Name: "snapshot", Interval: snapshotCheckInterval, Run: n.appendDueSnapshot},
		{Name: "certificates", Interval: certificateReloadInterval, Run: n.reloadCertificates},
		{Name: "report", Interval: healthquery.MinReportInterval, Run: n.sendEarlyHeartbeats},
		{Name: "sweep", Interval: healthcmd.SweepInterval, Run: n.sweep},
		{Name: "probe", Interval: probeInterval, Run: n.submitProbes},
	}
}

// configObserver updates the health and membership tables when a new configuration comes into force.
type configObserver struct {
	node *Node
	// handledRevision is the revision that the tables were last updated for.
	handledRevision atomic.Int64
}

// ConfigurationChanged implements configcmd.Observer. The log and a peer may deliver two revisions concurrently, so the
// loop repeats until the handled revision equals the current one; the last call to finish leaves the newest in place.
func (o *configObserver) ConfigurationChanged() {
	for {
		c := o.node.Config.Current()
		if c == nil || c.Revision == o.handledRevision.Load() {
			return
		}
		o.node.healthCommands.Sync(time.Now(), c)
		o.node.refreshGroups(time.Now())
		o.handledRevision.Store(c.Revision)
	}
}

func (n *Node) checkPeerConfig(ctx context.Context) {
	n.follower.CatchUpFromPeers(ctx, time.Now())
}

func (n *Node) appendDueSnapshot(ctx context.Context) {
	if err := n.snapshotter.AppendIfDue(ctx, time.Now()); err != nil && ctx.Err() == nil {
		n.Log.Warn().Err(err).Msg("cannot append a snapshot of the configuration; retrying")
	}
}

func (n *Node) newHostListJob() func(ctx context.Context) {
	var previous hostlist.List
	return func(ctx context.Context) {
		list, err := n.hosts.Fetch(ctx, previous)
		if err != nil {
			if ctx.Err() == nil {
				n.Log.Warn().Err(err).Msg("cannot fetch the host list")
			}
			return
		}
		previous = list
		n.memberCommands.AdoptHostList(list.Hosts, time.Now())
		n.refreshGroups(time.Now())
		n.healthCommands.MarkListedLeaving(time.Now(), list.BackendServersLeaving)
	}
}
