// Package hostfront serves HTTP requests of callers whose routes are found by host name and path. It decodes a request,
// has it dispatched to a backend server, and encodes the refusal if none answered it.
package hostfront

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/backend/http1"
	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficcmd"
	"egretline.example/egretline/service/api"
)

const (
	// heldRequest is the size up to which a request body is held, so that it can be sent again.
	heldRequest = 64 << 10
	// defaultTimeout bounds a request for which neither the caller nor the route states a time.
	defaultTimeout = 30 * time.Second
	// defaultRetryAfter is the wait that a refusal asks for if the decision gave none. The state of the node that led to
	// it, such as a missing configuration or a missing pool, changes within about this time.
	defaultRetryAfter = 500 * time.Millisecond
	// startWait bounds the time for which a request waits for a node that has just started. It usually has a configuration
	// within some tens of milliseconds, and callers that are turned away do not all come back.
	startWait = 1500 * time.Millisecond
	// writeSlack is how long after the deadline a caller may take to read the end of a response.
	writeSlack = 2 * time.Second
)

// Routes reads the configuration that is in force.
type Routes interface {
	// Current returns the configuration, or nil if the node has none.
	Current() *fleet.Configuration
}

// Dispatcher admits requests to the queues of the node.
type Dispatcher interface {
	ServiceOf(r fleet.Route) string
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
	Pool       *http1.Pool
	Headers    dialect.Headers
	Traffic    Traffic
	// MaxBody bounds a request body, in bytes.
	MaxBody int64
	// RegistryAge returns how old the registry of backend servers may be, for the log.
	RegistryAge func() time.Duration
	// Started is closed once the node has a configuration and the registry of backend servers.
	Started <-chan struct{}
	// Leaving says whether the node is leaving, so that callers should not reuse their connections.
	Leaving func() bool
	Log     zerolog.Logger
}

// request is a caller's request with what the node knows about it.
type request struct {
	ID      string
	Route   fleet.Route
	Service string
	Rank    int
	// Revision is that of the configuration that decided.
	Revision int64
	Arrived  time.Time
	// Deadline is when the caller gives up, and Due when the operator wants it answered.
	Deadline time.Time
	Due      time.Time
	Body     []byte
	Rest     io.Reader
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	q := request{ID: r.Header.Get(h.Headers.RequestID), Arrived: time.Now()}
	// The time limit of the last request on the connection would still hold.
	h.limitWrites(w, q, q.Arrived.Add(defaultTimeout))
	q, err := h.resolve(w, r, q)
	if err != nil {
		h.finish(w, q, table.Result{Outcome: fleet.NotRun, Err: err})
		return
	}
	h.finish(w, q, h.dispatch(w, r, q))
}

func (h *Handler) resolve(w http.ResponseWriter, r *http.Request, q request) (request, error) {
	if q.ID == "" {
		return q, HeaderError{Name: h.Headers.RequestID}
	}
	h.awaitStart(r.Context())
	c := h.Routes.Current()
	if c == nil {
		return q, NotReadyError{}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var found bool
	q.Revision = c.Revision
	q.Route, found = configquery.MatchHost(c, hostName(r.Host), path)
	if !found {
		return q, RouteError{Host: r.Host, Path: path}
	}
	q.Rank = max(0, slices.IndexFunc(c.Ranks, func(k fleet.Rank) bool { return k.Name == q.Route.Rank }))
	left, err := h.timeLeft(r)
	if err != nil {
		return q, err
	}
	q.Deadline = q.Arrived.Add(left)
	q.Due = q.Deadline
	if q.Route.Timeout > 0 && q.Route.Timeout < left {
		q.Due = q.Arrived.Add(q.Route.Timeout)
	}
	if err := h.readBody(w, r, &q); err != nil {
		return q, err
	}
	q.Service = h.Dispatcher.ServiceOf(q.Route)
	return q, nil
}

// awaitStart waits until a node that has just started can serve, for a short time.
func (h *Handler) awaitStart(ctx context.Context) {
	select {
	case <-h.Started:
		return
	default:
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-h.Started:
	case <-ctx.Done():
	case <-timer.C:
	}
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (h *Handler) timeLeft(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(h.Headers.Deadline)
	if text == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, HeaderError{Name: h.Headers.Deadline, Value: text}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody holds a short body. A request is dispatched once its body has arrived, so that a caller which stalls holds no
// slot of a backend server.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, q *request) error {
	if r.ContentLength > h.MaxBody {
		return BodyError{TooLarge: true, Err: HeaderError{Name: "Content-Length", Value: strconv.FormatInt(r.ContentLength, 10)}}
	}
	body := http.MaxBytesReader(w, r.Body, h.MaxBody)
	held, err := io.ReadAll(io.LimitReader(body, heldRequest))
	if err != nil {
		var tooLarge *http.MaxBytesError
		return BodyError{TooLarge: errors.As(err, &tooLarge), Err: err}
	}
	q.Body = held
	if len(held) == heldRequest && r.ContentLength != heldRequest {
		q.Rest = body
	}
	return nil
}

// dispatch has the request run and waits for its result.
func (h *Handler) dispatch(w http.ResponseWriter, r *http.Request, q request) table.Result {
	h.limitWrites(w, q, q.Deadline.Add(writeSlack))
	ctx, cancel := context.WithDeadline(r.Context(), q.Due)
	defer cancel()
	t := &table.Ticket{
		ID: q.ID, Service: q.Service, Route: q.Route.Name, Rank: q.Rank,
		Idempotent: q.Route.Idempotent, Bulk: q.Route.Bulk, MaxRuns: q.Route.MaxRuns,
		Patience: patience(q), Arrived: q.Arrived, Deadline: q.Due, Target: q.Route.Target, Context: ctx,
		Runner: &http1.Exchange{
			Pool: h.Pool, Headers: h.Headers, Request: r, Body: q.Body, Rest: q.Rest, Writer: w, RequestID: q.ID,
			Idempotent: q.Route.Idempotent, Due: q.Due,
		},
		Done: make(chan table.Result, 1),
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

// limitWrites bounds the time in which the caller reads the response.
func (h *Handler) limitWrites(w http.ResponseWriter, q request, until time.Time) {
	if err := http.NewResponseController(w).SetWriteDeadline(until); err != nil {
		h.Log.Debug().Err(err).Str("request-id", q.ID).Msg("time limit of a connection was not set")
	}
}

// patience is how long an attempt of an idempotent request may take before a backup attempt is sent: half of the time in
// which its response has its full worth, so that the backup can still bring it in time.
func patience(q request) time.Duration {
	whole := q.Due.Sub(q.Arrived)
	if q.Route.Target > 0 {
		whole = min(whole, q.Route.Target)
	}
	return whole / 2
}

// finish logs the result and writes a refusal if no response was delivered. It aborts the connection of a response that
// could not be completed, so that the caller cannot take it for whole.
func (h *Handler) finish(w http.ResponseWriter, q request, result table.Result) {
	status := result.Status
	if !result.Response {
		status = refusalStatus(q, result)
	}
	h.logResult(q, result, status)
	h.Traffic.Record(trafficcmd.Observation{
		Class:   table.TrafficClass{Service: q.Service, Rank: q.Route.Rank},
		Outcome: result.Outcome, Latency: time.Since(q.Arrived),
	})
	if result.Aborted {
		panic(http.ErrAbortHandler)
	}
	if !result.Response {
		h.writeRefusal(w, q, result, status)
	}
}

func (h *Handler) writeRefusal(w http.ResponseWriter, q request, result table.Result, status int) {
	header := w.Header()
	header.Set(h.Headers.RequestID, q.ID)
	header.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfter(result.RetryAfter))
	}
	w.WriteHeader(status)
	refusal := api.Refusal{Outcome: string(result.Outcome), Reason: reason(result.Err), RequestID: q.ID}
	if err := json.NewEncoder(w).Encode(refusal); err != nil {
		h.Log.Debug().Err(err).Str("request-id", q.ID).Msg("refusal was not delivered")
	}
}

// retryAfter gives seconds with a fraction, which these callers accept.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
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

// refusalStatus returns 503 only for a request that was not run. A request that may have run gets 504 if its time is over,
// and else 502.
func refusalStatus(q request, result table.Result) int {
	var s statusError
	switch {
	case errors.As(result.Err, &s):
		return s.HTTPStatus()
	case result.Outcome == fleet.NotRun:
		return http.StatusServiceUnavailable
	case !time.Now().Before(q.Due):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func (h *Handler) logResult(q request, result table.Result, status int) {
	event := h.Log.Info()
	if result.Err != nil {
		event = h.Log.Warn().AnErr("error", result.Err)
	}
	event.Str("request-id", q.ID).
		Str("route", q.Route.Name).
		Str("service", q.Service).
		Int64("revision", q.Revision).
		Dur("registry-age-ms", h.RegistryAge()).
		Str("outcome", string(result.Outcome)).
		Int("status", status).
		Dur("duration-ms", time.Since(q.Arrived)).
		Dur("wait-ms", result.Waited).
		Dur("left-ms", time.Until(q.Due)).
		Int("attempts", result.Attempts).
		Int("backups", result.Backups).
		Str("ended", string(result.Ended)).
		Str("backend-server", result.Address).
		Dur("retry-after-ms", result.RetryAfter).
		Msg("request finished")
}
