package entrynode

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/internal/zone/zonecmd"
	"egretline.example/egretline/internal/zone/zonequery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// stepZones updates the plans of zones once in zonecmd.StepInterval. It returns the section for the reports of the
// iteration, or nil if they have none. An idle node reports too, because a silent one counts as cut off.
func (n *Node) stepZones(now time.Time, iteration int) *peerapi.ServiceLoads {
	if !n.Options.Zones.Enabled || iteration%int(zonecmd.StepInterval/reportInterval) != 0 {
		return nil
	}
	entryHosts := n.Roster.EntryHosts()
	n.reports.zones.Step(now, n.Options.Self, entryHosts)
	inOtherZone := func(h fleet.Host) bool { return h.AvailabilityZone != n.Options.Self.AvailabilityZone }
	if !n.isEntryHost(entryHosts) || !slices.ContainsFunc(entryHosts, inOtherZone) {
		return nil
	}
	return peerapi.LoadsMessage((&zonequery.Queries{Tables: n.Tables}).Loads())
}

func zoneReport(now time.Time, m peerapi.Report) table.ZoneReport {
	return table.ZoneReport{
		AvailabilityZone: m.From.AvailabilityZone, Received: now, Incarnation: m.Incarnation, Sequence: m.Sequence,
		Services: m.Load.Loads(),
	}
}

// writeZones writes the shares of services that leave the node's zone, and the traffic between zones.
func writeZones(b *bytes.Buffer, q *zonequery.Queries) {
	for _, p := range q.Plans() {
		fmt.Fprintf(b, "zone-share{service=%q,zone=%q,cause=%q} %.3f\n", p.Service, p.Home, p.Cause, p.Share)
	}
	for _, c := range q.Crossings() {
		labels := fmt.Sprintf("{service=%q,from=%q,to=%q}", c.Service, c.From, c.To)
		fmt.Fprintf(b, "zone-attempts%s %d\n", labels, c.Requests)
		fmt.Fprintf(b, "zone-bytes%s %d\n", labels, c.Bytes)
	}
}
