package backendservice

import (
	"encoding/json"
	"net/http"

	"egretline.example/egretline/pkg/guard"
)

// Load is the response of the load endpoint.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// ServeHTTP serves the control endpoints /faults, /runs, /counts, /health and /load, and any other path as a request that
// needs a slot.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /faults":
		s.handlePostFaults(w, r)
	case "GET /faults":
		writeJSON(w, s.Faults())
	case "GET /runs":
		writeJSON(w, s.Runs())
	case "GET /counts":
		writeJSON(w, s.Counts())
	case "GET /health":
		s.handleHealth(w, r)
	case "GET /load":
		writeJSON(w, s.currentLoad())
	default:
		s.handleWork(w, r)
	}
}

func (s *Server) handlePostFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// handleHealth needs no slot, so health checks succeed even while all slots hold stalled requests.
func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) { v.counts.Probes++ })
	if !sleep(r.Context(), s.settings.ProbeTime) {
		return
	}
	f := s.Faults()
	if f.Leaving || f.Draining {
		w.Header().Set(headerLeaving, "true")
	}
	if f.HealthDown {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) currentLoad() Load {
	l := Load{Slots: s.settings.Slots}
	s.state.Read(guard.Held{}, func(_ guard.Held, v *state) {
		l.Running = v.running
		l.Waiting = v.waiting
	})
	return l
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return
	}
}
