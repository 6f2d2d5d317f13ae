package relay

import (
	"encoding/json"
	"net/http"
)

// Control sets the faults of several relays over HTTP. GET /relays lists the relays. POST /relays/{name} replaces the
// faults of a relay and returns 404 for an unknown name and 400 for an unknown fault.
type Control struct {
	Relays map[string]*Relay
}

// Status is the state of one relay in the response of GET /relays.
type Status struct {
	Target string `json:"target"`
	Faults Faults `json:"faults"`
}

// ServeHTTP serves the control interface.
func (c Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /relays", c.list)
	mux.HandleFunc("POST /relays/{name}", c.set)
	mux.ServeHTTP(w, r)
}

func (c Control) list(w http.ResponseWriter, _ *http.Request) {
	all := map[string]Status{}
	for name, r := range c.Relays {
		all[name] = Status{Target: r.Target, Faults: r.Faults()}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(all); err != nil {
		return
	}
}

func (c Control) set(w http.ResponseWriter, r *http.Request) {
	selected, known := c.Relays[r.PathValue("name")]
	if !known {
		http.NotFound(w, r)
		return
	}
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	selected.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
