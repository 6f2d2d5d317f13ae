package entrynode

import (
	"context"
	"fmt"
	"time"

	"egretline.example/egretline/internal/pause/pausecmd"
	"egretline.example/egretline/internal/replica/replicaquery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

const (
	// refreshWorkers is the number of hosts that are asked at the same time after a pause. One of them may be down, and another
	// one may have been paused as well.
	refreshWorkers = 3
	// usualReplicaAge is the age that replicas rarely exceed while the log and a registrar can be reached.
	usualReplicaAge = time.Second
)

// UnregisteredError reports a request that was not sent, because the server was removed from the registry or began to drain
// after it had been chosen.
type UnregisteredError struct {
	Address  string
	Instance string
}

func (e UnregisteredError) Error() string {
	return fmt.Sprintf("backend server %s (instance %q) is no longer registered for new requests", e.Address, e.Instance)
}

// sendGate checks a server right before a request is sent to it. It implements http1.Gate.
type sendGate struct {
	Notices  *healthquery.Queries
	Replicas *replicaquery.Queries
}

// CheckSend returns an error if the server has asked for no more requests, or is not registered any more.
func (g sendGate) CheckSend(now time.Time, s fleet.BackendServer) error {
	if !g.Replicas.IsRegistered(s.Instance) {
		return UnregisteredError{Address: s.Address, Instance: s.Instance}
	}
	return g.Notices.CheckSend(now, s)
}

// refreshJob is a sync with one host after a pause.
type refreshJob struct {
	Host  fleet.Host
	Ended chan<- struct{}
}

func (n *Node) runRefresh(j refreshJob) {
	n.sync(j.Host)
	j.Ended <- struct{}{}
}

// refreshAfterPause brings the replicas up to date after a pause of the process. It asks other hosts, and reads the log only if
// none of them knows more: many hosts may have been paused together.
func (n *Node) refreshAfterPause() {
	ctx, cancel := context.WithTimeout(n.peerContext, pausecmd.MaxRefreshDuration)
	defer cancel()
	ended := make(chan struct{}, refreshWorkers)
	asked := 0
	for _, h := range n.refreshHosts() {
		if err := n.refreshPool.TrySubmit(refreshJob{Host: h, Ended: ended}); err != nil {
			n.Logger.Debug().Err(err).Str("peer", h.ID).Msg("cannot queue refresh from peer after a pause; skipping it")
			continue
		}
		asked++
	}
	for range asked {
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
		if n.Replicas.Age(table.TopicBackendServers, time.Now()) <= usualReplicaAge {
			return
		}
	}
	if ctx.Err() == nil {
		n.refreshReplicas(ctx)
	}
}

// refreshHosts returns the hosts that are asked after a pause: registrars or, without any, seeds and other known hosts.
func (n *Node) refreshHosts() []fleet.Host {
	hosts := n.Roster.Registrars()
	if len(hosts) == 0 {
		for _, address := range *n.seeds.Load() {
			if address != n.Options.Self.PeerAddress {
				hosts = append(hosts, fleet.Host{PeerAddress: address})
			}
		}
		hosts = append(hosts, n.Roster.KnownHosts()...)
	}
	return hosts[:min(len(hosts), refreshWorkers)]
}
