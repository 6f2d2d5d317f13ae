// Package peerapi holds the messages that nodes exchange: state that is spread from registrars to all nodes, and evidence
// about backend servers that the nodes which serve callers tell each other.
package peerapi

import (
	"time"

	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// Paths of the interface between nodes.
const (
	PathSync     = "/peer/sync"
	PathEvidence = "/peer/evidence"
)

// Host is a host as messages name it.
type Host struct {
	ID               string  `json:"id"`
	Region           string  `json:"region,omitempty"`
	AvailabilityZone string  `json:"availability-zone"`
	CallerAddress    string  `json:"caller-address"`
	PeerAddress      string  `json:"peer-address"`
	Weight           float64 `json:"weight"`
	Leaving          bool    `json:"leaving,omitempty"`
	Ready            bool    `json:"ready,omitempty"`
}

// SyncRequest asks a registrar for news.
type SyncRequest struct {
	From Host `json:"from"`
	// Cursors holds the offset that follows the sender's copy of each topic.
	Cursors map[table.Topic]int64 `json:"cursors"`
	// HostListDigest is that of the list of hosts that the registrar sent last; zero if none is known.
	HostListDigest uint64 `json:"digest,omitempty"`
}

// SyncResponse is a registrar's news.
type SyncResponse struct {
	From           Host                  `json:"from"`
	Topics         map[table.Topic]Batch `json:"topics"`
	HostListDigest uint64                `json:"digest"`
	// Hosts are those that the registrar has heard itself. It is left out if the digest is that of the request.
	Hosts []Host `json:"hosts,omitempty"`
}

// Batch is what the sender's copy of a topic lacks.
type Batch struct {
	Next    int64    `json:"next"`
	Whole   bool     `json:"whole,omitempty"`
	AgeMs   int64    `json:"age-ms"`
	Records []Record `json:"records,omitempty"`
}

// Record is one record of a topic.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// Evidence tells other nodes of failures and recoveries of backend servers.
type Evidence struct {
	From      Host             `json:"from"`
	Failures  []ServerEvidence `json:"failures,omitempty"`
	Recovered []ServerEvidence `json:"recovered,omitempty"`
}

// ServerEvidence is a backend server that failed a request or has recovered.
type ServerEvidence struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Instance string `json:"instance,omitempty"`
	AgeMs    int64  `json:"age-ms"`
}

// Key returns the key of the backend server.
func (s ServerEvidence) Key() table.ServerKey {
	return table.ServerKey{Service: s.Service, Address: s.Address}
}

// Age returns the time since it was seen.
func (s ServerEvidence) Age() time.Duration { return time.Duration(s.AgeMs) * time.Millisecond }

// HostMessage returns the message form of a host.
func HostMessage(h fleet.Host, ready bool) Host {
	return Host{
		ID: h.ID, Region: h.Region, AvailabilityZone: h.AvailabilityZone, CallerAddress: h.CallerAddress,
		PeerAddress: h.PeerAddress, Weight: h.Weight, Leaving: h.Leaving, Ready: ready,
	}
}

// Announcement returns what the message says of the host.
func (h Host) Announcement() rostercmd.Announcement {
	return rostercmd.Announcement{
		Host: fleet.Host{
			ID: h.ID, Region: h.Region, AvailabilityZone: h.AvailabilityZone, CallerAddress: h.CallerAddress,
			PeerAddress: h.PeerAddress, Weight: h.Weight, Leaving: h.Leaving,
		},
		Ready: h.Ready,
	}
}

// BatchMessage returns the message form of a batch.
func BatchMessage(b replica.Batch, now time.Time) Batch {
	m := Batch{Next: b.Next, Whole: b.Whole, AgeMs: now.Sub(b.AsOf).Milliseconds()}
	for _, r := range b.Records {
		m.Records = append(m.Records, Record(r))
	}
	return m
}

// ReplicaBatch returns the batch, whose age counts from the time at which it was asked for.
func (b Batch) ReplicaBatch(asked time.Time) replica.Batch {
	batch := replica.Batch{Next: b.Next, Whole: b.Whole, AsOf: asked.Add(-time.Duration(b.AgeMs) * time.Millisecond)}
	for _, r := range b.Records {
		batch.Records = append(batch.Records, replica.Record(r))
	}
	return batch
}
