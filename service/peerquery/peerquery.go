// Package peerquery serves those messages of other nodes that only read state.
package peerquery

import (
	"net/http"

	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
)

// Config reads the folded configuration of this node.
type Config interface {
	Folded() fold.State
}

// Handler serves GET /peer/config.
type Handler struct {
	Config Config
}

// ServeHTTP responds with the folded configuration, or with 404 if this node has none.
func (h *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s := h.Config.Folded()
	if s.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(configrecord.EncodeState(s))
}
