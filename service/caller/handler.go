// Package caller serves the HTTP requests of callers: it authenticates the tenant, finds the route, and dispatches the
// request to a backend server or forwards it to another node.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/http/fullduplex"
	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficcmd"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/backend"
)

// defaultRetryAfter is the Retry-After of a refusal whose decision set no time.
const defaultRetryAfter = time.Second

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Current returns the configuration in force, or nil if the node has none yet.
	Current() *fleet.Configuration
}

// Dispatcher admits requests to the node's queues and runs them on backend servers.
type Dispatcher interface {
	// Admit queues the request, or returns the error with which it is refused.
	Admit(now time.Time, t *table.Ticket) error
	// Cancel removes a request from its queue. It reports whether the request was still waiting.
	Cancel(t *table.Ticket) bool
}

// Traffic records finished requests in the metrics.
type Traffic interface {
	Record(o trafficcmd.Observation)
}

// Handler serves the requests of callers, and those that other nodes forward.
type Handler struct {
	Config     ConfigSource
	Dispatcher Dispatcher
	KeyOwners  KeyOwners
	Keys       KeyClaims
	Groups     Groups
	Forwarder  Forwarder
	Transport  http.RoundTripper
	// Traffic is optional; if nil, finished requests are not counted.
	Traffic Traffic
	// EntryTTL is how long callers may cache a response to a request for entries.
	EntryTTL time.Duration
	Log      zerolog.Logger
}

// request holds the identity, tenant, route and timeout of a caller's request.
type request struct {
	ID        string
	Tenant    fleet.Tenant
	Route     fleet.Route
	RankIndex int
	Arrived   time.Time
	Timeout   time.Duration
	// Forwarded reports whether another node forwarded the request. It is then not forwarded again.
	Forwarded bool
	// Repeated reports whether the forwarding node may have sent the request to another node before. It may have run there.
	Repeated bool
}

// ServeHTTP implements http.Handler for requests that arrive directly from callers.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serveRequest(w, r, request{ID: rand.Text(), Arrived: time.Now()})
}

// ForwardedHandler returns the handler of requests that other nodes forward. It authenticates them again: otherwise,
// access to the port for other nodes would give access to the data of every tenant.
func (h *Handler) ForwardedHandler() http.Handler {
	return http.StripPrefix(api.PathForward, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.serveRequest(w, r, request{
			ID: r.Header.Get(api.HeaderRequestID), Arrived: time.Now(), Forwarded: true, Repeated: r.Header.Get(api.HeaderRepeated) == "true",
		})
	}))
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request, req request) {
	duplex := fullduplex.New(w, r)
	defer duplex.End()
	w, r = duplex.Writer, duplex.Request
	if r.URL.Path == pathEntries && r.Method == http.MethodGet {
		h.serveEntries(w, r, req)
		return
	}
	req, err := h.resolveRoute(r, req)
	if err != nil {
		outcome := refusalOutcome(r.Header)
		if req.Repeated {
			outcome = fleet.Unknown
		}
		h.finish(w, req, table.Result{Outcome: outcome, Err: err})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Arrived.Add(req.Timeout))
	defer cancel()
	h.finish(w, req, h.runRequest(ctx, w, r, req))
}

// runRequest dispatches the request on this node or forwards it to another one, and waits for its result.
func (h *Handler) runRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, req request) table.Result {
	if !req.Route.Idempotent && hasKey(r.Header) {
		return h.runKeyed(ctx, w, r, req)
	}
	if req.Forwarded || h.Groups.Serves(req.Route.Service) {
		return h.dispatch(ctx, w, r, req)
	}
	targets := h.Groups.Targets(req.Route.Service, req.Arrived)
	if len(targets) == 0 {
		// A node outside the group has no health evidence about the backend servers. Dispatching without it is still
		// better than refusing the request.
		return h.dispatch(ctx, w, r, req)
	}
	return h.forward(ctx, w, r, req, targets)
}

// resolveRoute authenticates the tenant, finds the route and checks that the tenant may use its service.
func (h *Handler) resolveRoute(r *http.Request, req request) (request, error) {
	req, c, err := h.authenticate(r, req)
	if err != nil {
		return req, err
	}
	var ok bool
	if req.Route, ok = configquery.Match(c, r.Method, r.URL.Path); !ok || !isCleanPath(r.URL.Path) {
		return req, NoRouteError{Method: r.Method, Path: r.URL.Path}
	}
	if req.Route.RefusalReason != "" {
		return req, UnservableRouteError{Route: req.Route.Name, Reason: req.Route.RefusalReason}
	}
	if !slices.Contains(req.Tenant.Services, req.Route.Service) {
		return req, ForbiddenError{Tenant: req.Tenant.Name, Service: req.Route.Service}
	}
	req.RankIndex = slices.IndexFunc(c.Ranks, func(k fleet.Rank) bool { return k.Name == req.Route.Rank })
	req.Timeout, err = requestTimeout(r, req.Route.Timeout)
	return req, err
}

// authenticate finds the tenant in the configuration in force. A forwarded request must resolve to the tenant that the
// forwarding node found: the two nodes can have different revisions of the configuration, and the response must not go
// to another tenant.
func (h *Handler) authenticate(r *http.Request, req request) (request, *fleet.Configuration, error) {
	c := h.Config.Current()
	if c == nil {
		return req, nil, NotReadyError{}
	}
	var ok bool
	if req.Tenant, ok = c.Tenants[tokenHash(r)]; !ok {
		return req, nil, UnauthorizedError{}
	}
	if req.Forwarded && r.Header.Get(api.HeaderTenant) != req.Tenant.Name {
		return req, nil, UnauthorizedError{}
	}
	return req, c, nil
}

// tokenHash returns the SHA-256 hash of the request's token in hex, or an empty string without a token. A configuration may
// hold the hash of an empty token, for example because a variable was not set when it was written.
func tokenHash(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if token == "" || token == "Bearer" {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// isCleanPath reports whether the path has neither dot segments nor empty segments. A backend server might resolve them
// to a path of another route.
func isCleanPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// requestTimeout returns the timeout that the caller set in a header, limited to the timeout of the route.
func requestTimeout(r *http.Request, limit time.Duration) (time.Duration, error) {
	text := r.Header.Get(api.HeaderTimeout)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, TimeoutError{Value: text}
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// dispatch queues the request on this node and waits for its result.
func (h *Handler) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request, req request) table.Result {
	exchange := backend.NewExchange(h.Transport, r, w)
	exchange.RequestID = req.ID
	exchange.Tenant = req.Tenant.Name
	exchange.Idempotent = req.Route.Idempotent
	exchange.Deadline = req.Arrived.Add(req.Timeout)
	t := &table.Ticket{
		ID: req.ID, Service: req.Route.Service, Route: req.Route.Name, Rank: max(req.RankIndex, 0), Tenant: req.Tenant.Name,
		Limits:     req.Tenant.Limits,
		Idempotent: req.Route.Idempotent, Arrived: req.Arrived, Deadline: exchange.Deadline, Context: ctx,
		Runner: exchange, Done: make(chan table.Result, 1), Repeated: req.Repeated, MayHaveRun: req.Repeated,
	}
	if err := h.Dispatcher.Admit(req.Arrived, t); err != nil {
		return table.Result{Outcome: dispatchcmd.UnsentOutcome(t), RetryAfter: dispatchcmd.RetryAfter(err), Err: err}
	}
	select {
	case result := <-t.Done:
		return result
	case <-ctx.Done():
	}
	if h.Dispatcher.Cancel(t) {
		return dispatchcmd.Abandoned(t)
	}
	// A worker is still using the request and the response writer. Its exchange ends with the context.
	return <-t.Done
}

// finish logs and counts the result, and writes a refusal if no response was delivered. If the response could not be
// completed, it aborts the connection; otherwise the caller could take a truncated response for a complete one.
func (h *Handler) finish(w http.ResponseWriter, req request, result table.Result) {
	h.logResult(req, result)
	h.recordTraffic(req, result)
	if result.Aborted {
		panic(http.ErrAbortHandler)
	}
	if !result.Response {
		h.writeRefusal(w, req, result)
	}
}

func (h *Handler) writeRefusal(w http.ResponseWriter, req request, result table.Result) {
	header := w.Header()
	header.Set(api.HeaderOutcome, string(result.Outcome))
	header.Set(api.HeaderRequestID, req.ID)
	header.Set("Content-Type", "application/json")
	status := refusalStatus(result)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", retryAfterSeconds(result.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.Refusal{
		Outcome: string(result.Outcome), Reason: errorText(result.Err), RequestID: req.ID,
	})
}

// retryAfterSeconds formats the value of the Retry-After header, rounded up because the header has whole seconds only.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// httpStatusError is an error that sets the HTTP status of the refusal.
type httpStatusError interface {
	error
	HTTPStatus() int
}

func refusalStatus(result table.Result) int {
	var statusErr httpStatusError
	var refused admission.RefusedError
	switch {
	case errors.As(result.Err, &refused) && refused.Reason.IsTenantLimit():
		return http.StatusTooManyRequests
	case errors.As(result.Err, &statusErr):
		return statusErr.HTTPStatus()
	case result.Outcome == fleet.Unknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// recordTraffic records the result in the metrics. It leaves out requests without a tenant, which anyone could send to
// fill the metrics.
func (h *Handler) recordTraffic(req request, result table.Result) {
	if h.Traffic == nil || req.Tenant.Name == "" {
		return
	}
	h.Traffic.Record(trafficcmd.Observation{
		Class:   table.TrafficClass{Service: req.Route.Service, Rank: req.Route.Rank},
		Tenant:  req.Tenant.Name,
		Outcome: result.Outcome,
		Latency: time.Since(req.Arrived),
	})
}

func (h *Handler) logResult(req request, result table.Result) {
	event := h.Log.Info()
	if result.Err != nil {
		event = h.Log.Warn().AnErr("error", result.Err)
	}
	event.Str("request-id", req.ID).
		Str("tenant", req.Tenant.Name).
		Str("service", req.Route.Service).
		Str("route", req.Route.Name).
		Str("rank", req.Route.Rank).
		Str("outcome", string(result.Outcome)).
		Int("status", result.Status).
		Dur("duration-ms", time.Since(req.Arrived)).
		Dur("wait-ms", result.QueueDelay).
		Int("attempts", result.Attempts).
		Str("backend-server", result.Address).
		Msg("request finished")
}
