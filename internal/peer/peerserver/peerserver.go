// Package peerserver handles requests from other nodes.
package peerserver

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/internal/decide/quota"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/internal/replica/replicaquery"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/internal/roster/rosterquery"
	"egretline.example/egretline/pkg/table"
)

const (
	// maxMessageBytes bounds a request body from another node.
	maxMessageBytes = 1 << 20
	// minCompressedBytes is the size from which responses are compressed. Most responses contain no updates and are far
	// smaller.
	minCompressedBytes = 4 << 10
)

// EvidenceObserver records evidence about backend servers from other nodes.
type EvidenceObserver interface {
	ObservePeerFailure(now time.Time, key table.ServerKey, instance string, age time.Duration)
	ObservePeerRecovery(now time.Time, key table.ServerKey, instance string, age time.Duration)
	ObservePeerOverdue(now time.Time, key table.ServerKey, instance string, age time.Duration)
	ObservePeerLeaving(now time.Time, service string, run notice.Run)
}

// ReportObserver takes the sections of periodic reports from other entry hosts. It returns the report with which a report is
// answered.
type ReportObserver interface {
	ObserveReport(now time.Time, m peerapi.Report) peerapi.Report
}

// Granter decides on requests of customers that other hosts have received.
type Granter interface {
	Grant(now time.Time, customer string) quota.Verdict
}

// PauseObserver notices a pause of the process that has ended.
type PauseObserver interface {
	Observe()
}

// Server responds to other nodes from the tables of this node.
type Server struct {
	RosterCommands *rostercmd.Commands
	Roster         *rosterquery.Queries
	Replicas       *replicaquery.Queries
	Health         EvidenceObserver
	Reports        ReportObserver
	Granter        Granter
	// Pauses notices a pause of the process before the replicas are sent; nil if pauses are not noticed.
	Pauses PauseObserver
	Logger zerolog.Logger
}

// Handler returns the HTTP handler for all peer paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peerapi.PathSync, s.handleSync)
	mux.HandleFunc("POST "+peerapi.PathEvidence, s.handleEvidence)
	mux.HandleFunc("POST "+peerapi.PathReport, s.handleReport)
	mux.HandleFunc("POST "+peerapi.PathGrant, s.handleGrant)
	return mux
}

func (s *Server) handleSync(w http.ResponseWriter, r *http.Request) {
	var m peerapi.SyncRequest
	if !s.decodeMessage(w, r, &m) || !s.checkSender(w, m.From) {
		return
	}
	if s.Pauses != nil {
		s.Pauses.Observe()
	}
	now := time.Now()
	s.RosterCommands.RecordContact(now, m.From.Announcement())
	digest := s.Roster.ContactsDigest(now)
	response := peerapi.SyncResponse{
		From: peerapi.HostMessage(s.Roster.Self()), Topics: map[table.Topic]peerapi.Batch{}, HostListDigest: digest,
	}
	for topic, next := range m.Cursors {
		if b := s.Replicas.Delta(topic, m.Eras[topic], next); !b.AsOf.IsZero() {
			response.Topics[topic] = peerapi.BatchMessage(b, now)
		}
	}
	if digest != m.HostListDigest {
		for _, h := range s.Roster.RecentContacts(now) {
			response.Hosts = append(response.Hosts, peerapi.HostMessage(h.Host, h.Ready))
		}
	}
	if err := writeSyncResponse(w, r, response); err != nil {
		s.Logger.Debug().Err(err).Str("peer", m.From.ID).Msg("cannot send state synchronization response to peer")
	}
}

// writeSyncResponse encodes a response and compresses it if it is large, because every node receives configurations
// with hundreds of routes.
func writeSyncResponse(w http.ResponseWriter, r *http.Request, response peerapi.SyncResponse) error {
	body, err := json.Marshal(response)
	if err != nil {
		return eris.Wrap(err, "encode response")
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, err = w.Write(body)
		return eris.Wrap(err, "send response")
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return eris.Wrap(err, "compress response")
	}
	if _, err := compressor.Write(body); err != nil {
		return eris.Wrap(err, "send response")
	}
	return eris.Wrap(compressor.Close(), "send response")
}

func (s *Server) handleEvidence(w http.ResponseWriter, r *http.Request) {
	var m peerapi.Evidence
	if !s.decodeMessage(w, r, &m) || !s.checkSender(w, m.From) {
		return
	}
	now := time.Now()
	s.RosterCommands.RecordContact(now, m.From.Announcement())
	s.Logger.Info().Str("peer", m.From.ID).Strs("failed", addresses(m.Failures)).Strs("recovered", addresses(m.Recovered)).
		Strs("leaving", addresses(m.Leaving)).Strs("overdue", addresses(m.Overdue)).
		Msg("received health evidence about backend servers from peer")
	for _, e := range m.Failures {
		s.Health.ObservePeerFailure(now, e.Key(), e.Instance, e.Age())
	}
	for _, e := range m.Overdue {
		s.Health.ObservePeerOverdue(now, e.Key(), e.Instance, e.Age())
	}
	for _, e := range m.Recovered {
		s.Health.ObservePeerRecovery(now, e.Key(), e.Instance, e.Age())
	}
	for _, e := range m.Leaving {
		s.Health.ObservePeerLeaving(now, e.Service, e.Run())
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	var m peerapi.Report
	if !s.decodeMessage(w, r, &m) || !s.checkSender(w, m.From) {
		return
	}
	now := time.Now()
	s.RosterCommands.RecordContact(now, m.From.Announcement())
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Reports.ObserveReport(now, m)); err != nil {
		s.Logger.Debug().Err(err).Str("peer", m.From.ID).Msg("cannot answer report of peer; the next report supersedes the answer")
	}
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var m peerapi.GrantRequest
	if !s.decodeMessage(w, r, &m) || !s.checkSender(w, m.From) {
		return
	}
	now := time.Now()
	s.RosterCommands.RecordContact(now, m.From.Announcement())
	v := s.Granter.Grant(now, m.Customer)
	w.Header().Set("Content-Type", "application/json")
	response := peerapi.GrantResponse{Accepted: v.Accepted, Undecided: v.Undecided, RetryAfterMs: v.RetryAfter.Milliseconds()}
	if err := json.NewEncoder(w).Encode(response); err != nil {
		s.Logger.Debug().Err(err).Str("peer", m.From.ID).Msg("cannot answer peer's request for a grant; the request stays charged")
	}
}

func addresses(list []peerapi.ServerEvidence) []string {
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = e.Address
	}
	return out
}

func (s *Server) checkSender(w http.ResponseWriter, h peerapi.Host) bool {
	err := h.Check()
	if err != nil {
		s.Logger.Warn().Err(err).Msg("rejecting peer request: its sender is invalid")
		w.WriteHeader(http.StatusBadRequest)
	}
	return err == nil
}

func (s *Server) decodeMessage(w http.ResponseWriter, r *http.Request, m any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(m)
	if err != nil {
		s.Logger.Warn().Err(err).Str("path", r.URL.Path).Msg("rejecting peer request: cannot decode its body")
		w.WriteHeader(http.StatusBadRequest)
	}
	return err == nil
}
