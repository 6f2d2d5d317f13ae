package entrynode

import (
	"context"
	"sync/atomic"
	"time"

	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/internal/zone/zonecmd"
	"egretline.example/egretline/pkg/fleet"
)

const (
	// reportInterval is the time between two reports to another entry host. Decisions that entry hosts make together are
	// based on figures that are older by this time and the delay of a message.
	reportInterval = 100 * time.Millisecond
	// reportWorkers and reportQueueLength bound the reports in transmission and in the queue.
	reportWorkers     = 6
	reportQueueLength = 128
)

// reportMessage is a report for one host.
type reportMessage struct {
	To     fleet.Host
	Report peerapi.Report
}

// reportExchange builds the reports of this node and takes those of others.
type reportExchange struct {
	sequence atomic.Uint64
	zones    *zonecmd.Commands
	// load is the section about demand and capacity of the reports that are being sent; nil if they have none.
	load *peerapi.ServiceLoads
}

// ObserveReport implements peerserver.ReportObserver.
func (e *reportExchange) ObserveReport(now time.Time, m peerapi.Report) {
	if m.Load != nil {
		e.zones.ObserveReport(m.From.ID, zoneReport(now, m))
	}
}

// fillReport sets the sections of the report for one host, and reports whether there are any.
func (e *reportExchange) fillReport(_ time.Time, _ fleet.Host, r *peerapi.Report) bool {
	r.Load = e.load
	return r.Customers != nil || r.Load != nil
}

// reportLoop sends reports to the other entry hosts.
func (n *Node) reportLoop(ctx context.Context) {
	callPeriodically(ctx, reportInterval, func(iteration int) {
		now := time.Now()
		n.reports.load = n.stepZones(now, iteration)
		self, ready := n.Roster.Self()
		for _, h := range n.otherEntryHosts() {
			report := peerapi.Report{
				From: peerapi.HostMessage(self, ready), Incarnation: n.started.UnixNano(), Sequence: n.reports.sequence.Add(1),
			}
			report.From.Leaving = n.leaving.Load()
			if !n.reports.fillReport(now, h, &report) {
				continue
			}
			if err := n.reportPool.TrySubmit(reportMessage{To: h, Report: report}); err != nil {
				n.Logger.Debug().Err(err).Str("peer", h.ID).Msg("cannot queue report for peer; the next one supersedes it")
			}
		}
	})
}

func (n *Node) sendReport(m reportMessage) {
	if err := n.peers.SendReport(n.peerContext, m.To.PeerAddress, m.Report); err != nil {
		n.Logger.Debug().Err(err).Str("peer", m.To.ID).Msg("cannot send report to peer; the next one supersedes it")
	}
}
