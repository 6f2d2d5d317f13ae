package operatorcmd

import (
	"net/http"
)

// Drainer shuts this node down gracefully.
type Drainer interface {
	// RequestDrain starts the shutdown and returns without waiting for it. Further calls have no effect.
	RequestDrain()
}

// Drain serves POST /operator/drain.
type Drain struct {
	Node Drainer
}

// ServeHTTP starts the drain and responds with 202.
func (d *Drain) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	d.Node.RequestDrain()
	w.WriteHeader(http.StatusAccepted)
}
