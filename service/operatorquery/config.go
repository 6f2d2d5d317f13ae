package operatorquery

import (
	"maps"
	"net/http"
	"slices"

	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

// ConfigSource reads the configuration in force and the folded state, which includes the files and apply decisions.
type ConfigSource interface {
	Current() *fleet.Configuration
	Folded() fold.State
}

// Config serves queries about the configuration.
type Config struct {
	Source ConfigSource
}

// Register adds the handlers to the mux.
func (c *Config) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /operator/config", c.config)
	mux.HandleFunc("GET /operator/apply/{id}", c.apply)
}

// config responds with all files without their contents, or with one file and its contents if the query names it.
func (c *Config) config(w http.ResponseWriter, r *http.Request) {
	s := c.Source.Folded()
	response := api.Config{Revision: s.Revision, Next: s.Next, Files: []api.ConfigFile{}, Problems: []api.Problem{}}
	if current := c.Source.Current(); current != nil {
		response.Configured = true
		for _, p := range current.Problems {
			response.Problems = append(response.Problems, api.Problem(p))
		}
	}
	requested := r.URL.Query().Get("file")
	for _, name := range slices.Sorted(maps.Keys(s.Files)) {
		f := s.Files[name]
		file := api.ConfigFile{Name: name, Revision: f.Revision, Bytes: len(f.Contents)}
		if name == requested {
			file.Contents = f.Contents
		}
		if requested == "" || name == requested {
			response.Files = append(response.Files, file)
		}
	}
	writeJSON(w, response)
}

// apply responds with the verdict on an apply ID, or with status 404 if the node has none. After a 404 the apply may
// still be accepted.
func (c *Config) apply(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	d, decided := c.Source.Folded().Decisions[id]
	if !decided {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		writeJSON(w, api.ApplyReply{Outcome: api.ApplyUnknown, ApplyID: id, Reason: "this node knows no verdict on the apply ID"})
		return
	}
	writeJSON(w, api.ApplyReply{
		Outcome: string(d.Verdict), ApplyID: id, File: d.File, Base: d.Base, Revision: d.Revision, Reason: fold.Reason(d),
	})
}
