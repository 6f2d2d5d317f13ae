// Package peercmd serves the messages of other nodes that change state.
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

// maxHeartbeatBytes bounds the memory of a heartbeat. One with 32 suspicions takes about 5 KB.
const maxHeartbeatBytes = 256 << 10

// Members records what other nodes say about themselves.
type Members interface {
	HearHeartbeat(b member.Heartbeat, now time.Time) member.Verdict
}

// Reports records what other nodes found about backend servers.
type Reports interface {
	// AdoptReport replaces the earlier report of the host.
	AdoptReport(r Report, now time.Time)
}

// Report is what a node found about backend servers.
type Report struct {
	Host       fleet.Host
	Suspicions []api.Suspicion
	Leaving    []api.ServerKey
}

// Handler serves POST /peer/heartbeat.
type Handler struct {
	Members Members
	Reports Reports
	Log     zerolog.Logger
}

// ServeHTTP adopts the heartbeat. It responds with 409 to one of an earlier incarnation, which changes nothing.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b api.Heartbeat
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes)).Decode(&b); err != nil {
		h.Log.Warn().Err(err).Str("from", r.RemoteAddr).Msg("heartbeat refused: invalid JSON")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if b.Host.ID == "" || b.Incarnation == "" {
		h.Log.Warn().Str("from", r.RemoteAddr).Msg("heartbeat refused: host or incarnation is missing")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	host := fleet.Host(b.Host)
	verdict := h.Members.HearHeartbeat(member.Heartbeat{
		Host: host, Incarnation: b.Incarnation, Epoch: b.Epoch, Revision: b.Revision,
	}, now)
	if verdict != member.Adopted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	h.Reports.AdoptReport(Report{Host: host, Suspicions: b.Suspicions, Leaving: b.BackendServersLeaving}, now)
	w.WriteHeader(http.StatusNoContent)
}
