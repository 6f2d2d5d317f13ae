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

// reportAge is how long the report of a peer counts without a newer one.
const reportAge = 10 * time.Second

// PeerReport is the report of a group member, as a heartbeat carries it.
type PeerReport struct {
	HostID           string
	AvailabilityZone string
	Suspicions       map[table.ServerKey]table.Suspicion
	Leaving          []table.ServerKey
}

// ApplyReport replaces the earlier report of the peer, and marks the servers that the peer found to be leaving.
func (c *Commands) ApplyReport(now time.Time, r PeerReport) {
	var ended []table.ServerKey
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		ended = missing(b.Peers[r.HostID].Suspicions, r.Suspicions)
		b.Peers[r.HostID] = table.PeerReport{
			AvailabilityZone: r.AvailabilityZone, Received: now, Suspicions: r.Suspicions,
		}
		for key := range r.Suspicions {
			touch(b, key, now)
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

func missing(previous, current map[table.ServerKey]table.Suspicion) []table.ServerKey {
	var keys []table.ServerKey
	for key := range previous {
		if _, kept := current[key]; !kept {
			keys = append(keys, key)
		}
	}
	return keys
}

// reports returns the reports of the peers about the service, by address.
func reports(b *table.Backends, service string) map[string][]detect.Report {
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
		if now.Sub(p.Received) > reportAge {
			delete(b.Peers, id)
		}
	}
}
