// Package peerapi defines the messages between nodes: replica updates and host lists from registrars to all nodes, and
// evidence about backend servers between entry hosts.
package peerapi

import (
	"time"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// Paths of the interface between nodes.
const (
	PathSync     = "/peer/sync"
	PathEvidence = "/peer/evidence"
	PathReport   = "/peer/report"
	PathGrant    = "/peer/grant"
)

// Host is the wire format of a host.
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

// SyncRequest requests membership and replica updates from a registrar.
type SyncRequest struct {
	From Host `json:"from"`
	// Cursors holds the next offset that the sender needs for each topic.
	Cursors map[table.Topic]int64 `json:"cursors"`
	// Eras holds the era of the log that each cursor belongs to.
	Eras map[table.Topic]int64 `json:"eras,omitempty"`
	// HostListDigest is the digest of the last host list received from the registrar, or zero if there is none.
	HostListDigest uint64 `json:"digest,omitempty"`
}

// SyncResponse contains membership and replica updates from a registrar.
type SyncResponse struct {
	From           Host                  `json:"from"`
	Topics         map[table.Topic]Batch `json:"topics"`
	HostListDigest uint64                `json:"digest"`
	// Hosts lists the hosts in direct contact with the registrar. It is omitted if the digest equals that of the
	// request.
	Hosts []Host `json:"hosts,omitempty"`
}

// Batch contains the records of a topic that the receiver's replica lacks.
type Batch struct {
	// Era is the era of the log that the offsets belong to.
	Era int64 `json:"era,omitempty"`
	// Next is the offset that follows the records which the sender's replica covers.
	Next int64 `json:"next"`
	// Full reports whether the batch covers the whole topic. Keys without a record in it then do not exist.
	Full bool `json:"whole,omitempty"`
	// AgeMs is the time since the replica was known to be complete, in milliseconds, and PausedMs the part of it in which the
	// process of the sender was paused.
	AgeMs    int64 `json:"age-ms"`
	PausedMs int64 `json:"paused-ms,omitempty"`
	// OutageEndedMs is the time since the end of the last outage of the log that the sender noticed, in milliseconds; zero if
	// there was none.
	OutageEndedMs int64    `json:"outage-ended-ms,omitempty"`
	Records       []Record `json:"records,omitempty"`
}

// Record is the wire format of a topic record.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// Evidence reports failures and recoveries of backend servers, and servers that announced that they are leaving, to other
// nodes.
type Evidence struct {
	From      Host             `json:"from"`
	Failures  []ServerEvidence `json:"failures,omitempty"`
	Recovered []ServerEvidence `json:"recovered,omitempty"`
	Leaving   []ServerEvidence `json:"leaving,omitempty"`
	// Overdue lists servers at which a request takes far longer than usual.
	Overdue []ServerEvidence `json:"overdue,omitempty"`
}

// Report tells another entry host periodically what it needs for decisions that entry hosts make together. Sections that
// are nil are not reported. A report that is lost is not repeated: the next one supersedes it.
type Report struct {
	From Host `json:"from"`
	// Incarnation identifies the run of the sender's process, and Sequence orders the reports of one run.
	Incarnation int64  `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Customers reports what customers used of their quotas at the sender.
	Customers *CustomerUsage `json:"customers,omitempty"`
	// Load reports the demand and the free capacity that the sender sees, by service.
	Load *ServiceLoads `json:"load,omitempty"`
}

// ServerEvidence is a failure, a recovery or the leaving of a backend server.
type ServerEvidence struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Instance string `json:"instance,omitempty"`
	// StartedAtMs is the start time of the server's run; sent only for a server that is leaving.
	StartedAtMs int64 `json:"started-at-ms,omitempty"`
	AgeMs       int64 `json:"age-ms"`
}

// maxAge bounds the ages in messages. A longer age has the same meaning.
const maxAge = time.Hour

// boundedAge converts an age in a message, which may come from a faulty sender, to a duration from zero to maxAge.
func boundedAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

// Run returns the run of the backend server that the evidence is about.
func (s ServerEvidence) Run() notice.Run {
	return notice.Run{Address: s.Address, Instance: s.Instance, StartedAtMs: s.StartedAtMs}
}

// Key returns the table key of the backend server.
func (s ServerEvidence) Key() table.ServerKey {
	return table.ServerKey{Service: s.Service, Address: s.Address}
}

// Age returns the time between the observation and the message.
func (s ServerEvidence) Age() time.Duration { return boundedAge(s.AgeMs) }

// HostMessage converts a host to its wire format.
func HostMessage(h fleet.Host, ready bool) Host {
	return Host{
		ID: h.ID, Region: h.Region, AvailabilityZone: h.AvailabilityZone, CallerAddress: h.CallerAddress,
		PeerAddress: h.PeerAddress, Weight: h.Weight, Leaving: h.Leaving, Ready: ready,
	}
}

// Announcement converts the message to a host announcement.
func (h Host) Announcement() rostercmd.Announcement {
	return rostercmd.Announcement{
		Host: fleet.Host{
			ID: h.ID, Region: h.Region, AvailabilityZone: h.AvailabilityZone, CallerAddress: h.CallerAddress,
			PeerAddress: h.PeerAddress, Weight: h.Weight, Leaving: h.Leaving,
		},
		Ready: h.Ready,
	}
}

// BatchMessage converts a batch to its wire format.
func BatchMessage(b replica.Batch, now time.Time) Batch {
	m := Batch{
		Era: b.Era, Next: b.Next, Full: b.Full, AgeMs: now.Sub(b.AsOf).Milliseconds(), PausedMs: b.Paused.Milliseconds(),
	}
	if !b.OutageEnd.IsZero() {
		m.OutageEndedMs = max(1, now.Sub(b.OutageEnd).Milliseconds())
	}
	for _, r := range b.Records {
		m.Records = append(m.Records, Record(r))
	}
	return m
}

// ReplicaBatch converts the message to a batch. The age counts from the time at which the request was sent, which
// avoids underestimating it.
func (b Batch) ReplicaBatch(sent time.Time) replica.Batch {
	batch := replica.Batch{
		Era: b.Era, Next: b.Next, Full: b.Full, AsOf: sent.Add(-boundedAge(b.AgeMs)), Paused: boundedAge(b.PausedMs),
	}
	if b.OutageEndedMs > 0 {
		batch.OutageEnd = sent.Add(-boundedAge(b.OutageEndedMs))
	}
	for _, r := range b.Records {
		batch.Records = append(batch.Records, replica.Record(r))
	}
	return batch
}
