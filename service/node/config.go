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
	// hostListPeriod is the time between two fetches of the host list. Heartbeats report changes sooner.
	hostListPeriod = 2 * time.Second
	// peerConfigPeriod is the time between two comparisons with the revisions that other nodes announce.
	peerConfigPeriod = time.Second
	// snapshotPeriod is the time between two checks whether a snapshot is due. It is far below the hour after which one is.
	snapshotPeriod = 10 * time.Second
)

func (n *Node) periodic() []*job {
	return []*job{
		{Name: "host-list", Every: hostListPeriod, Run: n.hostListJob()},
		{Name: "heartbeat", Every: member.HeartbeatInterval, Run: n.beatJob},
		{Name: "peer-config", Every: peerConfigPeriod, Run: n.checkPeerConfig},
		{Name: "snapshot", Every: snapshotPeriod, Run: n.checkSnapshot},
		{Name: "certificates", Every: certificatePeriod, Run: n.reloadCertificates},
		{Name: "report", Every: healthquery.ReportPeriod, Run: n.reportEarly},
		{Name: "sweep", Every: healthcmd.SweepPeriod, Run: n.sweep},
		{Name: "probe", Every: probePeriod, Run: n.probe},
	}
}

// configObserver brings the other tables in line with a configuration that came into force.
type configObserver struct {
	node *Node
	// revision is that of the configuration that was handled last.
	revision atomic.Int64
}

// ConfigurationChanged implements configcmd.Observer. The log and a peer may deliver two revisions at the same time. The
// one that finishes last finds the revision of the other and handles the newer one again.
func (o *configObserver) ConfigurationChanged() {
	for {
		c := o.node.Config.Current()
		if c == nil || c.Revision == o.revision.Load() {
			return
		}
		o.node.health.Sync(time.Now(), c)
		o.node.refreshGroups(time.Now())
		o.revision.Store(c.Revision)
	}
}

func (n *Node) checkPeerConfig(ctx context.Context) {
	n.follower.CheckPeers(ctx, time.Now())
}

func (n *Node) checkSnapshot(ctx context.Context) {
	if err := n.snapshotter.Check(ctx, time.Now()); err != nil && ctx.Err() == nil {
		n.Log.Warn().Err(err).Msg("cannot append a snapshot of the configuration; retrying")
	}
}

func (n *Node) hostListJob() func(ctx context.Context) {
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
		n.members.AdoptHostList(list.Hosts, time.Now())
		n.refreshGroups(time.Now())
		n.health.AdoptHostList(time.Now(), list.BackendServersLeaving)
	}
}
