package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

const (
	pathEntries = "/entries"
	// entriesTimeout bounds the forward of a request for entries. After it the node responds by its own view.
	entriesTimeout = 500 * time.Millisecond
)

// serveEntries responds with the nodes that the caller should use for a service. A node outside the group asks a member,
// which knows from heartbeats who is leaving and which key prefixes are current.
func (h *Handler) serveEntries(w http.ResponseWriter, r *http.Request, q request) {
	service := r.URL.Query().Get("service")
	q, err := h.resolveEntries(r, q, service)
	if err != nil {
		h.finish(w, q, table.Result{Outcome: fleet.NotRun, Err: err})
		return
	}
	if !q.Forwarded && !h.Groups.Serves(service) {
		ctx, cancel := context.WithTimeout(r.Context(), entriesTimeout)
		defer cancel()
		q.Route.Idempotent = true
		q.Timeout = entriesTimeout
		if result := h.forward(ctx, w, r, q, h.Groups.Targets(service, q.Arrived)); result.Response {
			h.finish(w, q, result)
			return
		}
	}
	h.writeEntries(w, q, service, r.URL.Query().Get("availability-zone"))
}

func (h *Handler) resolveEntries(r *http.Request, q request, service string) (request, error) {
	q, c, err := h.authenticate(r, q)
	if err != nil {
		return q, err
	}
	if _, known := c.Services[service]; !known {
		return q, ServiceError{Service: service}
	}
	if !slices.Contains(q.Tenant.Services, service) {
		return q, ForbiddenError{Tenant: q.Tenant.Name, Service: service}
	}
	q.Route.Service = service
	return q, nil
}

func (h *Handler) writeEntries(w http.ResponseWriter, q request, service, availabilityZone string) {
	m := api.Entries{TimeToLiveMs: h.EntryTTL.Milliseconds(), Entries: []api.Entry{}}
	for _, e := range h.Groups.Entries(service, availabilityZone, q.Arrived) {
		m.Entries = append(m.Entries, api.Entry{
			HostID: e.Host.ID, AvailabilityZone: e.Host.AvailabilityZone, Address: e.Host.CallerAddress, KeyPrefix: e.KeyPrefix,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderOutcome, string(fleet.Answered))
	w.Header().Set(api.HeaderRequestID, q.ID)
	_ = json.NewEncoder(w).Encode(m)
}
