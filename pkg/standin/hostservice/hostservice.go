// Package hostservice simulates the platform's host list for demonstrations and tests. Changes can become visible with a
// delay, as those of the real list do.
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

// lockRank is the rank of the only lock in the lock order.
const lockRank guard.Rank = 1

// Service is a simulated host list. It implements http.Handler.
type Service struct {
	state *guard.Guard[state]
	mux   *http.ServeMux
}

type state struct {
	// lag is the time after which a change becomes visible.
	lag time.Duration
	// versions holds the visible version, then the later ones in the order of their changes.
	versions []version
}

type version struct {
	number      int
	visibleFrom time.Time
	list        api.HostList
}

// New returns a host list with the given contents. Changes to it become visible at once until SetLag is called.
func New(initial api.HostList) *Service {
	s := &Service{
		state: guard.New(lockRank, state{versions: []version{{number: 1, list: initial}}}),
		mux:   http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /hosts", s.handleGet)
	s.mux.HandleFunc("PUT /hosts/{id}", s.handlePut)
	s.mux.HandleFunc("DELETE /hosts/{id}", s.handleDelete)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetLag sets the time after which later changes become visible in GET /hosts.
func (s *Service) SetLag(d time.Duration) {
	s.state.Write(guard.Held{}, func(_ guard.Held, st *state) { st.lag = d })
}

// Put adds or replaces a host.
func (s *Service) Put(h api.Host) {
	s.addVersion(func(l *api.HostList) {
		l.Hosts = append(withoutHost(l.Hosts, h.ID), h)
	})
}

// Delete removes a host.
func (s *Service) Delete(id string) {
	s.addVersion(func(l *api.HostList) {
		l.Hosts = withoutHost(l.Hosts, id)
	})
}

// SetBackendServersLeaving replaces the addresses of the backend servers that are leaving.
func (s *Service) SetBackendServersLeaving(addresses []string) {
	s.addVersion(func(l *api.HostList) {
		l.BackendServersLeaving = slices.Clone(addresses)
	})
}

// addVersion applies fn to a copy of the latest list and adds the result as a new version.
func (s *Service) addVersion(fn func(*api.HostList)) {
	s.state.Write(guard.Held{}, func(_ guard.Held, st *state) {
		latest := st.versions[len(st.versions)-1]
		next := version{number: latest.number + 1, visibleFrom: time.Now().Add(st.lag), list: latest.list}
		fn(&next.list)
		st.versions = append(st.versions, next)
	})
}

func withoutHost(hosts []api.Host, id string) []api.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h api.Host) bool { return h.ID == id })
}

// currentVersion returns the newest visible version and drops the older ones.
func (s *Service) currentVersion() version {
	var v version
	s.state.Write(guard.Held{}, func(_ guard.Held, st *state) {
		now := time.Now()
		for len(st.versions) > 1 && !st.versions[1].visibleFrom.After(now) {
			st.versions = st.versions[1:]
		}
		v = st.versions[0]
	})
	return v
}

func (s *Service) handleGet(w http.ResponseWriter, r *http.Request) {
	v := s.currentVersion()
	etag := fmt.Sprintf(`"%d"`, v.number)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v.list)
}

func (s *Service) handlePut(w http.ResponseWriter, r *http.Request) {
	var h api.Host
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		http.Error(w, "the body is not a host: "+err.Error(), http.StatusBadRequest)
		return
	}
	h.ID = r.PathValue("id")
	s.Put(h)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.Delete(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
