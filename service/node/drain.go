package node

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// RequestDrain starts a graceful shutdown and returns without waiting for it. Further calls have no effect.
func (n *Node) RequestDrain() {
	n.drainOnce.Do(func() { close(n.drainRequest) })
}

// drain announces that the node is leaving, continues to serve for the grace period, and then shuts the listeners down
// and waits for the requests in flight.
func (n *Node) drain() error {
	n.memberCommands.SetLeaving()
	n.sendHeartbeats(context.Background(), time.Now())
	n.Log.Info().Dur("grace-ms", n.Settings.DrainGrace.Duration).Msg("node is leaving")
	grace := time.NewTimer(n.Settings.DrainGrace.Duration)
	defer grace.Stop()
	select {
	case <-grace.C:
	case err := <-n.listenerErrors:
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

// closeConnectionsWhileLeaving sets "Connection: close" on responses while the node is leaving. A request on a reused
// connection could otherwise be cut off when the listener shuts down.
func (n *Node) closeConnectionsWhileLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if self, _ := n.Members.Self(); self.Leaving {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
