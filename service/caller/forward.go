package caller

import (
	"context"
	"net/http"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/memberquery"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/peer"
)

// Groups reads the service groups: the nodes that serve each service.
type Groups interface {
	// Serves reports whether this node is a member of the group of the service.
	Serves(service string) bool
	// Targets returns the members of the group to which a request can be forwarded, in order of preference.
	Targets(service string, now time.Time) []fleet.Host
	// Entries returns the nodes to which callers in the availability zone should send requests, in order of preference.
	Entries(service, availabilityZone string, now time.Time) []memberquery.Entry
}

// Forwarder sends requests to other nodes.
type Forwarder interface {
	Forward(h peer.ForwardRequest) table.Result
}

func (h *Handler) forward(
	ctx context.Context, w http.ResponseWriter, r *http.Request, req request, targets []fleet.Host,
) table.Result {
	return h.Forwarder.Forward(peer.ForwardRequest{
		Context: ctx, Writer: w, Request: r, Targets: targets, RequestID: req.ID, Tenant: req.Tenant.Name,
		Idempotent: req.Route.Idempotent, HasKey: !req.Route.Idempotent && hasKey(r.Header),
		Deadline: req.Arrived.Add(req.Timeout),
	})
}
