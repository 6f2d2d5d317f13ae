package operatorquery

import (
	"maps"
	"net/http"
	"slices"

	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

// Folded reads the configuration with its files and decisions.
type Folded interface {
	Current() *fleet.Configuration
	Folded() fold.State
}

// Config serves the queries for the configuration.
type Config struct {
	Folded Folded
}

// Register adds the queries to the mux.
func (c *Config) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /operator/config", c.config)
	mux.HandleFunc("GET /operator/apply/{id}", c.apply)
}

// config responds with all files without contents, or with one file and its contents.
func (c *Config) config(w http.ResponseWriter, r *http.Request) {
	s := c.Folded.Folded()
	response := api.Config{Revision: s.Revision, Next: s.Next, Files: []api.ConfigFile{}, Problems: []api.Problem{}}
	if current := c.Folded.Current(); current != nil {
		response.Configured = true
		for _, p := range current.Problems {
			response.Problems = append(response.Problems, api.Problem(p))
		}
	}
	wanted := r.URL.Query().Get("file")
	for _, name := range slices.Sorted(maps.Keys(s.Files)) {
		f := s.Files[name]
		file := api.ConfigFile{Name: name, Revision: f.Revision, Bytes: len(f.Contents)}
		if name == wanted {
			file.Contents = f.Contents
		}
		if wanted == "" || name == wanted {
			response.Files = append(response.Files, file)
		}
	}
	write(w, response)
}

// apply responds with the verdict on an apply ID, and with status 404 if the node knows none. The apply may still be
// accepted later.
func (c *Config) apply(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	d, decided := c.Folded.Folded().Decisions[id]
	if !decided {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		write(w, api.ApplyReply{Outcome: api.ApplyUnknown, ApplyID: id, Reason: "this node knows no verdict on the apply ID"})
		return
	}
	write(w, api.ApplyReply{
		Outcome: string(d.Verdict), ApplyID: id, File: d.File, Base: d.Base, Revision: d.Revision, Reason: fold.Reason(d),
	})
}
