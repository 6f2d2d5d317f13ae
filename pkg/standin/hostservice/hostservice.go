// Package hostservice is a stand-in of the platform's host list for demonstrations and tests. Changes can be made to
// show up late, because the real list lags.
package hostservice

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/service/api"
)

const rankState guard.Rank = 1

// Service is an http.Handler with the routes of the host list.
type Service struct {
	state *guard.Guard[state]
	mux   *http.ServeMux
}

type state struct {
	lag time.Duration
	// versions is in the order of the changes; the first is visible.
	versions []version
}

type version struct {
	number  int
	visible time.Time
	list    api.HostList
}

// New returns a host list with the given contents and no lag.
func New(initial api.HostList) *Service {
	s := &Service{
		state: guard.New(rankState, state{versions: []version{{number: 1, list: initial}}}),
		mux:   http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /hosts", s.get)
	s.mux.HandleFunc("PUT /hosts/{id}", s.put)
	s.mux.HandleFunc("DELETE /hosts/{id}", s.remove)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetLag sets how long later changes take to show up in GET /hosts.
func (s *Service) SetLag(d time.Duration) {
	s.state.Write(guard.Held{}, func(_ guard.Held, st *state) { st.lag = d })
}

// Put adds or replaces a host.
func (s *Service) Put(h api.Host) {
	s.change(func(l *api.HostList) {
		l.Hosts = append(withoutHost(l.Hosts, h.ID), h)
	})
}

// Delete removes a host.
func (s *Service) Delete(id string) {
	s.change(func(l *api.HostList) {
		l.Hosts = withoutHost(l.Hosts, id)
	})
}

// SetBackendServersLeaving replaces the addresses of the backend servers that are leaving.
func (s *Service) SetBackendServersLeaving(addresses []string) {
	s.change(func(l *api.HostList) {
		l.BackendServersLeaving = slices.Clone(addresses)
	})
}

func (s *Service) change(fn func(*api.HostList)) {
	s.state.Write(guard.Held{}, func(_ guard.Held, st *state) {
		latest := st.versions[len(st.versions)-1]
		next := version{number: latest.number + 1, visible: time.Now().Add(st.lag), list: latest.list}
		fn(&next.list)
		st.versions = append(st.versions, next)
	})
}

func withoutHost(hosts []api.Host, id string) []api.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h api.Host) bool { return h.ID == id })
}

// visible returns the newest version that is visible now and forgets the older ones.
func (s *Service) visible() version {
	var v version
	s.state.Write(guard.Held{}, func(_ guard.Held, st *state) {
		now := time.Now()
		for len(st.versions) > 1 && !st.versions[1].visible.After(now) {
			st.versions = st.versions[1:]
		}
		v = st.versions[0]
	})
	return v
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	v := s.visible()
	etag := fmt.Sprintf(`"%d"`, v.number)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v.list)
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	var h api.Host
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		http.Error(w, "the body is not a host: "+err.Error(), http.StatusBadRequest)
		return
	}
	h.ID = r.PathValue("id")
	s.Put(h)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	s.Delete(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
