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

// ServeHTTP serves the stand-in's own endpoints /faults, /runs, /counts, /health and /load, and everything else as work.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /faults":
		s.postFaults(w, r)
	case "GET /faults":
		writeJSON(w, s.Faults())
	case "GET /runs":
		writeJSON(w, s.Runs())
	case "GET /counts":
		writeJSON(w, s.Counts())
	case "GET /health":
		s.health(w, r)
	case "GET /load":
		writeJSON(w, s.load())
	default:
		s.work(w, r)
	}
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
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

// health does not take a slot, which is why it stays fine while real work stalls.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) { v.counts.Probes++ })
	if !wait(r.Context(), s.settings.ProbeTime) {
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

func (s *Server) load() Load {
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
