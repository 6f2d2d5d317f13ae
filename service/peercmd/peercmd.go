// Package peercmd serves those messages of other nodes that change state.
package peercmd

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

// maxHeartbeatBytes bounds the size of a heartbeat. One with 32 suspicions takes about 5 KB.
const maxHeartbeatBytes = 256 << 10

// Members records the membership information in heartbeats of other nodes.
type Members interface {
	RecordHeartbeat(b member.Heartbeat, now time.Time) member.Verdict
}

// ReportRecorder records the health evidence of other nodes about backend servers.
type ReportRecorder interface {
	// ReplaceReport replaces the earlier report of the host.
	ReplaceReport(r Report, now time.Time)
}

// Report is the health evidence of one node about backend servers.
type Report struct {
	Host       fleet.Host
	Suspicions []api.Suspicion
	Leaving    []api.ServerKey
}

// Handler serves POST /peer/heartbeat.
type Handler struct {
	Members Members
	Reports ReportRecorder
	Log     zerolog.Logger
}

// ServeHTTP records the heartbeat. It ignores a heartbeat of an earlier incarnation and responds to it with 409.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b api.Heartbeat
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes)).Decode(&b); err != nil {
		h.Log.Warn().Err(err).Str("from", r.RemoteAddr).Msg("rejecting heartbeat: invalid JSON")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if b.Host.ID == "" || b.Incarnation == "" {
		h.Log.Warn().Str("from", r.RemoteAddr).Msg("rejecting heartbeat: host ID or incarnation is missing")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	host := fleet.Host(b.Host)
	verdict := h.Members.RecordHeartbeat(member.Heartbeat{
		Host: host, Incarnation: b.Incarnation, Epoch: b.Epoch, Revision: b.Revision,
	}, now)
	if verdict != member.Adopted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	h.Reports.ReplaceReport(Report{Host: host, Suspicions: b.Suspicions, Leaving: b.BackendServersLeaving}, now)
	w.WriteHeader(http.StatusNoContent)
}
