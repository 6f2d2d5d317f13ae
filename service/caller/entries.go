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
	// entriesForwardTimeout bounds how long a member of the service group may take to answer a forwarded request for
	// entries. After that, this node answers from its own view of the group.
	entriesForwardTimeout = 500 * time.Millisecond
)

// serveEntries responds with the nodes that the caller should use for a service. A node outside the service group
// forwards the request to a member, because the heartbeats between members announce leaving nodes and current key
// prefixes.
func (h *Handler) serveEntries(w http.ResponseWriter, r *http.Request, req request) {
	service := r.URL.Query().Get("service")
	req, err := h.authorizeEntries(r, req, service)
	if err != nil {
		h.finish(w, req, table.Result{Outcome: fleet.NotRun, Err: err})
		return
	}
	if !req.Forwarded && !h.Groups.Serves(service) {
		ctx, cancel := context.WithTimeout(r.Context(), entriesForwardTimeout)
		defer cancel()
		req.Route.Idempotent = true
		req.Timeout = entriesForwardTimeout
		if result := h.forward(ctx, w, r, req, h.Groups.Targets(service, req.Arrived)); result.Response {
			h.finish(w, req, result)
			return
		}
	}
	h.writeEntries(w, req, service, r.URL.Query().Get("availability-zone"))
}

// authorizeEntries authenticates the tenant and checks that it may use the service.
func (h *Handler) authorizeEntries(r *http.Request, req request, service string) (request, error) {
	req, c, err := h.authenticate(r, req)
	if err != nil {
		return req, err
	}
	if _, known := c.Services[service]; !known {
		return req, UnknownServiceError{Service: service}
	}
	if !slices.Contains(req.Tenant.Services, service) {
		return req, ForbiddenError{Tenant: req.Tenant.Name, Service: service}
	}
	req.Route.Service = service
	return req, nil
}

func (h *Handler) writeEntries(w http.ResponseWriter, req request, service, availabilityZone string) {
	m := api.Entries{TimeToLiveMs: h.EntryTTL.Milliseconds(), Entries: []api.Entry{}}
	for _, e := range h.Groups.Entries(service, availabilityZone, req.Arrived) {
		m.Entries = append(m.Entries, api.Entry{
			HostID: e.Host.ID, AvailabilityZone: e.Host.AvailabilityZone, Address: e.Host.CallerAddress, KeyPrefix: e.KeyPrefix,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderOutcome, string(fleet.Answered))
	w.Header().Set(api.HeaderRequestID, req.ID)
	_ = json.NewEncoder(w).Encode(m)
}
