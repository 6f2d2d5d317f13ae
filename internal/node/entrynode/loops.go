package entrynode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

const (
	// syncPeriod is the time between two messages to registrars. With the time between two reads of the log it bounds how
	// long a node may miss that a backend server is leaving.
	syncPeriod = 300 * time.Millisecond
	// syncWorkers lets hosts that do not answer, such as all entry hosts after a loss of power, hold up no other.
	syncWorkers = 6
	// strangerEvery is the number of sync periods after which a known host that is not live is contacted, so that two
	// parts of the fleet that lost each other meet again.
	strangerEvery = 12

	// readTick is the time between two looks at the age of the copies.
	readTick = 100 * time.Millisecond
	// registrarAge is the age at which the first registrar reads the log, and registrarStep what each further one adds. They
	// share what one of them reads, so that the others read only if it fails to.
	registrarAge  = 600 * time.Millisecond
	registrarStep = 350 * time.Millisecond
	// otherAge is the age at which any other node reads the log itself: its registrars have failed to bring news.
	otherAge = 1800 * time.Millisecond
	// unreadyAge takes its place while a new fleet waits for its first configuration, so that not every host asks for it.
	unreadyAge = 4 * time.Second
	// ageJitter spreads the reads of nodes whose copies have the same age.
	ageJitter = 150 * time.Millisecond
	// firstRead is how long a new node waits for a registrar before it reads the log. If all hosts read a large registry at once,
	// they share the rate of the log, and none of them has it for seconds.
	firstRead = 1200 * time.Millisecond
	// readTimeout bounds the calls that read one topic or append to it; the client of the log bounds each call. A registry of
	// thousands of servers takes several calls, which hundreds of nodes make at the same time after a loss of power.
	readTimeout = 10 * time.Second
	// readBackoff is the longest pause of a registrar after failed reads, and firstBackoff the shortest. All others leave the
	// store to the registrars for up to otherBackoff, because every call of a hundred nodes is counted while it is down.
	readBackoff  = 1600 * time.Millisecond
	otherBackoff = 5 * time.Second
	firstBackoff = 300 * time.Millisecond

	// tickPeriod is the time between two sweeps over backend servers, queues and hosts.
	tickPeriod = 200 * time.Millisecond
	// usedPart is the part of the allowed retries that is used. The rest covers requests that are counted in one window and
	// their retries in the next, and nodes that disagree for a moment on who the entry hosts are.
	usedPart = 0.9
	// announcePeriod is the time between two looks at whether the host has to be entered in the topic of hosts.
	announcePeriod = time.Second
	// settledLooks is the number of looks in a row after which an entry host enters itself.
	settledLooks = 3
	// hostsEvery is the number of announce periods after which a registrar reads the topic of hosts.
	hostsEvery = 10
)

// latest holds the last value that each host sent.
type latest[T any] struct {
	mu     sync.Mutex
	byHost map[string]T
}

func (l *latest[T]) get(id string) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byHost[id]
}

func (l *latest[T]) set(id string, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byHost == nil {
		l.byHost = map[string]T{}
	}
	l.byHost[id] = value
}

// every calls fn once in each period until the context ends. The first call comes at a random time within the first
// period, so that nodes that started together do not act together.
func every(ctx context.Context, period time.Duration, fn func(turn int)) {
	timer := time.NewTimer(rand.N(period))
	defer timer.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(period)
			fn(turn)
		}
	}
}

// syncLoop asks the registrars for news, one after another.
func (n *Node) syncLoop(ctx context.Context) {
	for _, address := range *n.seeds.Load() {
		n.submitSync(fleet.Host{PeerAddress: address})
	}
	every(ctx, syncPeriod, func(turn int) {
		if h, found := n.syncTarget(turn); found {
			n.submitSync(h)
		}
	})
}

func (n *Node) submitSync(h fleet.Host) {
	if h.PeerAddress == n.Options.Self.PeerAddress {
		return
	}
	if err := n.syncs.TrySubmit(h); err != nil {
		n.Logger.Debug().Err(err).Str("peer", h.PeerAddress).Msg("message to a node is left out")
	}
}

// syncTarget returns the next registrar. Without any, it is a seed or any host that may exist.
func (n *Node) syncTarget(turn int) (fleet.Host, bool) {
	registrars := n.Roster.Registrars()
	if len(registrars) > 0 && turn%strangerEvery != strangerEvery-1 {
		if turn%2 == 0 {
			return n.freshest(registrars), true
		}
		return registrars[turn/2%len(registrars)], true
	}
	known := n.Roster.Known()
	seeds := *n.seeds.Load()
	if pick := turn % (len(seeds) + 1); len(registrars) == 0 && pick < len(seeds) {
		return fleet.Host{PeerAddress: seeds[pick]}, true
	}
	if len(known) == 0 {
		return fleet.Host{}, false
	}
	return known[rand.IntN(len(known))], true
}

// freshest returns the registrar whose copies were the newest when it was last asked.
func (n *Node) freshest(registrars []fleet.Host) fleet.Host {
	best := registrars[0]
	for _, h := range registrars[1:] {
		if n.newest.get(h.ID).After(n.newest.get(best.ID)) {
			best = h
		}
	}
	return best
}

// sync exchanges news with one host.
func (n *Node) sync(h fleet.Host) {
	asked := time.Now()
	request := peerapi.SyncRequest{
		From: peerapi.HostMessage(n.Roster.Self()), Cursors: n.Replicas.Cursors(), Digest: n.digests.get(h.ID),
	}
	request.From.Leaving = n.leaving.Load()
	response, err := n.peers.Sync(n.calls, h.PeerAddress, request)
	now := time.Now()
	if err != nil {
		n.Logger.Warn().Err(err).Str("peer", h.ID).Str("address", h.PeerAddress).Msg("node does not answer")
		n.hosts.Fail(now, h.ID)
		return
	}
	n.hosts.Hear(now, response.From.Announcement())
	n.digests.set(response.From.ID, response.Digest)
	var told []rostercmd.Announcement
	for _, m := range response.Hosts {
		told = append(told, m.Announcement())
	}
	if response.Digest != request.Digest {
		n.heardBy.set(response.From.ID, told)
	}
	// The list of an unchanged digest still holds.
	n.hosts.Tell(now, n.heardBy.get(response.From.ID))
	if b, sent := response.Topics[table.TopicBackendServers]; sent {
		n.newest.set(response.From.ID, b.Batch(asked).AsOf)
	}
	for topic, b := range response.Topics {
		if n.replicas.Adopt(topic, b.Batch(asked), response.From.ID) {
			n.notify()
		}
	}
}

// notify has the tables brought in line with the copies.
func (n *Node) notify() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// readLoop reads the log when the node's copies are too old.
func (n *Node) readLoop(ctx context.Context) {
	started := time.Now()
	var pause time.Duration
	var resume time.Time
	every(ctx, readTick, func(int) {
		now := time.Now()
		if now.Before(resume) || !n.mustRead(started, now) {
			return
		}
		if n.read(ctx) {
			pause = 0
			return
		}
		longest := otherBackoff
		if n.Roster.RegistrarPlace() >= 0 {
			longest = readBackoff
		}
		pause = min(max(2*pause, firstBackoff), longest)
		resume = time.Now().Add(pause + rand.N(firstBackoff))
	})
}

func (n *Node) mustRead(started, now time.Time) bool {
	age := max(n.Replicas.Age(table.TopicConfiguration, now), n.Replicas.Age(table.TopicBackendServers, now))
	if age > time.Hour { // never complete
		return now.Sub(started) > firstRead || len(*n.seeds.Load()) == 0 || n.seedPlace() >= 0 || n.former.Load()
	}
	return age > n.ageLimit()+n.jitter
}

// ageLimit is the age of its copies at which the node reads the log.
func (n *Node) ageLimit() time.Duration {
	place := n.Roster.RegistrarPlace()
	if place < 0 && n.Options.FirstStart && len(n.Roster.Entries()) == 0 {
		// Before the first configuration no host is ready, and the seeds take the place of registrars.
		if place = n.seedPlace(); place < 0 {
			return unreadyAge
		}
	}
	if place < 0 {
		return otherAge
	}
	return registrarAge + time.Duration(place)*registrarStep
}

// seedPlace is the place of the node in its list of seeds, or -1.
func (n *Node) seedPlace() int {
	return slices.Index(*n.seeds.Load(), n.Options.Self.PeerAddress)
}

// read brings the copies up to date from the log and says whether that succeeded.
func (n *Node) read(ctx context.Context) bool {
	for _, topic := range []table.Topic{table.TopicBackendServers, table.TopicConfiguration} {
		if !n.readTopic(ctx, topic) {
			return false
		}
	}
	if n.logLost.Swap(false) {
		n.Logger.Info().Msg("log is back")
	}
	return true
}

func (n *Node) readTopic(ctx context.Context, topic table.Topic) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	changed, err := n.replicas.Refresh(ctx, topic)
	if err != nil {
		if !n.logLost.Swap(true) {
			n.Logger.Warn().Err(err).Msg("log does not answer; serving from memory")
		}
		return false
	}
	if changed {
		n.notify()
	}
	return true
}

// tickLoop brings the tables in line with each other, after a change at once.
func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
			n.adopt()
		case <-ticker.C:
		}
		n.tick(time.Now())
	}
}

func (n *Node) tick(now time.Time) {
	if n.replicas.Expire(now) {
		n.adopt()
	}
	n.health.Sweep(now)
	n.Dispatcher.Sweep(now)
	n.conns.Sweep(now)
	n.hosts.Refresh(now, n.load())
	n.Dispatcher.SetRetries(n.retryTerms())
	n.Dispatcher.SetSharing(n.sharing())
}

// sharing is the node's place among those that callers are sent to. Any other node gets few requests.
func (n *Node) sharing() dispatchcmd.Sharing {
	entries := n.Roster.Entries()
	place := slices.IndexFunc(entries, func(h fleet.Host) bool { return h.ID == n.Options.Self.ID })
	if place < 0 {
		return dispatchcmd.Sharing{}
	}
	sharing := dispatchcmd.Sharing{Place: place, Nodes: len(entries)}
	for _, h := range entries {
		if h.AvailabilityZone == n.Options.Self.AvailabilityZone {
			sharing.InZone++
		}
	}
	return sharing
}

// load is the load of the fleet in the unit of the capacities of hosts: what the backend servers can take.
func (n *Node) load() float64 {
	return float64(n.Replicas.Slots()) * roster.CapacityPerSlot
}

// retryTerms returns the node's part of the fleet's retry budget. A node that callers are not sent to gets a few requests
// only, and leaves the burst to the others.
func (n *Node) retryTerms() retry.Terms {
	terms := retry.Terms{Earn: n.Options.RetryRatio * usedPart, Cap: 1, UnsentFree: true}
	if entries := n.Roster.Entries(); n.isEntry(entries) {
		terms.Cap = max(1, float64(n.Options.RetryBurst)*usedPart/float64(len(entries)))
	}
	// A node that restarts knows nothing of the retries of its last run. After a kill of all nodes a new burst would come on
	// top of the one that was just spent.
	terms.Start = 1
	if n.Options.FirstStart {
		terms.Start = terms.Cap
	}
	return terms
}

func (n *Node) isEntry(entries []fleet.Host) bool {
	return slices.ContainsFunc(entries, func(h fleet.Host) bool { return h.ID == n.Options.Self.ID })
}

// adopt takes over the configuration in force and decides whether the node is ready.
func (n *Node) adopt() {
	c := n.Config.Current()
	if c == nil {
		return
	}
	n.health.Sync(time.Now(), c)
	if _, ready := n.Roster.Self(); !ready && n.Replicas.Age(table.TopicBackendServers, time.Now()) < time.Hour {
		n.hosts.SetReady(true)
		close(n.served)
		n.Logger.Info().Int64("revision", c.Revision).Msg("node is ready")
	}
}

// announceLoop enters the host in the topic of hosts while callers are sent to it, so that a host that starts with stale
// seeds or among others that start finds the fleet, and learns the hosts of the topic.
func (n *Node) announceLoop(ctx context.Context) {
	var since int // the number of looks in a row at which the node was an entry host
	every(ctx, announcePeriod, func(turn int) {
		registrar := n.Roster.RegistrarPlace() >= 0
		since++
		if !n.isEntry(n.Roster.Entries()) {
			since = 0
		}
		// A node that has just started knows few others and may take itself for an entry host.
		if since >= settledLooks && !n.registered.Load() {
			n.register(ctx)
		}
		// The topic of a new fleet is empty.
		alone := len(n.Roster.Registrars()) == 0 && !n.Options.FirstStart
		if alone && turn%2 == 1 || registrar && turn%hostsEvery == hostsEvery-1 {
			n.learnHosts(ctx)
		}
	})
}

func (n *Node) register(ctx context.Context) {
	value, err := json.Marshal(peerapi.HostMessage(n.Options.Self, false))
	if err != nil {
		n.Logger.Error().Err(err).Msg("host cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := n.log.Append(ctx, table.TopicHosts, n.Options.Self.ID, value); err != nil {
		n.Logger.Warn().Err(err).Msg("host is not entered in the log")
		return
	}
	n.registered.Store(true)
}

// learnHosts reads the topic of hosts and returns them, or nil if the log does not answer.
func (n *Node) learnHosts(ctx context.Context) []fleet.Host {
	if !n.readTopic(ctx, table.TopicHosts) {
		return nil
	}
	hosts := []fleet.Host{}
	var list []rostercmd.Announcement
	for _, r := range n.Replicas.Records(table.TopicHosts) {
		var m peerapi.Host
		if err := json.Unmarshal(r.Value, &m); err != nil {
			n.Logger.Warn().Err(err).Str("key", r.Key).Msg("entry of a host is ignored")
			continue
		}
		list = append(list, m.Announcement())
		hosts = append(hosts, m.Announcement().Host)
	}
	n.hosts.Learn(list)
	return hosts
}

// announceLeaving tells the hosts that choose entry hosts for callers that the node is leaving.
func (n *Node) announceLeaving() {
	now := time.Now()
	n.hosts.Refresh(now, n.load())
	for _, h := range n.Roster.Registrars() {
		n.submitSync(h)
	}
}

// otherEntries returns the other hosts that callers are sent to.
func (n *Node) otherEntries() []fleet.Host {
	var others []fleet.Host
	for _, h := range n.Roster.Entries() {
		if h.ID != n.Options.Self.ID {
			others = append(others, h)
		}
	}
	return others
}
