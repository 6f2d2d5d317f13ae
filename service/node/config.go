package node

import (
	"context"
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/service/hostlist"
)

const (
	// configPoll is how long one read of the log waits for a record.
	configPoll = 4 * time.Second
	// configRetry is the wait after a failed read of the log.
	configRetry = time.Second
	// hostListPeriod is the time between two fetches of the host list. Heartbeats report changes sooner.
	hostListPeriod = 2 * time.Second
	// peerConfigPeriod is the time between two comparisons with the revisions that other nodes announce.
	peerConfigPeriod = time.Second
)

func (n *Node) periodic() []*job {
	return []*job{
		{Name: "host-list", Every: hostListPeriod, Run: n.hostListJob()},
		{Name: "heartbeat", Every: member.HeartbeatInterval, Run: n.beatJob},
		{Name: "peer-config", Every: peerConfigPeriod, Run: n.checkPeerConfig},
		{Name: "sweep", Every: healthcmd.SweepPeriod, Run: n.sweep},
		{Name: "probe", Every: probePeriod, Run: n.probe},
	}
}

// followConfig reads the log until the context ends, and brings the Backends table in line after each change.
func (n *Node) followConfig(ctx context.Context) {
	var revision int64 = -1
	for ctx.Err() == nil {
		err := n.follower.Poll(ctx, configPoll)
		if c := n.Config.Current(); c != nil && c.Revision != revision {
			revision = c.Revision
			n.health.Sync(time.Now(), c)
			n.refreshGroups(time.Now())
			n.Log.Info().Int64("revision", revision).Msg("configuration is in force")
		}
		if err != nil && ctx.Err() == nil {
			n.Log.Warn().Err(err).Msg("cannot read the configuration log; retrying")
			wait(ctx, configRetry)
		}
	}
}

func (n *Node) checkPeerConfig(ctx context.Context) {
	n.follower.CheckPeers(ctx, time.Now())
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

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
