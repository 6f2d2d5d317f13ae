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
	// probeInterval is the time between two probes of a backend server without traffic.
	probeInterval = 5 * time.Second
	// probeTimeout leaves a wide margin over the 25 ms that a probe usually takes.
	probeTimeout = time.Second
	// probeWorkers bounds the number of concurrent probes. Sequential probes of 42 unresponsive servers took 42 s.
	probeWorkers = 8
	// maxQueuedProbes bounds the probes that wait for a worker. Probes that do not fit are sent in the next interval.
	maxQueuedProbes = 16
	traceFileMode   = 0o600
)

// openTrace starts recording to the configured trace file, if there is one.
func (n *Node) openTrace() error {
	if n.Settings.TraceFile == "" {
		return nil
	}
	f, err := os.OpenFile(n.Settings.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "open trace file")
	}
	n.traceFile = f
	n.recorder = trace.NewRecorder(f)
	n.healthCommands.Trace = n.recorder
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
		n.Log.Warn().Err(err).Int64("dropped", dropped).Msg("trace file is incomplete")
	}
}

// sweep is a periodic job that ejects and readmits backend servers, and then dispatches requests that were waiting for
// a server.
func (n *Node) sweep(context.Context) {
	s := n.healthCommands.Sweep(time.Now())
	n.Dispatcher.Sweep(time.Now())
	if s.Paused {
		n.Log.Warn().Msg("node was paused; failures and ages of requests in flight do not count against backend servers")
	}
	if s.Isolated != n.wasIsolated.Swap(s.Isolated) {
		n.Log.Warn().Bool("isolated", s.Isolated).Msg("isolation of this node from backend servers began or ended")
	}
	for service, changes := range s.Services {
		n.Log.Info().Str("service", service).Strs("ejected", changes.Ejected).Strs("readmitted", changes.Readmitted).
			Msg("backend servers ejected or readmitted")
	}
}

// sendEarlyHeartbeats is a periodic job that sends heartbeats ahead of schedule if there is new evidence against
// backend servers.
func (n *Node) sendEarlyHeartbeats(ctx context.Context) {
	if now := time.Now(); n.healthQueries.HasFreshEvidence(now) {
		n.sendHeartbeats(ctx, now)
	}
}

// submitProbes is a periodic job that queues probes of the backend servers that have had no recent traffic.
func (n *Node) submitProbes(ctx context.Context) {
	now := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	self, _ := n.Members.Self()
	groups := map[string][]fleet.Host{}
	for _, target := range n.healthQueries.ProbeTargets(now, n.servedServices()) {
		service := target.Server.Service
		if _, cached := groups[service]; !cached {
			groups[service] = n.Members.Group(service)
		}
		if target.Leaving || isProber(self, target, groups[service]) {
			if err := n.probes.Submit(ctx, target); err != nil {
				return
			}
		}
	}
}

// servedServices maps each configured service to whether this node is a member of its group.
func (n *Node) servedServices() map[string]bool {
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

func (n *Node) probeServer(target healthquery.ProbeTarget) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r := n.prober.Probe(ctx, target.Server.Address)
	if r.Evidence == fleet.Canceled {
		return
	}
	n.healthCommands.ObserveProbe(time.Now(), healthcmd.Probe{
		Server: target.Server, Evidence: r.Evidence, Latency: r.Latency, Leaving: r.Leaving,
	})
}
