package node

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/decide/group"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/trace"
)

const (
	// probePeriod is the time between two probes of a backend server without traffic.
	probePeriod = 5 * time.Second
	// probeTimeout is far above the 25 ms that a probe usually takes.
	probeTimeout = time.Second
	// probeWorkers bounds the probes that are sent at the same time. One after another, 42 silent servers took 42 s.
	probeWorkers = 8
	// probeQueue holds the probes that wait for a worker. Those of a period that do not fit are left to the next one.
	probeQueue = 16
	traceMode  = 0o600
)

// openTrace starts the recorder that the settings ask for.
func (n *Node) openTrace() error {
	if n.Settings.TraceFile == "" {
		return nil
	}
	f, err := os.OpenFile(n.Settings.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceMode) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "open trace file")
	}
	n.traceFile = f
	n.recorder = trace.NewRecorder(f)
	n.health.Trace = n.recorder
	return nil
}

func (n *Node) closeTrace() {
	if n.recorder == nil {
		return
	}
	err := n.recorder.Close()
	if err == nil {
		err = n.traceFile.Close()
	}
	if dropped := n.recorder.Dropped.Load(); err != nil || dropped > 0 {
		n.Log.Warn().Err(err).Int64("dropped", dropped).Msg("the recorded trace is incomplete")
	}
}

// sweep is a periodic job that ejects and readmits backend servers, and then assigns requests that waited for them.
func (n *Node) sweep(context.Context) {
	s := n.health.Sweep(time.Now())
	n.Dispatcher.Sweep(time.Now())
	if s.Paused {
		n.Log.Warn().Msg("node was paused; ages of requests in flight are discarded")
	}
	if s.Isolated != n.wasIsolated.Swap(s.Isolated) {
		n.Log.Warn().Bool("isolated", s.Isolated).Msg("reachability of backend servers from this node changed")
	}
	for service, c := range s.Services {
		n.Log.Info().Str("service", service).Strs("ejected", c.Ejected).Strs("readmitted", c.Readmitted).
			Msg("use of backend servers changed")
	}
}

// reportEarly is a periodic job that sends heartbeats ahead of time if there is fresh evidence.
func (n *Node) reportEarly(ctx context.Context) {
	if now := time.Now(); n.healthQuery.Fresh(now) {
		n.sendHeartbeats(ctx, now)
	}
}

// probe is a periodic job that probes the backend servers about which traffic gives no evidence.
func (n *Node) probe(ctx context.Context) {
	now := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probePeriod)
	defer cancel()
	self, _ := n.Members.Self()
	groups := map[string][]fleet.Host{}
	for _, target := range n.healthQuery.ProbeTargets(now, n.served()) {
		service := target.Server.Service
		if _, known := groups[service]; !known {
			groups[service] = n.Members.Group(service)
		}
		if target.Leaving || isProber(self, target, groups[service]) {
			if err := n.probes.Submit(ctx, target); err != nil {
				return
			}
		}
	}
}

// served returns the services that this node serves.
func (n *Node) served() map[string]bool {
	served := map[string]bool{}
	if c := n.Config.Current(); c != nil {
		for name := range c.Services {
			served[name] = n.Members.Serves(name)
		}
	}
	return served
}

func isProber(self fleet.Host, target healthquery.ProbeTarget, members []fleet.Host) bool {
	probers := group.Probers(target.Server.Address, members)
	return slices.ContainsFunc(probers, func(h fleet.Host) bool { return h.ID == self.ID })
}

func (n *Node) probeOne(target healthquery.ProbeTarget) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r := n.prober.Probe(ctx, target.Server.Address)
	if r.Evidence == fleet.Canceled {
		return
	}
	n.health.ObserveProbe(time.Now(), healthcmd.Probe{
		Server: target.Server, Evidence: r.Evidence, Latency: r.Latency, Leaving: r.Leaving,
	})
}
