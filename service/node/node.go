// Package node wires the parts of one node: listeners, worker pools, periodic jobs and clients of the platform.
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
	// idleTimeout gives the places of callers that are gone back to others.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// platformTimeout bounds one request to the log or the host list. It is longer than the long poll of the log.
	platformTimeout = 15 * time.Second
)

// Node is one running node.
type Node struct {
	Settings   settings.Settings
	Tables     *table.Tables
	Config     configquery.Query
	Members    *memberquery.Queries
	Dispatcher *dispatchcmd.Dispatcher
	Log        zerolog.Logger

	follower *configcmd.Follower
	// snapshotter writes the configuration to the log while this node is the chosen one.
	snapshotter *configcmd.Snapshotter
	members     *membercmd.Commands
	hosts       *hostlist.Client
	transport   *http.Transport
	jobs        *scheduler
	servers     []*server
	failed      chan error

	peers     *peer.Client
	forwarder *peer.Forwarder
	beats     *pool.Pool[beat]
	probes    *pool.Pool[healthquery.ProbeTarget]
	keys      *keycmd.Commands

	certificates certificates
	drainRequest chan struct{}
	drainOnce    sync.Once

	health      *healthcmd.Commands
	healthQuery *healthquery.Queries
	prober      *backend.Prober
	recorder    *trace.Recorder
	traceFile   *os.File
	wasIsolated atomic.Bool
}

// server is one listener and the HTTP server on it.
type server struct {
	Name     string
	Listener net.Listener
	HTTP     *http.Server
}

// New returns a node that does not serve yet. Port 0 in an address of the settings is replaced by the port that was
// bound. It returns a wrapped net error if an address cannot be bound, and tlsfiles.FileError.
func New(s settings.Settings, log zerolog.Logger) (*Node, error) {
	loaded, err := loadCertificates(s)
	if err != nil {
		return nil, err
	}
	servers, err := bind(&s)
	if err != nil {
		return nil, err
	}
	loaded.wrap(servers)
	self := fleet.Host{
		ID: s.HostID, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
	}
	t := table.New(self, member.Incarnation(time.Now(), rand.Uint32()))
	platform := &http.Client{Timeout: platformTimeout}
	health := &healthcmd.Commands{Tables: t}
	transport := backend.NewTransport()
	n := &Node{
		Settings:   s,
		Tables:     t,
		Config:     configquery.Query{Config: t.Config},
		Members:    &memberquery.Queries{Tables: t},
		Dispatcher: dispatchcmd.New(t, health, s.ExchangeWorkers),
		Log:        log,
		follower: &configcmd.Follower{
			Log: platformlog.New(s.LogURL, platform), Config: t.Config, Logger: log,
		},
		members:   &membercmd.Commands{Tables: t},
		keys:      &keycmd.Commands{Tables: t},
		hosts:     &hostlist.Client{URL: s.HostListURL, HTTP: platform},
		transport: transport,
		failed:    make(chan error, 1),

		drainRequest: make(chan struct{}),

		health:      health,
		healthQuery: &healthquery.Queries{Tables: t},
		prober:      &backend.Prober{Transport: transport},
	}
	if err := n.openTrace(); err != nil {
		closeServers(servers)
		return nil, err
	}
	n.jobs = newScheduler(s.ControlWorkers, n.periodic())
	n.servers = servers
	n.snapshotter = configcmd.NewSnapshotter(n.follower, n.Members, fold.SnapshotPolicy{}, log)
	n.follower.Observer = &configObserver{node: n}
	n.certificates = loaded
	n.peers = &peer.Client{Transport: loaded.peerTransport()}
	n.follower.Peers = &peer.States{Client: n.peers, Directory: n.Members}
	n.forwarder = peer.NewForwarder(s.HostID, n.peers.Transport, n.members, s.ForwardWorkers)
	n.probes = pool.New("probe", probeWorkers, probeQueue, n.probeOne)
	n.beats = pool.New("heartbeat", heartbeatWorkers, heartbeatQueue, n.sendHeartbeat)
	calls := n.callHandler()
	n.handle("caller", n.closing(calls))
	n.handle("peer", n.closing(n.peerMux(calls.Forwarded())))
	n.handle("operator", n.operatorMux())
	return n, nil
}

// bind opens the listeners and writes the addresses that were bound back to the settings.
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

func (n *Node) handle(name string, h http.Handler) {
	for _, s := range n.servers {
		if s.Name == name {
			s.HTTP.Handler = h
		}
	}
}

func (n *Node) callHandler() *caller.Handler {
	return &caller.Handler{
		Routes:     n.Config,
		Dispatcher: n.Dispatcher,
		Homes:      n.Members,
		Keys:       n.keys,
		Groups:     n.Members,
		Forwarder:  n.forwarder,
		Transport:  n.transport,
		EntryTTL:   n.Settings.EntryTTL.Duration,
		Traffic:    &trafficcmd.Commands{Traffic: n.Tables.Traffic},
		Log:        n.Log,
	}
}

// Run serves until the context ends or a drain is requested, then drains. It returns the error of a listener that failed.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var done sync.WaitGroup
	done.Go(func() { n.follower.Run(background) })
	done.Go(func() { n.jobs.run(background) })
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
	case err = <-n.failed:
	}
	stop()
	done.Wait()
	closeServers(n.servers)
	n.forwarder.Close()
	n.beats.Close()
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
		case n.failed <- eris.Wrapf(err, "serve %s listener", s.Name):
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
