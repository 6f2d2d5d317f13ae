// Package entrynode wires a node that serves callers on a platform whose log holds the configuration and the registry
// of backend servers, and which provides neither disks nor a list of hosts. The clients of the platform's protocols are
// passed in.
package entrynode

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/backend/http1"
	"egretline.example/egretline/internal/decide/quota"
	"egretline.example/egretline/internal/front/callerconn"
	"egretline.example/egretline/internal/front/hostfront"
	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/internal/pause/pausecmd"
	"egretline.example/egretline/internal/peer/peerclient"
	"egretline.example/egretline/internal/peer/peerserver"
	"egretline.example/egretline/internal/replica/replicacmd"
	"egretline.example/egretline/internal/replica/replicaquery"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/internal/roster/rosterquery"
	"egretline.example/egretline/internal/transfer/transfercmd"
	"egretline.example/egretline/internal/zone/zonecmd"
	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/dispatchquery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/pool"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficcmd"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections, which leaves closing them to the callers.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// exchangeWorkers bounds the concurrent requests from a node to backend servers. The largest deployments have 300
	// backend servers with 6 slots each behind about five entry hosts.
	exchangeWorkers = 768
	// defaultHeldBytes bounds what a node holds for callers and backend servers if its memory limit is not known.
	defaultHeldBytes = 32 << 20
	// slotSharingNodes is the number of nodes assumed to share the slots of a backend server when its concurrency limit
	// is initialized. The limit adapts to load shedding by the server; half of the usual four entry hosts lets one of
	// them use idle slots.
	slotSharingNodes = 2
	// deadlineMarginDeviations is the time, in mean deviations, that must remain at dispatch until a request's deadline in
	// addition to the mean service time of its kind. A request with a fair chance of success is dispatched rather than
	// refused, because not all callers retry after a refusal.
	deadlineMarginDeviations = 2
	// drainAcceptDuration is how long a leaving node accepts new connections. Callers with a fresh directory response
	// no longer choose the node, and later requests could not complete within the grace period.
	drainAcceptDuration = 2500 * time.Millisecond
	// drainExitMargin is the time left of the grace period when the node cancels the requests in flight, and
	// drainAnswerTimeout the time that it then gives them to send an error response.
	drainExitMargin    = 300 * time.Millisecond
	drainAnswerTimeout = 200 * time.Millisecond
)

// Options configures a node.
type Options struct {
	Self fleet.Host
	// Seeds are peer addresses of other hosts, which may be stale.
	Seeds []string
	// FirstStart is set if the whole fleet starts for the first time, in which case no callers are waiting for the
	// node.
	FirstStart bool
	// Headers are the HTTP headers exchanged with callers and backend servers.
	Headers dialect.Headers
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64
	// HeldBytes bounds what the node holds for callers and backend servers; zero means defaultHeldBytes.
	HeldBytes int64
	// MaxServerBodyBytes bounds the request bodies outstanding at a backend server from all nodes together; zero means no
	// bound.
	MaxServerBodyBytes int64
	// EntryTTL is how long callers may cache a directory response.
	EntryTTL time.Duration
	// GracePeriod is the time between the stop signal and the forced end of the process.
	GracePeriod time.Duration
	// RetryRatio and RetryBurst limit the attempts at a service beyond the first attempt of each request, for the whole
	// fleet: RetryRatio as a fraction of the requests, RetryBurst as an additional number.
	RetryRatio float64
	RetryBurst int
	// QuotaTolerance is how far the requests of a customer may exceed its limit for the whole fleet.
	QuotaTolerance quota.Tolerance
	// Zones are the settings of requests that prefer the availability zone of their callers.
	Zones zonecmd.Settings
}

// Log is the client of the platform's log.
type Log interface {
	replicacmd.Log
	// Append adds a record to a topic that belongs to the fleet.
	Append(ctx context.Context, topic table.Topic, key string, value []byte) error
}

// Listener is an additional address that the node serves, next to the caller and peer addresses.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
}

// Node is a running node.
type Node struct {
	Options    Options
	Tables     *table.Tables
	Config     configquery.Query
	Dispatcher *dispatchcmd.Dispatcher
	Roster     *rosterquery.Queries
	Replicas   *replicaquery.Queries
	Logger     zerolog.Logger

	started         time.Time
	log             Log
	rosterCommands  *rostercmd.Commands
	replicaCommands *replicacmd.Commands
	health          *healthGossiper
	pauses          *pausecmd.Commands
	peers           *peerclient.Client
	conns           *http1.Pool

	// requestContext covers the requests of callers. It is canceled when the grace period of a stopping node is nearly
	// over.
	requestContext context.Context
	cancelRequests context.CancelCauseFunc
	// peerContext covers requests to other nodes. It is canceled when the node stops, which keeps unresponsive peers
	// from delaying the stop.
	peerContext     context.Context
	cancelPeerCalls context.CancelFunc
	syncPool        *pool.Pool[fleet.Host]
	refreshPool     *pool.Pool[refreshJob]
	evidencePool    *pool.Pool[evidenceMessage]
	reportPool      *pool.Pool[reportMessage]
	reports         reportExchange
	// hostListDigests and hostLists hold the digest and the content of the last host list of each registrar.
	hostListDigests lastByHost[uint64]
	hostLists       lastByHost[[]rostercmd.Announcement]
	// registryAsOf holds, for each registrar, the time at which its replica of the registry was last known to be
	// complete, as reported in the last sync.
	registryAsOf lastByHost[time.Time]
	// readJitter is added to the replica age that triggers a log read, and spreads the reads over the nodes.
	readJitter time.Duration
	// logUnreachable is set if the last log read failed.
	logUnreachable atomic.Bool
	seeds          atomic.Pointer[[]string]
	// listedInEra is the era of the log in which the node has appended its record to the topic of hosts, or notListed.
	listedInEra atomic.Int64
	// wasEntryHost is set if the node was an entry host before it restarted, in which case other nodes wait for it to
	// read the log.
	wasEntryHost atomic.Bool
	// replicasChanged wakes sweepLoop after a change of the replicas.
	replicasChanged chan struct{}
	// firstReady is closed when the node becomes ready for the first time.
	firstReady     chan struct{}
	listenerFailed chan error
	leaving        atomic.Bool
	callerConns    busyConns
	servers        []*server
}

type server struct {
	listener net.Listener
	http     *http.Server
	name     string
}

// New returns a node that does not serve yet. It returns a wrapped net error if an address cannot be bound.
func New(o Options, log Log, d replicacmd.Decoder, logger zerolog.Logger) (*Node, error) {
	t := table.New(o.Self, "")
	n := &Node{
		Options: o, Tables: t, Config: configquery.Query{Config: t.Config}, Logger: logger, log: log, started: time.Now(),
		Roster: &rosterquery.Queries{Tables: t}, Replicas: &replicaquery.Queries{Tables: t},
		rosterCommands: rostercmd.New(t, logger), replicaCommands: replicacmd.New(t, log, d, slotSharingNodes, logger),
		peers: peerclient.New(), conns: http1.NewPool(),
		replicasChanged: make(chan struct{}, 1), firstReady: make(chan struct{}), listenerFailed: make(chan error, 1),
		readJitter: rand.N(maxReadJitter),
	}
	n.requestContext, n.cancelRequests = context.WithCancelCause(context.Background())
	n.reports.quotas, n.reports.newReport = newQuotas(t, o, n.started, logger), n.newReport
	n.peerContext, n.cancelPeerCalls = context.WithCancel(context.Background())
	n.seeds.Store(&o.Seeds)
	n.listedInEra.Store(notListed)
	n.reports.zones = zonecmd.New(t, o.Zones, logger)
	n.pauses = pausecmd.New(t, n.refreshAfterPause, logger)
	n.health = newHealthGossiper(&healthcmd.Commands{Tables: t}, logger)
	n.Dispatcher = dispatchcmd.New(t, n.health, exchangeWorkers)
	n.Dispatcher.MarginDeviations = deadlineMarginDeviations
	n.Dispatcher.Conns = n.conns
	n.Dispatcher.Pauses = n.pauses
	n.Dispatcher.MaxServerBodyBytes = o.MaxServerBodyBytes
	n.Dispatcher.AvailabilityZone = o.Self.AvailabilityZone
	n.Dispatcher.SetRetryBudgetParams(n.retryBudgetParams())
	n.syncPool = pool.New("sync", syncWorkers, syncWorkers, n.sync)
	n.refreshPool = pool.New("refresh", refreshWorkers, refreshWorkers, n.runRefresh)
	n.evidencePool = pool.New("tell", gossipWorkers, gossipQueueLength, n.sendEvidence)
	n.reportPool = pool.New("report", reportWorkers, reportQueueLength, n.sendReport)
	front := &hostfront.Handler{
		Config: n.Config, Dispatcher: n.Dispatcher, Pool: n.conns,
		Gate: sendGate{Notices: &healthquery.Queries{Tables: t}, Replicas: n.Replicas}, Pauses: n.pauses, Transfers: transfercmd.New(t, cmp.Or(o.HeldBytes, defaultHeldBytes), logger), Headers: o.Headers,
		Traffic: &trafficcmd.Commands{Traffic: t.Traffic}, MaxBodyBytes: o.MaxBodyBytes, StartupDone: n.firstReady,
		RegistryAge:      func() time.Duration { return n.Replicas.Age(table.TopicBackendServers, time.Now()) },
		ConfigurationAge: func() time.Duration { return n.Replicas.Age(table.TopicConfiguration, time.Now()) },
		Limiter:          n.newLimiter(),
		Leaving:          n.leaving.Load, Log: logger,
	}
	peer := &peerserver.Server{
		RosterCommands: n.rosterCommands, Roster: n.Roster, Replicas: n.Replicas, Health: n.health, Reports: &n.reports,
		Granter: n.reports.quotas,
		Pauses:  n.pauses, Logger: logger,
	}
	for _, l := range []Listener{
		{Name: callerListener, Address: o.Self.CallerAddress, Handler: front},
		{Name: "peer", Address: o.Self.PeerAddress, Handler: peer.Handler()},
	} {
		if err := n.Listen(l); err != nil {
			return nil, err
		}
	}
	return n, nil
}

const callerListener = "caller"

// Listen binds an additional address, which Run serves.
func (n *Node) Listen(l Listener) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", l.Address)
	if err != nil {
		n.closeServers()
		return eris.Wrapf(err, "bind %s listener", l.Name)
	}
	s := &server{name: l.Name, listener: listener, http: &http.Server{
		Handler: l.Handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
	if l.Name == callerListener {
		s.http.BaseContext = func(net.Listener) context.Context { return n.requestContext }
		s.http.ConnState = n.callerConns.observe
		s.http.ConnContext = callerconn.NewContext
	}
	n.servers = append(n.servers, s)
	return nil
}

// Ready reports whether the node can serve callers and is not leaving.
func (n *Node) Ready() bool {
	_, ready := n.Roster.Self()
	return ready && !n.leaving.Load()
}

// SetSeeds replaces the seed addresses after a change of the settings file.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// Run serves until the context is canceled, then drains. It returns the error of a failed listener.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var done sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.syncLoop, n.logReadLoop, n.sweepLoop, n.gossipLoop, n.announceLoop, n.restartContactLoop,
		n.reportLoop,
	} {
		done.Go(func() { loop(background) })
	}
	for _, s := range n.servers {
		go n.serve(s)
	}
	n.Logger.Info().Str("caller-address", n.Options.Self.CallerAddress).Msg("node is serving")
	var err error
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-n.listenerFailed:
	}
	stop()
	n.cancelPeerCalls()
	done.Wait()
	n.closeServers()
	n.syncPool.Close()
	n.refreshPool.Close()
	n.evidencePool.Close()
	n.reportPool.Close()
	n.Logger.Info().Msg("node has stopped")
	return err
}

func (n *Node) serve(s *server) {
	if err := s.http.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !n.leaving.Load() {
		select {
		case n.listenerFailed <- eris.Wrapf(err, "serve %s listener", s.name):
		default:
		}
	}
}

// drain announces that the node is leaving, accepts requests while callers may still choose the node, and then waits
// for the requests in flight. Every request that the node has read gets a response before the grace period is over:
// requests that would still be waiting or running then are refused as early as that is known.
func (n *Node) drain() {
	started := time.Now()
	stop := started.Add(n.Options.GracePeriod - drainExitMargin)
	n.leaving.Store(true)
	n.Dispatcher.StopAt(stop, started)
	n.rosterCommands.SetLeaving()
	n.Logger.Info().Dur("grace-ms", n.Options.GracePeriod).Msg("node is leaving")
	n.announceLeaving()
	accept := time.NewTimer(min(drainAcceptDuration, n.Options.GracePeriod/2))
	defer accept.Stop()
	<-accept.C
	// http.Server.Shutdown would drop requests that arrive on open connections. They are refused instead, which lets
	// callers repeat them at another node.
	n.Dispatcher.CloseAdmission()
	n.stopAcceptingCallers()
	if err := n.awaitCallers(time.Until(stop)); err != nil {
		waiting, sent := n.unfinishedRequests()
		n.Logger.Warn().Err(err).Int("waiting", waiting).Int("sent", sent).
			Msg("grace period ended with requests in flight; canceling them")
		n.Dispatcher.StopAt(stop, stop)
		n.cancelRequests(GracePeriodError{})
		if err := n.awaitCallers(drainAnswerTimeout); err != nil {
			n.Logger.Warn().Err(err).Int("connections", n.callerConns.count()).
				Msg("closing connections of callers that have not read their responses")
		}
	}
	n.Logger.Info().Dur("took-ms", time.Since(started)).Msg("node has drained")
}

// stopAcceptingCallers closes the listener and the idle connections of callers. The other connections are closed after
// their next response.
func (n *Node) stopAcceptingCallers() {
	for _, s := range n.servers {
		if s.name == callerListener {
			_ = s.listener.Close()
			s.http.SetKeepAlivesEnabled(false)
		}
	}
}

// awaitCallers waits until no caller uses its connection.
func (n *Node) awaitCallers(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return n.callerConns.awaitNone(ctx)
}

// unfinishedRequests returns the number of requests that wait in a queue, and of those that were sent to a backend server.
func (n *Node) unfinishedRequests() (waiting, sent int) {
	queries := &dispatchquery.Queries{Tables: n.Tables}
	for _, depth := range queries.QueueDepths(time.Now()) {
		waiting += depth.Waiting
		sent += depth.HeldSlots
	}
	return waiting, sent
}

func (n *Node) closeServers() {
	for _, s := range n.servers {
		_ = s.http.Close()
		_ = s.listener.Close()
	}
}
