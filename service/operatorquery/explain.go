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

// Explain serves GET /operator/explain for the route that the method and the path of a request match.
type Explain struct {
	Configuration Configuration
	Dispatch      Dispatch
}

// Register adds the query to the mux.
func (e *Explain) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /operator/explain", e.explain)
}

func (e *Explain) explain(w http.ResponseWriter, r *http.Request) {
	route, found := e.route(r)
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	x, err := e.Dispatch.Explain(time.Now(), route.Name)
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	response := api.Explanation{
		Route: x.Route, Service: x.Service, Rank: x.Rank, Sentences: x.Sentences, Servers: []api.ServerExplanation{},
	}
	for _, s := range x.Servers {
		response.Servers = append(response.Servers, api.ServerExplanation(s))
	}
	write(w, response)
}

func (e *Explain) route(r *http.Request) (fleet.Route, bool) {
	c := e.Configuration.Current()
	if c == nil {
		return fleet.Route{}, false
	}
	q := r.URL.Query()
	return configquery.Match(c, q.Get("method"), q.Get("path"))
}
