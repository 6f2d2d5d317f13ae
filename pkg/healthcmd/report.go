package healthcmd

import (
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trace"
)

// peerReportMaxAge is the age at which the last report of a peer is dropped.
const peerReportMaxAge = 10 * time.Second

// PeerReport is the health report in a heartbeat from a group member.
type PeerReport struct {
	HostID           string
	AvailabilityZone string
	Suspicions       map[table.ServerKey]table.Suspicion
	Leaving          []table.ServerKey
}

// ApplyReport replaces the previous report of the peer, and marks the servers that it reports as leaving.
func (c *Commands) ApplyReport(now time.Time, r PeerReport) {
	var ended []table.ServerKey
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		ended = removedKeys(b.Peers[r.HostID].Suspicions, r.Suspicions)
		b.Peers[r.HostID] = table.PeerReport{
			AvailabilityZone: r.AvailabilityZone, Received: now, Suspicions: r.Suspicions,
		}
		for key := range r.Suspicions {
			findAndTouch(b, key, now)
		}
		for _, key := range r.Leaving {
			if s := b.Services[key.Service][key.Address]; s != nil && !s.Leaving {
				markLeaving(s, table.LeavingReported, now)
			}
		}
	})
	for key, s := range r.Suspicions {
		c.recordSuspicion(now, r, key, s)
	}
	for _, key := range ended {
		c.recordSuspicion(now, r, key, table.Suspicion{})
	}
}

func (c *Commands) recordSuspicion(now time.Time, r PeerReport, key table.ServerKey, s table.Suspicion) {
	c.record(trace.Event{
		At: now, Kind: trace.Reported, Service: key.Service, Address: key.Address, Peer: r.HostID,
		AvailabilityZone: r.AvailabilityZone, Excess: s.Excess, Age: s.Age,
	})
}

// removedKeys returns the keys of previous that current lacks.
func removedKeys(previous, current map[table.ServerKey]table.Suspicion) []table.ServerKey {
	var keys []table.ServerKey
	for key := range previous {
		if _, kept := current[key]; !kept {
			keys = append(keys, key)
		}
	}
	return keys
}

// reportsByAddress returns the peers' suspicions of the service's backend servers, keyed by server address. The reports
// of each server are ordered by host ID.
func reportsByAddress(b *table.Backends, service string) map[string][]detect.Report {
	list := map[string][]detect.Report{}
	for _, id := range slices.Sorted(maps.Keys(b.Peers)) {
		p := b.Peers[id]
		for key, s := range p.Suspicions {
			if key.Service != service {
				continue
			}
			list[key.Address] = append(list[key.Address], detect.Report{
				Member: id, AvailabilityZone: p.AvailabilityZone, Excess: s.Excess, LastFailure: p.Received.Add(-s.Age),
			})
		}
	}
	return list
}

func expireReports(b *table.Backends, now time.Time) {
	for id, p := range b.Peers {
		if now.Sub(p.Received) > peerReportMaxAge {
			delete(b.Peers, id)
		}
	}
}
