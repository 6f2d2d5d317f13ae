// Package hostfront is the HTTP front end for callers whose routes are matched by host name and path. It decodes
// requests, submits them to the dispatcher, and encodes an error response if no backend server answered.
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
	"egretline.example/egretline/internal/front/callerconn"
	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/internal/http/fullduplex"
	"egretline.example/egretline/internal/transfer/transfercmd"
	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficcmd"
	"egretline.example/egretline/service/api"
)

const (
	// maxBufferedRequestBytes bounds the prefix of a request body that is buffered. A body that fits can be sent again.
	maxBufferedRequestBytes = 64 << 10
	// defaultRequestTimeout applies if neither the caller nor the route sets a timeout.
	defaultRequestTimeout = 30 * time.Second
	// defaultRetryAfter is the Retry-After delay of refusals for which the dispatcher gave none. The cause, such as a
	// missing configuration or a missing pool, usually disappears within about this time.
	defaultRetryAfter = 500 * time.Millisecond
	// maxStartupWait bounds how long a request waits for a node that has just started. The node usually has a
	// configuration within some tens of milliseconds, and not all callers retry a refused request.
	maxStartupWait = 1500 * time.Millisecond
	// responseWriteGrace is how long after its deadline a caller may take to read the end of a response.
	responseWriteGrace = 2 * time.Second
)

// ConfigSource provides the active configuration.
type ConfigSource interface {
	// Current returns the active configuration, or nil if the node has none yet.
	Current() *fleet.Configuration
}

// Dispatcher queues requests and runs them on backend servers.
type Dispatcher interface {
	// NextService returns the service for the next request of the route, and advances the weighted split of the route.
	NextService(r fleet.Route) string
	// Admit queues the request, or returns the error with which it is refused.
	Admit(now time.Time, t *table.Ticket) error
	// Cancel removes a request from its queue. It reports whether the request was still waiting.
	Cancel(t *table.Ticket) bool
}

// TrafficRecorder counts finished requests for the metrics.
type TrafficRecorder interface {
	Record(o trafficcmd.Observation)
}

// Handler serves HTTP requests of callers.
type Handler struct {
	Config     ConfigSource
	Dispatcher Dispatcher
	Pool       *http1.Pool
	Gate       http1.Gate
	// Pauses delays requests after a pause of the process; nil if pauses are not noticed.
	Pauses http1.PauseObserver
	// Transfers accounts the bytes that the node holds for callers and backend servers.
	Transfers *transfercmd.Commands
	Headers   dialect.Headers
	Traffic   TrafficRecorder
	// MaxBodyBytes bounds the size of a request body, in bytes.
	MaxBodyBytes int64
	// RegistryAge returns the age of the node's replica of the backend server registry, for the log.
	RegistryAge func() time.Duration
	// ConfigurationAge returns the age of the node's configuration.
	ConfigurationAge func() time.Duration
	// Limiter limits the requests of each customer; nil if customers have no limits.
	Limiter CustomerLimiter
	// StartupDone is closed once the node has a configuration and the registry of backend servers.
	StartupDone <-chan struct{}
	// Leaving reports whether the node is shutting down and callers should not reuse their connections.
	Leaving func() bool
	Log     zerolog.Logger
}

// request is a caller's request with the route and the deadlines that apply to it.
type request struct {
	ID      string
	Route   fleet.Route
	Service string
	// Customer is the customer whose key the request has; its name is empty without a key.
	Customer fleet.Tenant
	// DropCredentials reports whether the key is not passed on.
	DropCredentials bool
	// QuotaTaken reports whether the request was counted against the quota of its customer.
	QuotaTaken bool
	// Rank is the name of the rank that applies, and RankIndex its index in the configuration.
	Rank      string
	RankIndex int
	// ConfigRevision is the revision of the configuration that the route comes from.
	ConfigRevision int64
	Arrived        time.Time
	// CallerDeadline is when the caller gives up. ResponseDeadline is the earlier of it and the end of the route's timeout.
	CallerDeadline   time.Time
	ResponseDeadline time.Time
	BufferedBody     []byte
	RemainingBody    io.Reader
	// Account accounts the bytes that the node holds for the request; nil before the request is matched with a route.
	Account *transfercmd.Account
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := request{ID: r.Header.Get(h.Headers.RequestID), Arrived: time.Now()}
	defer func() { endAccount(req.Account) }()
	duplex := fullduplex.New(w, r)
	defer duplex.End()
	w, r = duplex.Writer, duplex.Request
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	// The write deadline of the previous request on this connection would otherwise still apply.
	h.setWriteDeadline(w, req, req.Arrived.Add(defaultRequestTimeout))
	req, err := h.decodeRequest(w, r, req)
	if err != nil {
		h.finish(w, req, table.Result{Outcome: fleet.NotRun, RetryAfter: retryAfter(err), Err: err})
		return
	}
	h.finish(w, req, h.dispatch(w, r, req))
}

func (h *Handler) decodeRequest(w http.ResponseWriter, r *http.Request, req request) (request, error) {
	if req.ID == "" {
		return req, HeaderError{Name: h.Headers.RequestID}
	}
	h.awaitStartup(r.Context())
	c := h.Config.Current()
	if c == nil {
		return req, NotReadyError{}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var found bool
	req.ConfigRevision = c.Revision
	req.Route, found = configquery.MatchHost(c, stripPort(r.Host), path)
	if !found {
		return req, NoRouteError{Host: r.Host, Path: path}
	}
	req.Rank = req.Route.Rank
	if err := h.identifyCustomer(r, c, &req); err != nil {
		return req, err
	}
	req.RankIndex = max(0, slices.IndexFunc(c.Ranks, func(rank fleet.Rank) bool { return rank.Name == req.Rank }))
	timeout, err := h.callerTimeout(r)
	if err != nil {
		return req, err
	}
	req.CallerDeadline = req.Arrived.Add(timeout)
	req.ResponseDeadline = req.CallerDeadline
	if req.Route.Timeout > 0 && req.Route.Timeout < timeout {
		req.ResponseDeadline = req.Arrived.Add(req.Route.Timeout)
	}
	if err := h.takeQuota(r.Context(), &req); err != nil {
		return req, err
	}
	req.Account = h.Transfers.Open(req.RankIndex, len(c.Ranks))
	if err := admitResponse(&req); err != nil {
		return req, err
	}
	if err := h.bufferBody(w, r, &req); err != nil {
		return req, err
	}
	req.Service = h.Dispatcher.NextService(req.Route)
	return req, nil
}

// awaitStartup blocks until the node has completed its startup, for at most maxStartupWait.
func (h *Handler) awaitStartup(ctx context.Context) {
	select {
	case <-h.StartupDone:
		return
	default:
	}
	timer := time.NewTimer(maxStartupWait)
	defer timer.Stop()
	select {
	case <-h.StartupDone:
	case <-ctx.Done():
	case <-timer.C:
	}
}

func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (h *Handler) callerTimeout(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(h.Headers.Deadline)
	if value == "" {
		return defaultRequestTimeout, nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms <= 0 {
		return 0, HeaderError{Name: h.Headers.Deadline, Value: value}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// dispatch submits the request to the dispatcher and waits for the result.
func (h *Handler) dispatch(w http.ResponseWriter, r *http.Request, req request) table.Result {
	h.setWriteDeadline(w, req, req.CallerDeadline.Add(responseWriteGrace))
	ctx, cancel := context.WithDeadline(r.Context(), req.ResponseDeadline)
	defer cancel()
	delivery := http1.NewDelivery(w, req.Account)
	runner := &http1.Exchange{
		Pool: h.Pool, Gate: h.Gate, Headers: h.Headers, Request: r, BufferedBody: req.BufferedBody,
		RemainingBody: req.RemainingBody, Delivery: delivery, RequestID: req.ID, Customer: req.Customer.Name,
		DropCredentials: req.DropCredentials, Idempotent: req.Route.Idempotent,
		ResponseDeadline: req.ResponseDeadline, Pauses: h.Pauses, RegistryAge: h.RegistryAge,
	}
	if req.RemainingBody != nil {
		// net/http notices that the caller has left only once the whole body has been read.
		runner.HasCallerLeft = func() bool { return callerconn.IsClosed(r.Context()) }
	}
	t := &table.Ticket{
		ID: req.ID, Service: req.Service, Route: req.Route.Name, Rank: req.RankIndex, Tenant: req.Customer.Name,
		Idempotent: req.Route.Idempotent, Bulk: req.Route.LargeResponses, MaxPossibleRuns: req.Route.MaxRuns,
		BackupDelay: backupDelay(req), BodyBytes: bodyBytes(r), Arrived: req.Arrived, Deadline: req.ResponseDeadline,
		TargetLatency: req.Route.TargetLatency, Context: ctx,
		Runner: runner, Done: make(chan table.Result, 1),
	}
	if err := h.Dispatcher.Admit(req.Arrived, t); err != nil {
		return table.Result{Outcome: fleet.NotRun, RetryAfter: dispatchcmd.RetryAfter(err), Err: err}
	}
	return h.await(ctx, t, delivery)
}

// await writes the response as the worker reads it, and returns the result of the request.
func (h *Handler) await(ctx context.Context, t *table.Ticket, d *http1.Delivery) table.Result {
	var result table.Result
	var ended bool
	select {
	case <-d.Started:
	case result = <-t.Done:
		ended = true
	case <-ctx.Done():
		if h.Dispatcher.Cancel(t) {
			return dispatchcmd.Abandoned(t)
		}
		// A worker is still using the request. Its exchange ends with the context.
		select {
		case <-d.Started:
		case result = <-t.Done:
			ended = true
		}
	}
	err := d.Run() // the response may have started also if the worker has ended
	if !ended {
		result = <-t.Done
	}
	if err != nil && !result.Aborted {
		result.Outcome, result.Aborted, result.Err = fleet.Unknown, true, DeliveryError{Err: err}
	}
	return result
}

// setWriteDeadline bounds the time that the caller may take to read the response.
func (h *Handler) setWriteDeadline(w http.ResponseWriter, req request, until time.Time) {
	if err := http.NewResponseController(w).SetWriteDeadline(until); err != nil {
		h.Log.Debug().Err(err).Str("request-id", req.ID).Msg("cannot set write deadline of caller connection")
	}
}

// backupDelay returns how long an attempt of an idempotent request may take before a backup attempt is sent. It is half
// of the target latency, or of the timeout if that is shorter, which leaves the backup the other half to respond in.
func backupDelay(req request) time.Duration {
	budget := req.ResponseDeadline.Sub(req.Arrived)
	if req.Route.TargetLatency > 0 {
		budget = min(budget, req.Route.TargetLatency)
	}
	return budget / 2
}

// finish logs and counts the result, and writes an error response if none was delivered. It aborts the connection if the
// response is incomplete, because the caller could otherwise take a truncated body for the whole.
func (h *Handler) finish(w http.ResponseWriter, req request, result table.Result) {
	status := result.Status
	if !result.Response {
		status = refusalStatus(req, result)
	}
	h.giveBackQuota(req, result.Outcome)
	h.logResult(req, result, status)
	h.Traffic.Record(trafficcmd.Observation{
		Class:   table.TrafficClass{Service: req.Service, Rank: req.Rank},
		Outcome: result.Outcome, Latency: time.Since(req.Arrived),
	})
	if result.Aborted {
		panic(http.ErrAbortHandler)
	}
	if !result.Response {
		h.writeRefusal(w, req, result, status)
	}
}

func (h *Handler) writeRefusal(w http.ResponseWriter, req request, result table.Result, status int) {
	header := w.Header()
	if h.Leaving() { // it may have started to leave while the request waited
		header.Set("Connection", "close")
	}
	header.Set(h.Headers.RequestID, req.ID)
	header.Set("Content-Type", "application/json")
	var overQuota QuotaError
	switch {
	case errors.As(result.Err, &overQuota):
		header.Set("Retry-After", formatRetryAfter(overQuota.RetryAfter))
	case status == http.StatusServiceUnavailable:
		header.Set("Retry-After", formatRetryAfter(result.RetryAfter))
	case status == http.StatusUnauthorized:
		header.Set("WWW-Authenticate", strings.TrimSpace(bearerPrefix))
	}
	w.WriteHeader(status)
	refusal := api.Refusal{Outcome: string(result.Outcome), Reason: errorText(result.Err), RequestID: req.ID}
	if err := json.NewEncoder(w).Encode(refusal); err != nil {
		h.Log.Debug().Err(err).Str("request-id", req.ID).Msg("cannot send error response to caller")
	}
}

// formatRetryAfter formats a delay as decimal seconds with a fraction, which these callers accept in Retry-After.
func formatRetryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// httpStatusError is an error that determines the HTTP status of the error response.
type httpStatusError interface {
	error
	HTTPStatus() int
}

// refusalStatus returns 503 only for a request that did not run, because callers repeat such requests. A request that may
// have run gets 504 after its deadline and 502 before it.
func refusalStatus(req request, result table.Result) int {
	var statusErr httpStatusError
	switch {
	case errors.As(result.Err, &statusErr):
		return statusErr.HTTPStatus()
	case result.Outcome == fleet.NotRun:
		return http.StatusServiceUnavailable
	case !time.Now().Before(req.ResponseDeadline):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func (h *Handler) logResult(req request, result table.Result, status int) {
	event := h.Log.Info()
	if result.Err != nil {
		event = h.Log.Warn().AnErr("error", result.Err)
	}
	event.Str("request-id", req.ID).
		Str("route", req.Route.Name).
		Str("service", req.Service).
		Str("customer", req.Customer.Name).
		Int64("revision", req.ConfigRevision).
		Dur("registry-age-ms", h.RegistryAge()).
		Dur("sent-registry-age-ms", result.RegistryAge).
		Str("outcome", string(result.Outcome)).
		Int("status", status).
		Dur("duration-ms", time.Since(req.Arrived)).
		Dur("wait-ms", result.QueueDelay).
		Dur("left-ms", time.Until(req.ResponseDeadline)).
		Int("attempts", result.Attempts).
		Int("backups", result.Backups).
		Str("ended", string(result.EndReason)).
		Str("backend-server", result.Address).
		Dur("retry-after-ms", result.RetryAfter).
		Msg("request finished")
}
