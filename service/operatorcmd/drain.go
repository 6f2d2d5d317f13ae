package operatorcmd

import (
	"net/http"
)

// Drainer starts the graceful shutdown of this node.
type Drainer interface {
	// RequestDrain starts it once and does not wait for its end.
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
