package entrynode

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/internal/peer/peerclient"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/internal/zone/zonecmd"
	"egretline.example/egretline/internal/zone/zonequery"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

const (
	// syncInterval is the time between two sync requests to registrars. Together with the interval of log reads it
	// bounds the delay until a node stops using a backend server that is leaving.
	syncInterval = 300 * time.Millisecond
	// syncWorkers is large enough that unresponsive hosts, such as all entry hosts after a power failure, do not delay
	// syncs with other hosts.
	syncWorkers = 6
	// syncsPerNonLiveContact is the number of sync intervals between contacts with known hosts that are not live. These
	// contacts reconnect the two sides of the fleet after a network partition.
	syncsPerNonLiveContact = 12

	// ageCheckInterval is the time between two checks of the replicas' age.
	ageCheckInterval = 100 * time.Millisecond
	// registrarReadAge is the replica age at which the first registrar reads the log, and registrarReadAgeStep is added
	// for each further registrar. The other registrars get the records from the first one by sync requests, and read the
	// log only if the first one fails to do so.
	registrarReadAge     = 600 * time.Millisecond
	registrarReadAgeStep = 350 * time.Millisecond
	// fallbackReadAge is the replica age at which a node that is not a registrar reads the log itself, because its
	// registrars have failed to send updates.
	fallbackReadAge = 1800 * time.Millisecond
	// bootstrapReadAge replaces fallbackReadAge while a new fleet waits for its first configuration, to keep every host
	// from reading the log.
	bootstrapReadAge = 4 * time.Second
	// maxReadJitter spreads the log reads of nodes whose replicas have the same age.
	maxReadJitter = 150 * time.Millisecond
	// initialReadDelay is how long a new node waits for a registrar before it reads the log. Simultaneous reads of a
	// large registry by all hosts share the throughput of the log, and no host completes its replica for seconds.
	initialReadDelay = 1200 * time.Millisecond
	// topicTimeout bounds the calls that read one topic or append to it; the log client bounds each call. A registry of
	// thousands of servers takes several calls, which hundreds of nodes make at the same time after a power failure.
	topicTimeout = 10 * time.Second
	// maxRegistrarBackoff and maxFallbackBackoff are the longest delays after failed log reads, for registrars and for
	// all other nodes; minReadBackoff is the shortest delay. During an outage of the log the other nodes call it less often,
	// because the log service bills and limits the calls of all nodes together, which may be a hundred.
	maxRegistrarBackoff = 1600 * time.Millisecond
	maxFallbackBackoff  = 5 * time.Second
	minReadBackoff      = 300 * time.Millisecond

	// sweepInterval is the time between two sweeps of backend servers, queues and hosts.
	sweepInterval = 200 * time.Millisecond
	// usedRetryFraction is the fraction of the allowed retries that is used. The rest is a margin for retries that fall
	// into the window after the one in which their requests are counted, and for nodes that temporarily disagree on the
	// entry hosts.
	usedRetryFraction = 0.9
	// announceCheckInterval is the time between two checks whether the host needs a record in the topic of hosts.
	announceCheckInterval = time.Second
	// settledChecks is the number of consecutive checks after which an entry host adds its record.
	settledChecks = 3
	// notListed is the value of Node.listedInEra before the node has appended its record.
	notListed = -1
	// checksPerHostsRead is the number of announce checks between two reads of the topic of hosts by a registrar.
	checksPerHostsRead = 10
)

// lastByHost holds the last value received from each host.
type lastByHost[T any] struct {
	mu     sync.Mutex
	values map[string]T
}

func (l *lastByHost[T]) get(id string) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.values[id]
}

func (l *lastByHost[T]) set(id string, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values == nil {
		l.values = map[string]T{}
	}
	l.values[id] = value
}

// callPeriodically calls fn once per period until the context is canceled. The first call comes at a random time within
// the first period, which keeps nodes that started together from acting simultaneously.
func callPeriodically(ctx context.Context, period time.Duration, fn func(iteration int)) {
	timer := time.NewTimer(rand.N(period))
	defer timer.Stop()
	for iteration := 0; ; iteration++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(period)
			fn(iteration)
		}
	}
}

// syncLoop sends sync requests to the registrars in turn.
func (n *Node) syncLoop(ctx context.Context) {
	for _, address := range *n.seeds.Load() {
		n.submitSync(fleet.Host{PeerAddress: address})
	}
	callPeriodically(ctx, syncInterval, func(iteration int) {
		if h, found := n.syncTarget(iteration); found {
			n.submitSync(h)
		}
	})
}

// submitSync queues a sync with the host, unless the host is this node.
func (n *Node) submitSync(h fleet.Host) {
	if h.PeerAddress == n.Options.Self.PeerAddress {
		return
	}
	if err := n.syncPool.TrySubmit(h); err != nil {
		n.Logger.Debug().Err(err).Str("peer", h.PeerAddress).Msg("cannot queue state synchronization with peer; skipping it")
	}
}

// syncTarget returns the host of the next sync: a registrar, or any known host once in syncsPerNonLiveContact
// iterations. Without registrars it returns a seed or any known host. While the registrars may be out of reach, every second
// target is any known host, because the next registrars are selected from the hosts that were contacted lately.
func (n *Node) syncTarget(iteration int) (fleet.Host, bool) {
	registrars := n.Roster.Registrars()
	anyHost := iteration%syncsPerNonLiveContact == syncsPerNonLiveContact-1 || iteration%2 == 1 && n.Roster.InDoubt()
	if len(registrars) > 0 && !anyHost {
		if iteration%2 == 0 {
			return n.freshestRegistrar(registrars), true
		}
		return registrars[iteration/2%len(registrars)], true
	}
	known := n.Roster.KnownHosts()
	seeds := *n.seeds.Load()
	if pick := iteration % (len(seeds) + 1); len(registrars) == 0 && pick < len(seeds) {
		return fleet.Host{PeerAddress: seeds[pick]}, true
	}
	if len(known) == 0 {
		return fleet.Host{}, false
	}
	return known[rand.IntN(len(known))], true
}

// freshestRegistrar returns the registrar whose replica of the registry was the newest at its last sync.
func (n *Node) freshestRegistrar(registrars []fleet.Host) fleet.Host {
	best := registrars[0]
	for _, h := range registrars[1:] {
		if n.registryAsOf.get(h.ID).After(n.registryAsOf.get(best.ID)) {
			best = h
		}
	}
	return best
}

// sync exchanges membership and replica updates with one host.
func (n *Node) sync(h fleet.Host) {
	n.pauses.Observe()
	requestedAt := time.Now()
	cursors, eras := n.Replicas.Cursors()
	request := peerapi.SyncRequest{
		From: peerapi.HostMessage(n.Roster.Self()), Cursors: cursors, Eras: eras, HostListDigest: n.hostListDigests.get(h.ID),
	}
	request.From.Leaving = n.leaving.Load()
	response, err := n.peers.Sync(n.peerContext, h.PeerAddress, request)
	now := time.Now()
	if err != nil {
		n.Logger.Warn().Err(err).Str("peer", h.ID).Str("address", h.PeerAddress).Msg("cannot synchronize state with peer")
		if !n.pauses.PausedSince(requestedAt) { // the timeout may have passed during a pause
			n.recordFailedSync(now, h.ID, err)
		}
		return
	}
	if err := response.From.Check(); err != nil {
		n.Logger.Warn().Err(err).Str("address", h.PeerAddress).Msg("ignoring state synchronization response from invalid host")
		return
	}
	n.rosterCommands.RecordContact(now, response.From.Announcement())
	n.hostListDigests.set(response.From.ID, response.HostListDigest)
	var reported []rostercmd.Announcement
	for _, m := range response.Hosts {
		if err := m.Check(); err != nil {
			n.Logger.Warn().Err(err).Str("peer", response.From.ID).Msg("ignoring invalid host in peer's list")
			continue
		}
		reported = append(reported, m.Announcement())
	}
	if response.HostListDigest != request.HostListDigest {
		n.hostLists.set(response.From.ID, reported)
	}
	// An unchanged digest confirms the previous list.
	n.rosterCommands.RecordReports(now, n.hostLists.get(response.From.ID))
	if b, sent := response.Topics[table.TopicBackendServers]; sent {
		n.registryAsOf.set(response.From.ID, b.ReplicaBatch(requestedAt).AsOf)
	}
	for topic, b := range response.Topics {
		if n.replicaCommands.Apply(topic, b.ReplicaBatch(requestedAt), response.From.ID) {
			n.notifyReplicasChanged()
		}
	}
}

// recordFailedSync records that the host could not be contacted. If a registrar has given no answer, the others are contacted at
// once, which shows whether that one or this node is cut off.
func (n *Node) recordFailedSync(now time.Time, id string, err error) {
	var status peerclient.StatusError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &status) {
		n.rosterCommands.RecordFailure(now, id)
		n.reports.quotas.SetGone(id)
		return
	}
	for _, h := range n.rosterCommands.RecordNoAnswer(now, id) {
		n.submitSync(h)
	}
}

// notifyReplicasChanged wakes sweepLoop to apply changed replicas to the other tables.
func (n *Node) notifyReplicasChanged() {
	select {
	case n.replicasChanged <- struct{}{}:
	default:
	}
}

// logReadLoop reads the log when the node's replicas are too old.
func (n *Node) logReadLoop(ctx context.Context) {
	started := time.Now()
	var backoff time.Duration
	var resume time.Time
	callPeriodically(ctx, ageCheckInterval, func(int) {
		now := time.Now()
		if n.pauses.Refreshing() || now.Before(resume) || !n.needsLogRead(started, now) {
			return
		}
		if n.refreshReplicas(ctx) {
			backoff = 0
			return
		}
		maxBackoff := maxFallbackBackoff
		if n.Roster.RegistrarIndex() >= 0 {
			maxBackoff = maxRegistrarBackoff
		}
		backoff = min(max(2*backoff, minReadBackoff), maxBackoff)
		resume = time.Now().Add(backoff + rand.N(minReadBackoff))
	})
}

// needsLogRead reports whether the node has to read the log itself, because its replicas are too old or were never
// complete.
func (n *Node) needsLogRead(started, now time.Time) bool {
	if !n.Replicas.IsComplete(table.TopicConfiguration) || !n.Replicas.IsComplete(table.TopicBackendServers) {
		return now.Sub(started) > initialReadDelay || len(*n.seeds.Load()) == 0 || n.seedIndex() >= 0 ||
			n.wasEntryHost.Load()
	}
	age := max(n.Replicas.Age(table.TopicConfiguration, now), n.Replicas.Age(table.TopicBackendServers, now))
	return age > n.logReadAge()+n.readJitter
}

// logReadAge returns the replica age at which the node reads the log.
func (n *Node) logReadAge() time.Duration {
	index := n.Roster.RegistrarIndex()
	if index < 0 && n.Options.FirstStart && len(n.Roster.EntryHosts()) == 0 {
		// No host is ready before the first configuration, and the seeds act as registrars until then.
		if index = n.seedIndex(); index < 0 {
			return bootstrapReadAge
		}
	}
	if index < 0 {
		return fallbackReadAge
	}
	return registrarReadAge + time.Duration(index)*registrarReadAgeStep
}

// seedIndex returns the index of the node in its list of seeds, or -1.
func (n *Node) seedIndex() int {
	return slices.Index(*n.seeds.Load(), n.Options.Self.PeerAddress)
}

// refreshReplicas updates the replicas from the log and reports whether that succeeded.
func (n *Node) refreshReplicas(ctx context.Context) bool {
	for _, topic := range []table.Topic{table.TopicBackendServers, table.TopicConfiguration} {
		if !n.refreshTopic(ctx, topic) {
			return false
		}
	}
	if n.logUnreachable.Swap(false) {
		n.Logger.Info().Msg("platform log is reachable again")
	}
	return true
}

func (n *Node) refreshTopic(ctx context.Context, topic table.Topic) bool {
	ctx, cancel := context.WithTimeout(ctx, topicTimeout)
	defer cancel()
	changed, err := n.replicaCommands.Refresh(ctx, topic)
	n.rosterCommands.SetLogReachable(err == nil)
	if err != nil {
		if !n.logUnreachable.Swap(true) {
			n.Logger.Warn().Err(err).Msg("platform log is unreachable; serving from memory")
		}
		return false
	}
	if changed {
		n.notifyReplicasChanged()
	}
	return true
}

// sweepLoop applies changes of the replicas immediately, and sweeps all tables periodically.
func (n *Node) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.replicasChanged:
			n.applyConfiguration()
		case <-ticker.C:
		}
		n.sweep(time.Now())
	}
}

func (n *Node) sweep(now time.Time) {
	n.pauses.Observe()
	if n.replicaCommands.Expire(now) {
		n.applyConfiguration()
	}
	n.health.Sweep(now)
	n.Dispatcher.Sweep(now)
	n.logStandingQueues(now)
	n.conns.CloseExpired(now)
	n.selectEntryHosts(now)
	n.Dispatcher.SetRetryBudgetParams(n.retryBudgetParams())
	n.Dispatcher.SetSharing(n.sharing())
	n.reports.quotas.Sweep(now, n.otherEntryHosts(), n.isEntryHost(n.Roster.EntryHosts()))
}

// selectEntryHosts selects the entry hosts from the live hosts. After a pause of the process all contacts are old, and the
// selection waits for the refresh.
func (n *Node) selectEntryHosts(now time.Time) {
	if !n.pauses.Refreshing() {
		n.rosterCommands.SelectEntryHosts(now, n.fleetLoad())
	}
}

// logStandingQueues logs the begin and the end of standing queues.
func (n *Node) logStandingQueues(now time.Time) {
	for _, c := range n.Dispatcher.StandingChanges(now) {
		if c.Standing {
			n.Logger.Warn().Str("service", c.Service).Int("waiting", c.Waiting).Int("late", c.Late).
				Dur("standing-ms", now.Sub(c.Since)).Msg("service has a standing queue")
			continue
		}
		n.Logger.Info().Str("service", c.Service).Dur("lasted-ms", c.Lasted).Msg("standing queue of service has ended")
	}
}

// sharing returns the node's index among the entry hosts and their number. It returns the zero value on a node that is
// not an entry host and receives few requests.
func (n *Node) sharing() dispatchcmd.Sharing {
	entryHosts := n.Roster.EntryHosts()
	index := slices.IndexFunc(entryHosts, func(h fleet.Host) bool { return h.ID == n.Options.Self.ID })
	if index < 0 {
		return dispatchcmd.Sharing{}
	}
	sharing := dispatchcmd.Sharing{NodeIndex: index, Nodes: len(entryHosts)}
	zones, now := &zonequery.Queries{Tables: n.Tables}, time.Now()
	for _, h := range entryHosts {
		inZone := h.AvailabilityZone == n.Options.Self.AvailabilityZone
		if inZone {
			sharing.NodesInZone++
		}
		if h.ID == n.Options.Self.ID {
			sharing.VisitorIndex, sharing.VisitorIndexInZone = sharing.Visitors, sharing.VisitorsInZone
		} else if n.Options.Zones.Enabled && !zones.HeardSince(h.ID, now.Add(-zonecmd.MaxSilence)) {
			continue
		}
		sharing.Visitors++
		if inZone {
			sharing.VisitorsInZone++
		}
	}
	return sharing
}

// fleetLoad returns the load that the backend servers can take, in requests per second like the capacities of hosts.
func (n *Node) fleetLoad() float64 {
	return float64(n.Replicas.Slots()) * roster.RequestsPerSecondPerSlot
}

// retryBudgetParams returns the node's share of the fleet's retry budget. A node that is not an entry host receives only
// a few requests and leaves the burst to the entry hosts.
func (n *Node) retryBudgetParams() retry.BudgetParams {
	params := retry.BudgetParams{
		Deposit: n.Options.RetryRatio * usedRetryFraction, MaxBalance: 1, UnsentIsFree: true, Patient: n.Options.RetryRatio > 0,
	}
	if entryHosts := n.Roster.EntryHosts(); n.isEntryHost(entryHosts) {
		params.MaxBalance = max(1, float64(n.Options.RetryBurst)*usedRetryFraction/float64(len(entryHosts)))
	}
	// A restarted node has no record of the retries before the restart. If all nodes were killed, a full budget would
	// allow a second burst right after the one already spent.
	params.InitialBalance = 1
	if n.Options.FirstStart {
		params.InitialBalance = params.MaxBalance
	}
	return params
}

func (n *Node) isEntryHost(entryHosts []fleet.Host) bool {
	return slices.ContainsFunc(entryHosts, func(h fleet.Host) bool { return h.ID == n.Options.Self.ID })
}

// applyConfiguration applies the active configuration to the health table, and marks the node ready once its registry
// is complete.
func (n *Node) applyConfiguration() {
	c := n.Config.Current()
	if c == nil {
		return
	}
	n.health.Sync(time.Now(), c)
	n.reports.quotas.Adopt(time.Now(), c)
	if _, ready := n.Roster.Self(); !ready && n.Replicas.IsComplete(table.TopicBackendServers) {
		n.rosterCommands.SetReady(true)
		close(n.firstReady)
		n.Logger.Info().Int64("revision", c.Revision).Msg("node is ready")
	}
}

// announceLoop adds the node's record to the topic of hosts while it is an entry host, and reads the topic. The record
// lets a host that starts with stale seeds, or together with other hosts, find the fleet.
func (n *Node) announceLoop(ctx context.Context) {
	var consecutive int // consecutive checks at which the node was an entry host
	callPeriodically(ctx, announceCheckInterval, func(iteration int) {
		registrar := n.Roster.RegistrarIndex() >= 0
		consecutive++
		if !n.isEntryHost(n.Roster.EntryHosts()) {
			consecutive = 0
		}
		// A node that has just started has contacted few other hosts and may select itself as an entry host.
		if consecutive >= settledChecks && !n.isListed() {
			n.listInTopic(ctx)
		}
		// On the first start of a fleet the topic is empty and is not read.
		alone := len(n.Roster.Registrars()) == 0 && !n.Options.FirstStart
		if alone && iteration%2 == 1 || registrar && iteration%checksPerHostsRead == checksPerHostsRead-1 {
			n.readHostsTopic(ctx)
		}
	})
}

// isListed reports whether the node has appended its record to the topic of hosts. A log that came back from an older copy may
// have lost the record.
func (n *Node) isListed() bool { return n.listedInEra.Load() == n.Replicas.Era(table.TopicHosts) }

// listInTopic appends the node's record to the topic of hosts.
func (n *Node) listInTopic(ctx context.Context) {
	value, err := json.Marshal(peerapi.HostMessage(n.Options.Self, false))
	if err != nil {
		n.Logger.Error().Err(err).Msg("cannot encode this node's record for the topic of hosts")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, topicTimeout)
	defer cancel()
	era := n.Replicas.Era(table.TopicHosts)
	if err := n.log.Append(ctx, table.TopicHosts, n.Options.Self.ID, value); err != nil {
		n.Logger.Warn().Err(err).Msg("cannot append this node's record to the topic of hosts; retrying")
		return
	}
	n.listedInEra.Store(era)
}

// readHostsTopic updates the replica of the topic of hosts and returns the hosts in it, or nil if the log is
// unreachable.
func (n *Node) readHostsTopic(ctx context.Context) []fleet.Host {
	if !n.refreshTopic(ctx, table.TopicHosts) {
		return nil
	}
	hosts := []fleet.Host{}
	var list []rostercmd.Announcement
	for _, r := range n.Replicas.Records(table.TopicHosts) {
		var m peerapi.Host
		if err := decodeHost(r.Value, &m); err != nil {
			n.Logger.Warn().Err(err).Str("key", r.Key).Msg("ignoring malformed record in the topic of hosts")
			continue
		}
		list = append(list, m.Announcement())
		hosts = append(hosts, m.Announcement().Host)
	}
	n.rosterCommands.AddCandidates(list)
	return hosts
}

func decodeHost(value []byte, m *peerapi.Host) error {
	if err := json.Unmarshal(value, m); err != nil {
		return eris.Wrap(err, "decode host")
	}
	return m.Check()
}

// announceLeaving notifies the registrars that the node is leaving.
func (n *Node) announceLeaving() {
	now := time.Now()
	n.selectEntryHosts(now)
	for _, h := range n.Roster.Registrars() {
		n.submitSync(h)
	}
}

// otherEntryHosts returns the entry hosts other than the node itself.
func (n *Node) otherEntryHosts() []fleet.Host {
	var others []fleet.Host
	for _, h := range n.Roster.EntryHosts() {
		if h.ID != n.Options.Self.ID {
			others = append(others, h)
		}
	}
	return others
}
