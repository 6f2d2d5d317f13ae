package caller

import (
	"context"
	"net/http"
	"time"

	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

// KeyOwners finds the owner of an idempotency key: the node incarnation that the key names.
type KeyOwners interface {
	// Locate returns where the owner of the key is, and its host if it is another one.
	Locate(k once.Key) (once.OwnerLocation, fleet.Host)
	// KeyPrefix returns a current prefix for keys that this node owns.
	KeyPrefix(now time.Time) string
}

// KeyClaims holds the claims of requests on the idempotency keys that this node owns.
type KeyClaims interface {
	// Claim decides whether a request with the key runs, waits for an earlier one, or is answered without running. With
	// the verdict Wait, the channel is closed when the earlier request has finished. The string request is the method and
	// URI, which a repeated request must have in common with the first one.
	Claim(id once.TenantKey, key once.Key, request string, now time.Time) (once.Decision, <-chan struct{})
	// Finish ends a claim with the outcome of the request and the response to replay; nil if there is none.
	Finish(id once.TenantKey, outcome fleet.Outcome, r *once.Response)
}

func hasKey(h http.Header) bool {
	return len(h.Values(api.HeaderIdempotencyKey)) > 0
}

// parseKey reads the key of a request. It rejects several keys, because two nodes could choose different ones.
func parseKey(h http.Header) (once.Key, error) {
	values := h.Values(api.HeaderIdempotencyKey)
	if len(values) != 1 {
		return once.Key{}, once.FormatError{Reason: "there must be exactly one"}
	}
	return once.Parse(values[0])
}

// refusalOutcome returns the outcome of a request that is refused before the owner of its key, if it has one, received
// it.
func refusalOutcome(h http.Header) fleet.Outcome {
	_, err := parseKey(h)
	return once.RefusalOutcome(err == nil)
}

// runKeyed runs a request with an idempotency key if this node owns the key, and forwards it to the owner otherwise.
func (h *Handler) runKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, req request) table.Result {
	key, err := parseKey(r.Header)
	if err != nil {
		w.Header().Set(api.HeaderKeyPrefix, h.KeyOwners.KeyPrefix(req.Arrived))
		return table.Result{Outcome: fleet.NotRun, Err: KeyError{Status: http.StatusBadRequest, Reason: err.Error()}}
	}
	location, owner := h.KeyOwners.Locate(key)
	switch {
	case location == once.OwnerLocal:
		return h.runAsOwner(ctx, w, r, req, key)
	case location == once.OwnerRemote && !req.Forwarded:
		return h.forward(ctx, w, r, req, []fleet.Host{owner})
	default:
		return table.Result{Outcome: fleet.Unknown, Err: KeyError{
			Status: http.StatusGatewayTimeout,
			Reason: "the node that the key names has ended; whether the request was run is not known",
		}}
	}
}

// runAsOwner runs the first request with the key. Requests with the same key wait until it has finished.
func (h *Handler) runAsOwner(
	ctx context.Context, w http.ResponseWriter, r *http.Request, req request, key once.Key,
) table.Result {
	id := once.TenantKey{Tenant: req.Tenant.Name, Key: key.String()}
	methodAndURI := r.Method + " " + r.URL.RequestURI()
	for {
		decision, finished := h.Keys.Claim(id, key, methodAndURI, time.Now())
		switch decision.Verdict {
		case once.Run:
			return h.runOnce(w, r, req, id)
		case once.Wait:
		default:
			return h.answerWithoutRunning(w, req, decision)
		}
		select {
		case <-finished:
		case <-ctx.Done():
			return table.Result{Outcome: fleet.Unknown, Err: KeyError{
				Status: http.StatusGatewayTimeout, Reason: "the request with this key is still running",
			}}
		}
	}
}

// runOnce runs the request to its end even if its caller disconnects. The caller can then repeat the request and get
// the recorded response.
func (h *Handler) runOnce(w http.ResponseWriter, r *http.Request, req request, id once.TenantKey) table.Result {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.Arrived.Add(req.Timeout))
	defer cancel()
	recorder := &responseRecorder{ResponseWriter: w, maxBodyBytes: once.DefaultLimits().MaxResponseBytes}
	result := table.Result{Outcome: fleet.Unknown}
	// Deferred because a panic while the request runs would otherwise leave its key claimed forever.
	defer func() { h.Keys.Finish(id, result.Outcome, recorder.recorded(result)) }()
	result = h.dispatch(ctx, recorder, r, req)
	return result
}

// answerWithoutRunning answers a request that its key keeps from running: with the recorded response of an earlier
// request, or with a refusal that states what is known of the outcome.
func (h *Handler) answerWithoutRunning(w http.ResponseWriter, req request, d once.Decision) table.Result {
	e := KeyError{Status: http.StatusConflict, Reason: d.Reason}
	switch d.Verdict {
	case once.Replay:
		return replayResponse(w, req, d.Response)
	case once.NotReplayable:
		return table.Result{Outcome: fleet.Answered, Err: e}
	case once.Refuse:
		w.Header().Set(api.HeaderKeyPrefix, h.KeyOwners.KeyPrefix(req.Arrived))
		return table.Result{Outcome: fleet.NotRun, Err: e}
	default:
		e.Status = http.StatusGatewayTimeout
		return table.Result{Outcome: fleet.Unknown, Err: e}
	}
}

// replayResponse writes the recorded response of an earlier request with the same key.
func replayResponse(w http.ResponseWriter, req request, recorded *once.Response) table.Result {
	for name, values := range recorded.Header {
		w.Header()[name] = values
	}
	w.Header().Set(api.HeaderOutcome, string(fleet.Answered))
	w.Header().Set(api.HeaderRequestID, req.ID)
	w.WriteHeader(recorded.Status)
	_, err := w.Write(recorded.Body)
	return table.Result{Outcome: fleet.Answered, Response: true, Status: recorded.Status, Aborted: err != nil, Err: err}
}
