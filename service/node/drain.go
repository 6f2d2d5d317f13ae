package node

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// RequestDrain starts the graceful shutdown and does not wait for its end.
func (n *Node) RequestDrain() {
	n.drainOnce.Do(func() { close(n.drainRequest) })
}

// drain announces that the node is leaving, serves on for the grace period, and then waits for the requests in flight.
func (n *Node) drain() error {
	n.members.SetLeaving()
	n.sendHeartbeats(context.Background(), time.Now())
	n.Log.Info().Dur("grace-ms", n.Settings.DrainGrace.Duration).Msg("node is leaving")
	grace := time.NewTimer(n.Settings.DrainGrace.Duration)
	defer grace.Stop()
	select {
	case <-grace.C:
	case err := <-n.failed:
		return err
	}
	for _, s := range n.servers {
		if err := s.HTTP.Shutdown(context.Background()); err != nil {
			return eris.Wrapf(err, "shut down %s listener", s.Name)
		}
	}
	n.Log.Info().Msg("node has drained")
	return nil
}

// closing asks for a new connection after each response while the node is leaving. A connection that is reused until the
// listener closes could break under a request.
func (n *Node) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if self, _ := n.Members.Self(); self.Leaving {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
