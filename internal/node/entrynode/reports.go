package entrynode

import (
	"context"
	"sync/atomic"
	"time"

	"egretline.example/egretline/internal/customer/quotacmd"
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
	quotas   *quotacmd.Commands
	zones    *zonecmd.Commands
	// load is the section about demand and capacity of the reports that are being sent; nil if they have none.
	load *peerapi.ServiceLoads
	// newReport returns a report without sections.
	newReport func() peerapi.Report
}

// ObserveReport implements peerserver.ReportObserver.
func (x *reportExchange) ObserveReport(now time.Time, m peerapi.Report) peerapi.Report {
	x.quotas.Observe(now, m)
	if m.Load != nil {
		x.zones.ObserveReport(m.From.ID, zoneReport(now, m))
	}
	answer := x.newReport()
	answer.Customers = x.quotas.Answer(now, m.From.ID, answer.Sequence)
	return answer
}

// fillReport sets the sections of the report for one host, and reports whether there are any.
func (x *reportExchange) fillReport(now time.Time, to fleet.Host, r *peerapi.Report) bool {
	r.Customers, r.Load = x.quotas.Report(now, to.ID, r.Sequence), x.load
	return r.Customers != nil || r.Load != nil
}

// reportLoop sends reports to the other entry hosts.
func (n *Node) reportLoop(ctx context.Context) {
	callPeriodically(ctx, reportInterval, func(iteration int) {
		now := time.Now()
		n.reports.load = n.stepZones(now, iteration)
		for _, h := range n.otherEntryHosts() {
			report := n.reports.newReport()
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
	answer, err := n.peers.SendReport(n.peerContext, m.To.PeerAddress, m.Report)
	if err != nil {
		n.Logger.Debug().Err(err).Str("peer", m.To.ID).Msg("cannot send report to peer; the next one supersedes it")
		return
	}
	n.reports.quotas.Delivered(m.To.ID, m.Report.Sequence, m.Report.Customers)
	if answer.From.ID == m.To.ID {
		n.reports.quotas.Observe(time.Now(), answer)
	}
}

// newReport returns a report of this node without sections.
func (n *Node) newReport() peerapi.Report {
	r := peerapi.Report{
		From: peerapi.HostMessage(n.Roster.Self()), Incarnation: n.started.UnixNano(), Sequence: n.reports.sequence.Add(1),
	}
	r.From.Leaving = n.leaving.Load()
	return r
}
