// Package caller serves HTTP requests of callers: it authenticates the tenant, finds the route, and has the request
// dispatched to a backend server.
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

	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficcmd"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/backend"
)

// defaultRetryAfter is what a refusal tells the caller to wait if the decision gave no time.
const defaultRetryAfter = time.Second

// Routes reads the configuration that is in force.
type Routes interface {
	// Current returns the configuration, or nil if the node has none.
	Current() *fleet.Configuration
}

// Dispatcher admits requests to the queues of the node.
type Dispatcher interface {
	Admit(now time.Time, t *table.Ticket) error
	Cancel(t *table.Ticket) bool
}

// Traffic counts finished requests.
type Traffic interface {
	Record(o trafficcmd.Observation)
}

// Handler serves the requests of callers.
type Handler struct {
	Routes     Routes
	Dispatcher Dispatcher
	Homes      Homes
	Keys       Keys
	Groups     Groups
	Forwarder  Forwarder
	Transport  http.RoundTripper
	// Traffic may be nil, and then nothing is counted.
	Traffic Traffic
	// EntryTTL is how long callers may keep an entry response.
	EntryTTL time.Duration
	Log      zerolog.Logger
}

// request is a caller's request with what the node knows about it.
type request struct {
	ID      string
	Tenant  fleet.Tenant
	Route   fleet.Route
	Rank    int
	Arrived time.Time
	Timeout time.Duration
	// Forwarded says that another node forwarded the request, so that it must not be forwarded again.
	Forwarded bool
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, request{ID: rand.Text(), Arrived: time.Now()})
}

// Forwarded returns the handler of the requests that other nodes forward. They are authenticated again, so that access to
// the port of other nodes gives no access to the data of a tenant.
func (h *Handler) Forwarded() http.Handler {
	return http.StripPrefix(api.PathForward, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.serve(w, r, request{ID: r.Header.Get(api.HeaderRequestID), Arrived: time.Now(), Forwarded: true})
	}))
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, q request) {
	if r.URL.Path == pathEntries && r.Method == http.MethodGet {
		h.serveEntries(w, r, q)
		return
	}
	q, err := h.resolve(r, q)
	if err != nil {
		h.finish(w, q, table.Result{Outcome: refusalOutcome(r.Header), Err: err})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Arrived.Add(q.Timeout))
	defer cancel()
	h.finish(w, q, h.run(ctx, w, r, q))
}

// run has the request run by this node or another one, and waits for its result.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, r *http.Request, q request) table.Result {
	if !q.Route.Idempotent && hasKey(r.Header) {
		return h.runKeyed(ctx, w, r, q)
	}
	if q.Forwarded || h.Groups.Serves(q.Route.Service) {
		return h.dispatch(ctx, w, r, q)
	}
	targets := h.Groups.Targets(q.Route.Service, q.Arrived)
	if len(targets) == 0 {
		// A node outside the group has no evidence about the backend servers, which is better than no service.
		return h.dispatch(ctx, w, r, q)
	}
	return h.forward(ctx, w, r, q, targets)
}

// resolve authenticates the tenant and finds the route.
func (h *Handler) resolve(r *http.Request, q request) (request, error) {
	q, c, err := h.authenticate(r, q)
	if err != nil {
		return q, err
	}
	var ok bool
	if q.Route, ok = configquery.Match(c, r.Method, r.URL.Path); !ok || !clean(r.URL.Path) {
		return q, RouteError{Method: r.Method, Path: r.URL.Path}
	}
	if q.Route.Refusal != "" {
		return q, RefusalError{Route: q.Route.Name, Reason: q.Route.Refusal}
	}
	if !slices.Contains(q.Tenant.Services, q.Route.Service) {
		return q, ForbiddenError{Tenant: q.Tenant.Name, Service: q.Route.Service}
	}
	q.Rank = slices.IndexFunc(c.Ranks, func(k fleet.Rank) bool { return k.Name == q.Route.Rank })
	q.Timeout, err = timeout(r, q.Route.Timeout)
	return q, err
}

// authenticate finds the tenant in the configuration that is in force. A forwarded request names its tenant too: the two
// nodes can have different revisions, and the response must not go to another tenant than the first node saw.
func (h *Handler) authenticate(r *http.Request, q request) (request, *fleet.Configuration, error) {
	c := h.Routes.Current()
	if c == nil {
		return q, nil, NotReadyError{}
	}
	var ok bool
	if q.Tenant, ok = c.Tenants[tokenHash(r)]; !ok {
		return q, nil, UnauthorizedError{}
	}
	if q.Forwarded && r.Header.Get(api.HeaderTenant) != q.Tenant.Name {
		return q, nil, UnauthorizedError{}
	}
	return q, c, nil
}

func tokenHash(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// clean refuses dot segments and empty segments. A backend server might resolve them to a path of another route.
func clean(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// timeout returns the caller's timeout if it is shorter than the route's.
func timeout(r *http.Request, limit time.Duration) (time.Duration, error) {
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

// dispatch has the request run and waits for its result.
func (h *Handler) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request, q request) table.Result {
	exchange := backend.NewExchange(h.Transport, r, w)
	exchange.RequestID = q.ID
	exchange.Tenant = q.Tenant.Name
	exchange.Idempotent = q.Route.Idempotent
	exchange.Deadline = q.Arrived.Add(q.Timeout)
	t := &table.Ticket{
		ID: q.ID, Service: q.Route.Service, Route: q.Route.Name, Rank: max(q.Rank, 0), Tenant: q.Tenant.Name,
		Limits:     q.Tenant.Limits,
		Idempotent: q.Route.Idempotent, Arrived: q.Arrived, Deadline: exchange.Deadline, Context: ctx,
		Runner: exchange, Done: make(chan table.Result, 1),
	}
	if err := h.Dispatcher.Admit(q.Arrived, t); err != nil {
		return table.Result{Outcome: fleet.NotRun, RetryAfter: dispatchcmd.RetryAfter(err), Err: err}
	}
	select {
	case result := <-t.Done:
		return result
	case <-ctx.Done():
	}
	if h.Dispatcher.Cancel(t) {
		return dispatchcmd.Abandoned(t)
	}
	// A worker holds the request and the response writer. Its exchange ends with the context.
	return <-t.Done
}

// finish logs the result and writes a refusal if no response was delivered. It aborts the connection of a response that
// could not be completed, so that the caller cannot take it for whole.
func (h *Handler) finish(w http.ResponseWriter, q request, result table.Result) {
	h.logResult(q, result)
	h.count(q, result)
	if result.Aborted {
		panic(http.ErrAbortHandler)
	}
	if !result.Response {
		h.writeRefusal(w, q, result)
	}
}

func (h *Handler) writeRefusal(w http.ResponseWriter, q request, result table.Result) {
	header := w.Header()
	header.Set(api.HeaderOutcome, string(result.Outcome))
	header.Set(api.HeaderRequestID, q.ID)
	header.Set("Content-Type", "application/json")
	status := refusalStatus(result)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", retryAfter(result.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.Refusal{
		Outcome: string(result.Outcome), Reason: reason(result.Err), RequestID: q.ID,
	})
}

// retryAfter rounds up to whole seconds, because the header has no finer unit.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func reason(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// statusError is an error that decides the status of the refusal.
type statusError interface {
	error
	HTTPStatus() int
}

func refusalStatus(result table.Result) int {
	var s statusError
	var refused admission.RefusedError
	switch {
	case errors.As(result.Err, &refused) && refused.Reason.OfTenant():
		return http.StatusTooManyRequests
	case errors.As(result.Err, &s):
		return s.HTTPStatus()
	case result.Outcome == fleet.Unknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// count leaves out the requests without a tenant, which anyone could send to fill the metrics.
func (h *Handler) count(q request, result table.Result) {
	if h.Traffic == nil || q.Tenant.Name == "" {
		return
	}
	h.Traffic.Record(trafficcmd.Observation{
		Class:   table.TrafficClass{Service: q.Route.Service, Rank: q.Route.Rank},
		Tenant:  q.Tenant.Name,
		Outcome: result.Outcome,
		Latency: time.Since(q.Arrived),
	})
}

func (h *Handler) logResult(q request, result table.Result) {
	event := h.Log.Info()
	if result.Err != nil {
		event = h.Log.Warn().AnErr("error", result.Err)
	}
	event.Str("request-id", q.ID).
		Str("tenant", q.Tenant.Name).
		Str("service", q.Route.Service).
		Str("route", q.Route.Name).
		Str("rank", q.Route.Rank).
		Str("outcome", string(result.Outcome)).
		Int("status", result.Status).
		Dur("duration-ms", time.Since(q.Arrived)).
		Dur("wait-ms", result.Waited).
		Int("attempts", result.Attempts).
		Str("backend-server", result.Address).
		Msg("request finished")
}
