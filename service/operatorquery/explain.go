package operatorquery

import (
	"net/http"
	"time"

	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/dispatchquery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

// Dispatch explains how a request would be dispatched.
type Dispatch interface {
	Explain(now time.Time, route string) (dispatchquery.Explanation, error)
}

// Explain serves GET /operator/explain. The query names the method and path of a request, which select the route.
type Explain struct {
	Configuration ActiveConfig
	Dispatch      Dispatch
}

// Register adds the handler to the mux.
func (e *Explain) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /operator/explain", e.explain)
}

func (e *Explain) explain(w http.ResponseWriter, r *http.Request) {
	route, found := e.route(r)
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	explanation, err := e.Dispatch.Explain(time.Now(), route.Name)
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	response := api.Explanation{
		Route: explanation.Route, Service: explanation.Service, Rank: explanation.Rank, Sentences: explanation.Sentences,
		Servers: []api.ServerExplanation{},
	}
	for _, s := range explanation.Servers {
		response.Servers = append(response.Servers, api.ServerExplanation(s))
	}
	writeJSON(w, response)
}

func (e *Explain) route(r *http.Request) (fleet.Route, bool) {
	c := e.Configuration.Current()
	if c == nil {
		return fleet.Route{}, false
	}
	q := r.URL.Query()
	return configquery.Match(c, q.Get("method"), q.Get("path"))
}
