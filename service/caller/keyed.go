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

// Homes finds the homes of idempotency keys.
type Homes interface {
	Locate(k once.Key) (once.Place, fleet.Host)
	// KeyPrefix returns a prefix of keys whose home is this node.
	KeyPrefix(now time.Time) string
}

// Keys decides what becomes of requests with keys whose home is this node.
type Keys interface {
	Claim(id once.ID, key once.Key, request string, now time.Time) (once.Decision, <-chan struct{})
	Finish(id once.ID, outcome fleet.Outcome, r *once.Response)
}

func hasKey(h http.Header) bool {
	return len(h.Values(api.HeaderIdempotencyKey)) > 0
}

// parseKey reads the key of a request. Several keys are refused: nodes could choose different ones.
func parseKey(h http.Header) (once.Key, error) {
	values := h.Values(api.HeaderIdempotencyKey)
	if len(values) != 1 {
		return once.Key{}, once.FormatError{Reason: "there must be exactly one"}
	}
	return once.Parse(values[0])
}

// refusalOutcome is the outcome of a request that is refused before the home has seen its key, if it has one.
func refusalOutcome(h http.Header) fleet.Outcome {
	_, err := parseKey(h)
	return once.RefusalOutcome(err == nil)
}

// runKeyed has a request with an idempotency key run by the home of the key.
func (h *Handler) runKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, q request) table.Result {
	key, err := parseKey(r.Header)
	if err != nil {
		w.Header().Set(api.HeaderKeyPrefix, h.Homes.KeyPrefix(q.Arrived))
		return table.Result{Outcome: fleet.NotRun, Err: KeyError{Status: http.StatusBadRequest, Reason: err.Error()}}
	}
	place, home := h.Homes.Locate(key)
	switch {
	case place == once.Here:
		return h.runAtHome(ctx, w, r, q, key)
	case place == once.Elsewhere && !q.Forwarded:
		return h.forward(ctx, w, r, q, []fleet.Host{home})
	default:
		return table.Result{Outcome: fleet.Unknown, Err: KeyError{
			Status: http.StatusGatewayTimeout,
			Reason: "the node that the key names has ended; whether the request was run is not known",
		}}
	}
}

// runAtHome runs the first request with the key. Others wait for its result.
func (h *Handler) runAtHome(
	ctx context.Context, w http.ResponseWriter, r *http.Request, q request, key once.Key,
) table.Result {
	id := once.ID{Tenant: q.Tenant.Name, Key: key.String()}
	target := r.Method + " " + r.URL.RequestURI()
	for {
		decision, finished := h.Keys.Claim(id, key, target, time.Now())
		switch decision.Verdict {
		case once.Run:
			return h.runOnce(w, r, q, id)
		case once.Wait:
		default:
			return h.conclude(w, q, decision)
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

// runOnce runs the request to its end even if its caller leaves, so that the caller can repeat it and get the response.
func (h *Handler) runOnce(w http.ResponseWriter, r *http.Request, q request, id once.ID) table.Result {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), q.Arrived.Add(q.Timeout))
	defer cancel()
	k := &keeper{ResponseWriter: w, limit: once.DefaultLimits().ResponseBytes}
	result := table.Result{Outcome: fleet.Unknown}
	// A panic while the request runs must not leave its key running for ever.
	defer func() { h.Keys.Finish(id, result.Outcome, k.response(result)) }()
	result = h.dispatch(ctx, k, r, q)
	return result
}

// conclude tells the caller what is known of an earlier request with the key.
func (h *Handler) conclude(w http.ResponseWriter, q request, d once.Decision) table.Result {
	e := KeyError{Status: http.StatusConflict, Reason: d.Reason}
	switch d.Verdict {
	case once.Repeat:
		return repeat(w, q, d.Response)
	case once.NotRepeatable:
		return table.Result{Outcome: fleet.Answered, Err: e}
	case once.Refuse:
		w.Header().Set(api.HeaderKeyPrefix, h.Homes.KeyPrefix(q.Arrived))
		return table.Result{Outcome: fleet.NotRun, Err: e}
	default:
		e.Status = http.StatusGatewayTimeout
		return table.Result{Outcome: fleet.Unknown, Err: e}
	}
}

func repeat(w http.ResponseWriter, q request, kept *once.Response) table.Result {
	for name, values := range kept.Header {
		w.Header()[name] = values
	}
	w.Header().Set(api.HeaderOutcome, string(fleet.Answered))
	w.Header().Set(api.HeaderRequestID, q.ID)
	w.WriteHeader(kept.Status)
	_, err := w.Write(kept.Body)
	return table.Result{Outcome: fleet.Answered, Response: true, Status: kept.Status, Aborted: err != nil, Err: err}
}
