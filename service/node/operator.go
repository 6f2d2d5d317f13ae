package node

import (
	"net/http"
	"net/http/pprof"

	"egretline.example/egretline/pkg/dispatchquery"
	"egretline.example/egretline/pkg/trafficquery"
	"egretline.example/egretline/service/operatorcmd"
	"egretline.example/egretline/service/operatorquery"
)

func (n *Node) operatorMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReadiness)
	mux.Handle("POST /operator/drain", &operatorcmd.Drain{Node: n})
	state := &operatorquery.State{Configuration: n.Config, Members: n.Members, Health: n.healthQueries}
	state.Register(mux)
	(&operatorquery.Explain{Configuration: n.Config, Dispatch: &dispatchquery.Queries{Tables: n.Tables}}).Register(mux)
	(&operatorquery.Config{Source: n.Config}).Register(mux)
	(&operatorcmd.Apply{Applier: n.follower}).Register(mux)
	mux.Handle("GET /metrics", &operatorquery.Metrics{Traffic: &trafficquery.Queries{Traffic: n.Tables.Traffic}})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// serveReadiness responds with 200 if callers should be sent to this node: it has a configuration, is not leaving and is
// not isolated from the backend servers. Otherwise it responds with 503.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	self, _ := n.Members.Self()
	if n.Config.Current() == nil || self.Leaving || n.healthQueries.Isolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
