package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/header"
)

// maxIdleResetDelay is the default of Exchange.MaxIdleResetDelay. It is far above the round-trip time between zones, and below
// the time that servers work on most requests.
const maxIdleResetDelay = 350 * time.Millisecond

// Exchange sends one request of a caller to backend servers and streams the response back. It implements table.Runner.
type Exchange struct {
	Transport http.RoundTripper
	// Request is the caller's request.
	Request    *http.Request
	Writer     http.ResponseWriter
	RequestID  string
	Tenant     string
	Idempotent bool
	Deadline   time.Time
	// MaxIdleResetDelay is how long after a request its connection may end for the cause to be that the server had closed it
	// while it was idle. A server that ends the connection later has worked on the request.
	MaxIdleResetDelay time.Duration

	body     *replayBody
	response *http.Response
	address  string
	// conn is the connection of the current attempt, reused reports whether it has carried other requests, and refusedOn
	// lists the connections on which the server refused this request before.
	conn      net.Conn
	reused    bool
	refusedOn []net.Conn
}

// NewExchange returns an exchange for the caller's request r that writes the response to w.
func NewExchange(t http.RoundTripper, r *http.Request, w http.ResponseWriter) *Exchange {
	return &Exchange{
		Transport: t, Request: r, Writer: w, MaxIdleResetDelay: maxIdleResetDelay, body: &replayBody{source: r.Body},
	}
}

// Send sends the request to the backend server once and waits for the response headers.
func (e *Exchange) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	e.address = s.Address
	e.response = nil
	var sent, responded atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			e.conn, e.reused = i.Conn, i.Reused
			sent.Store(true)
		},
		GotFirstResponseByte: func() { responded.Store(true) },
	}
	started := time.Now()
	response, err := e.Transport.RoundTrip(e.outgoingRequest(httptrace.WithClientTrace(ctx, trace), s)) //nolint:bodyclose // closed by Deliver or Discard
	result := table.Result{Sent: sent.Load(), Latency: time.Since(started)}
	if err != nil {
		result.Evidence = classifyTransportError(ctx, sent.Load())
		idle := sent.Load() && e.reused && !responded.Load() && result.Latency <= e.MaxIdleResetDelay
		if result.Evidence == fleet.Failed && e.Idempotent && idle {
			result.Evidence = fleet.IdleClosed
		}
		result.Err = TransportError{Address: s.Address, Err: err}
	} else {
		e.response = response
		e.classifyResponse(&result)
	}
	result.BodyLost = e.body.isLost()
	return result
}

// classifyTransportError distinguishes a request that the caller canceled, a backend server that could not be connected
// to, and one that failed after it was connected.
func classifyTransportError(ctx context.Context, sent bool) fleet.Evidence {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fleet.Canceled
	case !sent:
		return fleet.Unreachable
	default:
		return fleet.Failed
	}
}

// classifyResponse sets the evidence from the status and headers of the response. A response with the request ID of
// another request counts as a failure and is not delivered.
func (e *Exchange) classifyResponse(result *table.Result) {
	h := e.response.Header
	result.Status = e.response.StatusCode
	result.Leaving = h.Get(api.HeaderLeaving) == "true"
	refused := h.Get(api.HeaderRefused)
	got := h.Get(api.HeaderRequestID)
	switch {
	case got != "" && got != e.RequestID:
		result.Evidence = fleet.Failed
		result.Err = MismatchError{Address: e.address, Want: e.RequestID, Got: got}
	case refused != "" && (got == "" && e.reused || slices.Contains(e.refusedOn, e.conn)):
		// It may be a refusal of an earlier request on the connection that the server sends once more.
		result.Evidence = fleet.Failed
		result.Err = MismatchError{Address: e.address, Want: e.RequestID, Got: got}
	case refused == api.RefusedDraining:
		result.Evidence = fleet.Draining
		result.Err = RefusedError{Address: e.address, Reason: refused}
	case refused != "":
		result.Evidence = fleet.Shed
		result.Err = RefusedError{Address: e.address, Reason: refused}
	case e.response.StatusCode >= http.StatusInternalServerError:
		result.Evidence = fleet.Failed
		result.Response = true
	default:
		result.Evidence = fleet.Succeeded
		result.Response = true
	}
	if result.Evidence == fleet.Draining || result.Evidence == fleet.Shed {
		e.refusedOn = append(e.refusedOn, e.conn)
	}
}

func (e *Exchange) outgoingRequest(ctx context.Context, s fleet.BackendServer) *http.Request {
	in := e.Request
	out := in.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = s.Address
	out.Header = outgoingHeader(in.Header)
	out.Header.Set(api.HeaderRequestID, e.RequestID)
	out.Header.Set(api.HeaderTenant, e.Tenant)
	out.Header.Set(api.HeaderTimeout, strconv.FormatInt(time.Until(e.Deadline).Milliseconds(), 10))
	out.GetBody = nil
	out.Body = &attemptBody{shared: e.body}
	// The server may have run a request that the transport sends again, and each arrival counts against the retry budget.
	if e.Idempotent && in.ContentLength == 0 && !header.TransportReplays(out.Method, out.Header) {
		out.Body = http.NoBody // an empty body would be sent in chunks
	}
	return out
}

// Deliver streams the response to the caller. If the response breaks off or does not match its digest, the result has
// Aborted set, and the caller's connection must be closed without completing the response.
func (e *Exchange) Deliver(ctx context.Context) table.Result {
	defer e.response.Body.Close() //nolint:errcheck // the body is read to its end or abandoned
	result := table.Result{Outcome: fleet.Answered, Evidence: fleet.Succeeded, Sent: true, Response: true, Status: e.response.StatusCode}
	if result.Status >= http.StatusInternalServerError {
		result.Evidence = fleet.Failed
	}
	digest := newDigestCheck(e.Request.Method, e.response)
	copyResponseHeader(e.Writer.Header(), e.response.Header, digest != nil)
	e.Writer.Header().Set(api.HeaderOutcome, string(fleet.Answered))
	e.Writer.Header().Set(api.HeaderRequestID, e.RequestID)
	e.Writer.WriteHeader(e.response.StatusCode)
	if err := e.streamBody(ctx, digest, &result); err != nil {
		result.Outcome = fleet.Unknown
		result.Aborted = true
		result.Err = err
	}
	return result
}

// streamBody copies the response body to the caller. It sets the evidence to Canceled if the caller rather than the
// backend server caused the failure.
func (e *Exchange) streamBody(ctx context.Context, digest *digestCheck, result *table.Result) error {
	var readTime, writeTime time.Duration
	buffer := make([]byte, copyBufferBytes)
	flusher := http.NewResponseController(e.Writer)
	for {
		begin := time.Now()
		n, readErr := e.response.Body.Read(buffer)
		readTime += time.Since(begin)
		digest.write(buffer[:n])
		if n > 0 {
			begin = time.Now()
			if _, err := e.Writer.Write(buffer[:n]); err != nil {
				result.Evidence = fleet.Canceled
				return BodyError{Address: e.address, Err: err}
			}
			if e.response.ContentLength < 0 {
				_ = flusher.Flush()
			}
			writeTime += time.Since(begin)
		}
		switch {
		case errors.Is(readErr, io.EOF) && digest.matches():
			return nil
		case errors.Is(readErr, io.EOF):
			result.Evidence = fleet.Failed
			return DigestError{Address: e.address}
		case readErr != nil:
			result.Evidence = classifyReadError(ctx, readTime, writeTime)
			return BodyError{Address: e.address, Err: readErr}
		}
	}
}

// classifyReadError returns Failed unless the caller canceled the request, or the deadline passed mostly while writing
// to a slow caller.
func classifyReadError(ctx context.Context, readTime, writeTime time.Duration) fleet.Evidence {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fleet.Canceled
	}
	if ctx.Err() != nil && writeTime > readTime {
		return fleet.Canceled
	}
	return fleet.Failed
}

// Discard drops the response. Closing the unread body also closes the connection, which is then not reused.
func (e *Exchange) Discard() {
	if e.response != nil {
		_ = e.response.Body.Close()
		e.response = nil
	}
}
