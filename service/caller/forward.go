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

// Groups reads the service groups.
type Groups interface {
	// Serves says whether this node is in the group of the service.
	Serves(service string) bool
	// Targets returns the members of the group to which a request can be forwarded.
	Targets(service string, now time.Time) []fleet.Host
	// Entries returns the nodes that callers in the availability zone should use.
	Entries(service, availabilityZone string, now time.Time) []memberquery.Entry
}

// Forwarder sends requests to other nodes.
type Forwarder interface {
	Forward(h peer.Hop) table.Result
}

func (h *Handler) forward(
	ctx context.Context, w http.ResponseWriter, r *http.Request, q request, targets []fleet.Host,
) table.Result {
	return h.Forwarder.Forward(peer.Hop{
		Context: ctx, Writer: w, Request: r, Targets: targets, RequestID: q.ID, Tenant: q.Tenant.Name,
		Idempotent: q.Route.Idempotent, Keyed: !q.Route.Idempotent && hasKey(r.Header), Deadline: q.Arrived.Add(q.Timeout),
	})
}
