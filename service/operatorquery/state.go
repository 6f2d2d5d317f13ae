// Package operatorquery serves the operator queries, which do not change state.
package operatorquery

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/service/api"
)

// ActiveConfig reads the configuration in force.
type ActiveConfig interface {
	Current() *fleet.Configuration
}

// Members reads the membership state of this node.
type Members interface {
	Self() (fleet.Host, string)
	Peers() []member.HostState
	Live(now time.Time) []fleet.Host
	Group(service string) []fleet.Host
}

// Health reads the state of backend servers.
type Health interface {
	Servers(now time.Time) []healthquery.ServerState
}

// State serves queries about services, backend servers and peers, as this node sees them.
type State struct {
	Configuration ActiveConfig
	Members       Members
	Health        Health
}

// Register adds the handlers to the mux.
func (s *State) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /operator/services", s.services)
	mux.HandleFunc("GET /operator/backend-servers", s.backendServers)
	mux.HandleFunc("GET /operator/peers", s.peers)
}

func (s *State) services(w http.ResponseWriter, _ *http.Request) {
	response := api.Services{Services: []api.Service{}}
	inUse := map[string]int{}
	for _, b := range s.Health.Servers(time.Now()) {
		if b.Use == healthquery.InUse {
			inUse[b.Service]++
		}
	}
	if c := s.Configuration.Current(); c != nil {
		for _, service := range c.Services {
			response.Services = append(response.Services, s.newService(service, inUse[service.Name]))
		}
	}
	slices.SortFunc(response.Services, func(a, b api.Service) int { return cmp.Compare(a.Name, b.Name) })
	writeJSON(w, response)
}

func (s *State) newService(f fleet.Service, inUse int) api.Service {
	service := api.Service{
		Name: f.Name, Region: f.Region, Floor: f.Floor, Preference: string(f.Preference),
		BackendServers: len(f.BackendServers), InUse: inUse, Group: []string{},
	}
	for _, h := range s.Members.Group(f.Name) {
		service.Group = append(service.Group, h.ID)
	}
	return service
}

func (s *State) backendServers(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	response := api.BackendServers{BackendServers: []api.BackendServer{}}
	for _, b := range s.Health.Servers(time.Now()) {
		if service != "" && service != b.Service {
			continue
		}
		response.BackendServers = append(response.BackendServers, api.BackendServer{
			Service: b.Service, Address: b.Address, AvailabilityZone: b.AvailabilityZone,
			Use: b.Use, KnownHealthy: b.KnownHealthy, Outstanding: b.Outstanding, Reason: b.Reason,
		})
	}
	writeJSON(w, response)
}

func (s *State) peers(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	live := map[string]bool{}
	for _, h := range s.Members.Live(now) {
		live[h.ID] = true
	}
	self, incarnation := s.Members.Self()
	response := api.Peers{HostID: self.ID, Incarnation: incarnation, Peers: []api.Peer{}}
	for _, p := range s.Members.Peers() {
		response.Peers = append(response.Peers, api.Peer{
			HostID: p.Host.ID, AvailabilityZone: p.Host.AvailabilityZone, PeerAddress: p.Host.PeerAddress,
			Live: live[p.Host.ID], Leaving: p.Host.Leaving, Listed: p.Listed, Revision: p.Revision,
			SilentMs: sinceHeartbeatMs(p.LastHeartbeat, now), Failures: p.Failures,
		})
	}
	writeJSON(w, response)
}

// sinceHeartbeatMs returns the milliseconds since the last heartbeat, or -1 if there was none.
func sinceHeartbeatMs(lastHeartbeat, now time.Time) int64 {
	if lastHeartbeat.IsZero() {
		return -1
	}
	return now.Sub(lastHeartbeat).Milliseconds()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
