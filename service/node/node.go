// Package node assembles a node: listeners, worker pools, periodic jobs and clients of the platform services.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/http/strict"
	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/keycmd"
	"egretline.example/egretline/pkg/membercmd"
	"egretline.example/egretline/pkg/memberquery"
	"egretline.example/egretline/pkg/pool"
	"egretline.example/egretline/pkg/settings"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trace"
	"egretline.example/egretline/pkg/trafficcmd"
	"egretline.example/egretline/service/backend"
	"egretline.example/egretline/service/caller"
	"egretline.example/egretline/service/hostlist"
	"egretline.example/egretline/service/peer"
	"egretline.example/egretline/service/platformlog"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout frees the connection slots of callers that went away without closing.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// platformTimeout bounds one request to the log or the host list. It exceeds the long poll of the log.
	platformTimeout = 15 * time.Second
)

// Node is an entry node: it accepts requests of callers and dispatches them to backend servers or forwards them to other
// nodes.
type Node struct {
	Settings   settings.Settings
	Tables     *table.Tables
	Config     configquery.Query
	Members    *memberquery.Queries
	Dispatcher *dispatchcmd.Dispatcher
	Log        zerolog.Logger

	follower *configcmd.Follower
	// snapshotter appends snapshots of the configuration to the log while this node is the one chosen to do so.
	snapshotter    *configcmd.Snapshotter
	memberCommands *membercmd.Commands
	hosts          *hostlist.Client
	transport      *strict.Transport
	scheduler      *scheduler
	servers        []*server
	listenerErrors chan error

	peers       *peer.Client
	forwarder   *peer.Forwarder
	heartbeats  *pool.Pool[outgoingHeartbeat]
	probes      *pool.Pool[healthquery.ProbeTarget]
	keyCommands *keycmd.Commands

	certificates certificates
	drainRequest chan struct{}
	drainOnce    sync.Once

	healthCommands *healthcmd.Commands
	healthQueries  *healthquery.Queries
	prober         *backend.Prober
	recorder       *trace.Recorder
	traceFile      *os.File
	wasIsolated    atomic.Bool
}

// server is a listener with the HTTP server that serves it.
type server struct {
	Name     string
	Listener net.Listener
	HTTP     *http.Server
}

// New binds the listeners and returns a node that does not serve yet. Port 0 in an address of the settings is replaced by
// the bound port. It returns a wrapped net error if an address cannot be bound, and tlsfiles.FileError if a certificate
// cannot be loaded.
func New(s settings.Settings, log zerolog.Logger) (*Node, error) {
	certs, err := loadCertificates(s)
	if err != nil {
		return nil, err
	}
	servers, err := bind(&s)
	if err != nil {
		return nil, err
	}
	certs.wrapListeners(servers)
	self := fleet.Host{
		ID: s.HostID, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
	}
	t := table.New(self, member.Incarnation(time.Now(), rand.Uint32()))
	platform := strict.NewClient(platformTimeout)
	healthCommands := &healthcmd.Commands{Tables: t}
	transport := backend.NewTransport()
	n := &Node{
		Settings:   s,
		Tables:     t,
		Config:     configquery.Query{Config: t.Config},
		Members:    &memberquery.Queries{Tables: t},
		Dispatcher: dispatchcmd.New(t, healthCommands, s.ExchangeWorkers),
		Log:        log,
		follower: &configcmd.Follower{
			Log: platformlog.New(s.LogURL, platform), Config: t.Config, Logger: log,
		},
		memberCommands: &membercmd.Commands{Tables: t},
		keyCommands:    &keycmd.Commands{Tables: t},
		hosts:          &hostlist.Client{URL: s.HostListURL, HTTP: platform},
		transport:      transport,
		listenerErrors: make(chan error, 1),

		drainRequest: make(chan struct{}),

		healthCommands: healthCommands,
		healthQueries:  &healthquery.Queries{Tables: t},
		prober:         &backend.Prober{Transport: transport},
	}
	if err := n.openTrace(); err != nil {
		closeServers(servers)
		return nil, err
	}
	n.scheduler = newScheduler(s.ControlWorkers, n.periodicJobs())
	n.servers = servers
	n.snapshotter = configcmd.NewSnapshotter(n.follower, n.Members, fold.SnapshotPolicy{}, log)
	n.follower.Observer = &configObserver{node: n}
	n.certificates = certs
	n.peers = &peer.Client{Transport: certs.peerTransport()}
	n.follower.Peers = &peer.ConfigFetcher{Client: n.peers, Directory: n.Members}
	n.forwarder = peer.NewForwarder(s.HostID, n.peers.Transport, n.memberCommands, s.ForwardWorkers)
	n.probes = pool.New("probe", probeWorkers, maxQueuedProbes, n.probeServer)
	n.heartbeats = pool.New("heartbeat", heartbeatWorkers, maxQueuedHeartbeats, n.sendHeartbeat)
	callerHandler := n.newCallerHandler()
	n.setHandler("caller", n.closeConnectionsWhileLeaving(callerHandler))
	n.setHandler("peer", n.closeConnectionsWhileLeaving(n.peerMux(callerHandler.ForwardedHandler())))
	n.setHandler("operator", n.operatorMux())
	return n, nil
}

// bind opens the listeners and stores their bound addresses in the settings.
func bind(s *settings.Settings) ([]*server, error) {
	var servers []*server
	for _, b := range []struct {
		name    string
		address *string
	}{
		{"caller", &s.CallerAddress},
		{"peer", &s.PeerAddress},
		{"operator", &s.OperatorAddress},
	} {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", *b.address)
		if err != nil {
			closeServers(servers)
			return nil, eris.Wrapf(err, "bind %s listener", b.name)
		}
		*b.address = l.Addr().String()
		servers = append(servers, &server{
			Name: b.name, Listener: newLimitListener(l, s.MaxConnections), HTTP: &http.Server{
				ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			},
		})
	}
	return servers, nil
}

func (n *Node) setHandler(name string, h http.Handler) {
	for _, s := range n.servers {
		if s.Name == name {
			s.HTTP.Handler = h
		}
	}
}

func (n *Node) newCallerHandler() *caller.Handler {
	return &caller.Handler{
		Config:     n.Config,
		Dispatcher: n.Dispatcher,
		KeyOwners:  n.Members,
		Keys:       n.keyCommands,
		Groups:     n.Members,
		Forwarder:  n.forwarder,
		Transport:  n.transport,
		EntryTTL:   n.Settings.EntryTTL.Duration,
		Traffic:    &trafficcmd.Commands{Traffic: n.Tables.Traffic},
		Log:        n.Log,
	}
}

// Run serves until the context ends or a drain is requested, then drains. It returns an error if a listener fails.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { n.follower.Run(background) })
	wg.Go(func() { n.scheduler.run(background) })
	for _, s := range n.servers {
		go n.serve(s)
	}
	n.Log.Info().Str("caller-address", n.Settings.CallerAddress).Msg("node is serving")
	var err error
	select {
	case <-ctx.Done():
		err = n.drain()
	case <-n.drainRequest:
		err = n.drain()
	case err = <-n.listenerErrors:
	}
	stop()
	wg.Wait()
	closeServers(n.servers)
	n.forwarder.Close()
	n.heartbeats.Close()
	n.probes.Close()
	n.Dispatcher.Close()
	n.transport.CloseIdleConnections()
	n.closeTrace()
	return err
}

func (n *Node) serve(s *server) {
	err := s.HTTP.Serve(s.Listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		select {
		case n.listenerErrors <- eris.Wrapf(err, "serve %s listener", s.Name):
		default:
		}
	}
}

func closeServers(servers []*server) {
	for _, s := range servers {
		_ = s.HTTP.Close()
		_ = s.Listener.Close()
	}
}
