// Package entrynode wires a node that serves callers on a platform whose log holds the configuration and the registry of
// backend servers, and which has neither disks nor a list of hosts. The parts that speak the platform's protocols are
// passed in.
package entrynode

import (
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
	"egretline.example/egretline/internal/front/hostfront"
	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/internal/peer/peerclient"
	"egretline.example/egretline/internal/peer/peerserver"
	"egretline.example/egretline/internal/replica/replicacmd"
	"egretline.example/egretline/internal/replica/replicaquery"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/internal/roster/rosterquery"
	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/pool"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficcmd"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that they close them and not the node.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// exchangeWorkers bounds the requests that a node exchanges with backend servers at the same time. The largest
	// deployments have 300 backend servers with 6 slots each behind about five entry hosts.
	exchangeWorkers = 768
	// sharers is the number of nodes that are assumed to share the slots of a backend server when its limit starts. The
	// limit adapts to what the server sheds; half of the usual four entry hosts lets one of them use idle slots.
	sharers = 2
	// deviations is how many mean deviations beyond the mean time of its kind a request must have left to be dispatched.
	// Callers that are refused do not all come back, so that a request with a fair chance is better sent.
	deviations = 2
	// acceptAfterLeave is how long a leaving node takes new connections: callers with a fresh answer of the directory no
	// longer choose it, and what arrives later could not be finished within the grace period.
	acceptAfterLeave = 2500 * time.Millisecond
	// exitMargin is left of the grace period when the node gives up on requests in flight.
	exitMargin = 300 * time.Millisecond
)

// Options are the settings of a node.
type Options struct {
	Self fleet.Host
	// Seeds are peer addresses of other hosts, which may be stale.
	Seeds []string
	// FirstStart says that the whole fleet starts for the first time, so that no caller waits for the node.
	FirstStart bool
	// Headers are the headers that callers and backend servers use.
	Headers dialect.Headers
	// MaxBody bounds a request body, in bytes.
	MaxBody int64
	// EntryTTL is how long callers may keep an answer of the directory.
	EntryTTL time.Duration
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// RetryRatio and RetryBurst bound the arrivals at a service beyond the first of each request, for the whole fleet: a
	// part of the requests, and a number beside it.
	RetryRatio float64
	RetryBurst int
}

// Log is the platform's log.
type Log interface {
	replicacmd.Log
	// Append adds a record to a topic of the fleet's own.
	Append(ctx context.Context, topic table.Topic, key string, value []byte) error
}

// Listener is an address that the node serves beside those of callers and peers.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
}

// Node is one running node.
type Node struct {
	Options    Options
	Tables     *table.Tables
	Config     configquery.Query
	Dispatcher *dispatchcmd.Dispatcher
	Roster     *rosterquery.Queries
	Replicas   *replicaquery.Queries
	Logger     zerolog.Logger

	started  time.Time
	log      Log
	hosts    *rostercmd.Commands
	replicas *replicacmd.Commands
	health   *sharedHealth
	peers    *peerclient.Client
	conns    *http1.Pool

	// calls governs messages to other nodes. It ends with the node, so that a peer that does not answer does not hold it up.
	calls     context.Context
	stopCalls context.CancelFunc
	syncs     *pool.Pool[fleet.Host]
	tells     *pool.Pool[message]
	// digests and heardBy hold, for each registrar, its last list of hosts and the digest of it.
	digests latest[uint64]
	heardBy latest[[]rostercmd.Announcement]
	// newest holds the time as of which each registrar's registry was complete when it was last asked.
	newest latest[time.Time]
	// jitter spreads the reads of the log over the nodes.
	jitter time.Duration
	// logLost says that the last read of the log failed.
	logLost    atomic.Bool
	seeds      atomic.Pointer[[]string]
	registered atomic.Bool
	// former says that the node was an entry host before it restarted, so that others wait for it.
	former  atomic.Bool
	changed chan struct{}
	// served is closed when the node is ready for the first time.
	served  chan struct{}
	failed  chan error
	leaving atomic.Bool
	servers []*server
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
		hosts: rostercmd.New(t, logger), replicas: replicacmd.New(t, log, d, sharers, logger),
		peers: peerclient.New(), conns: http1.NewPool(),
		changed: make(chan struct{}, 1), served: make(chan struct{}), failed: make(chan error, 1), jitter: rand.N(ageJitter),
	}
	n.calls, n.stopCalls = context.WithCancel(context.Background())
	n.seeds.Store(&o.Seeds)
	n.health = newSharedHealth(&healthcmd.Commands{Tables: t}, logger)
	n.Dispatcher = dispatchcmd.New(t, n.health, exchangeWorkers)
	n.Dispatcher.Deviations = deviations
	n.Dispatcher.AvailabilityZone = o.Self.AvailabilityZone
	n.Dispatcher.SetRetries(n.retryTerms())
	n.syncs = pool.New("sync", syncWorkers, syncWorkers, n.sync)
	n.tells = pool.New("tell", tellWorkers, tellQueue, n.tell)
	front := &hostfront.Handler{
		Routes: n.Config, Dispatcher: n.Dispatcher, Pool: n.conns, Headers: o.Headers,
		Traffic: &trafficcmd.Commands{Traffic: t.Traffic}, MaxBody: o.MaxBody, Started: n.served,
		RegistryAge: func() time.Duration { return n.Replicas.Age(table.TopicBackendServers, time.Now()) },
		Leaving:     n.leaving.Load, Log: logger,
	}
	peer := &peerserver.Server{Hosts: n.hosts, Roster: n.Roster, Replicas: n.Replicas, Health: n.health, Logger: logger}
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

// Listen binds one more address that Run serves.
func (n *Node) Listen(l Listener) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", l.Address)
	if err != nil {
		n.closeServers()
		return eris.Wrapf(err, "bind %s listener", l.Name)
	}
	n.servers = append(n.servers, &server{name: l.Name, listener: listener, http: &http.Server{
		Handler: l.Handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}})
	return nil
}

// Ready says whether the node can serve callers and is not leaving.
func (n *Node) Ready() bool {
	_, ready := n.Roster.Self()
	return ready && !n.leaving.Load()
}

// SetSeeds replaces the addresses of other hosts after a change of the settings.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// Run serves until the context ends, then drains. It returns the error of a listener that failed.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var done sync.WaitGroup
	for _, loop := range []func(context.Context){n.syncLoop, n.readLoop, n.tickLoop, n.shareLoop, n.announceLoop, n.contactLoop} {
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
	case err = <-n.failed:
	}
	stop()
	n.stopCalls()
	done.Wait()
	n.closeServers()
	n.syncs.Close()
	n.tells.Close()
	n.Logger.Info().Msg("node has stopped")
	return err
}

func (n *Node) serve(s *server) {
	if err := s.http.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		select {
		case n.failed <- eris.Wrapf(err, "serve %s listener", s.name):
		default:
		}
	}
}

// drain announces that the node is leaving, takes requests for as long as callers may still choose it, and then finishes
// those in flight.
func (n *Node) drain() {
	started := time.Now()
	n.leaving.Store(true)
	n.Dispatcher.KeepAttempts()
	n.hosts.SetLeaving()
	n.Logger.Info().Dur("grace-ms", n.Options.Grace).Msg("node is leaving")
	n.announceLeaving()
	accept := time.NewTimer(min(acceptAfterLeave, n.Options.Grace/2))
	defer accept.Stop()
	<-accept.C
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(n.Options.Grace-exitMargin))
	defer cancel()
	for _, s := range n.servers {
		if s.name != callerListener {
			continue
		}
		if err := s.http.Shutdown(ctx); err != nil {
			n.Logger.Warn().Err(err).Msg("requests in flight were cut at the end of the grace period")
		}
	}
	n.Logger.Info().Dur("took-ms", time.Since(started)).Msg("node has drained")
}

func (n *Node) closeServers() {
	for _, s := range n.servers {
		_ = s.http.Close()
		_ = s.listener.Close()
	}
}
