package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

// Exchange carries one request of a caller to backend servers and the response back. It implements table.Runner.
type Exchange struct {
	Transport http.RoundTripper
	// Request is the caller's request.
	Request    *http.Request
	Writer     http.ResponseWriter
	RequestID  string
	Tenant     string
	Idempotent bool
	Deadline   time.Time

	body     *replayBody
	response *http.Response
	address  string
}

// NewExchange returns an exchange for the caller's request that writes its response to w.
func NewExchange(t http.RoundTripper, r *http.Request, w http.ResponseWriter) *Exchange {
	return &Exchange{Transport: t, Request: r, Writer: w, body: &replayBody{source: r.Body}}
}

// Send sends the request to the backend server and waits for the response headers.
func (e *Exchange) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	e.address = s.Address
	e.response = nil
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	started := time.Now()
	response, err := e.Transport.RoundTrip(e.outgoing(httptrace.WithClientTrace(ctx, trace), s)) //nolint:bodyclose // closed by Deliver or Discard
	result := table.Result{Sent: sent.Load(), Latency: time.Since(started)}
	if err != nil {
		result.Evidence = classify(ctx, sent.Load())
		result.Err = TransportError{Address: s.Address, Err: err}
	} else {
		e.response = response
		e.judge(&result)
	}
	result.BodyLost = e.body.lost()
	return result
}

// classify tells a caller that gave up from a backend server that failed.
func classify(ctx context.Context, sent bool) fleet.Evidence {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fleet.Canceled
	case !sent:
		return fleet.Unreachable
	default:
		return fleet.Failed
	}
}

func (e *Exchange) judge(result *table.Result) {
	h := e.response.Header
	result.Status = e.response.StatusCode
	result.Leaving = h.Get(api.HeaderLeaving) == "true"
	refused := h.Get(api.HeaderRefused)
	got := h.Get(api.HeaderRequestID)
	switch {
	case got != "" && got != e.RequestID:
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
}

func (e *Exchange) outgoing(ctx context.Context, s fleet.BackendServer) *http.Request {
	in := e.Request
	out := in.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = s.Address
	out.Header = forwardHeader(in.Header)
	out.Header.Set(api.HeaderRequestID, e.RequestID)
	out.Header.Set(api.HeaderTenant, e.Tenant)
	out.Header.Set(api.HeaderTimeout, strconv.FormatInt(time.Until(e.Deadline).Milliseconds(), 10))
	out.GetBody = nil
	out.Body = &attemptBody{body: e.body}
	if e.Idempotent && in.ContentLength == 0 {
		out.Body = http.NoBody
	}
	// A request that is not idempotent keeps a non-nil body even if it is empty. Without one, the transport would replay
	// a request with an Idempotency-Key header when a reused connection breaks.
	return out
}

// Deliver streams the response to the caller. A response that breaks off or does not match its digest has Aborted set;
// the caller's connection must then be closed without completing the response.
func (e *Exchange) Deliver(ctx context.Context) table.Result {
	defer e.response.Body.Close() //nolint:errcheck // the body is read to its end or abandoned
	result := table.Result{Outcome: fleet.Answered, Evidence: fleet.Succeeded, Sent: true, Response: true, Status: e.response.StatusCode}
	if result.Status >= http.StatusInternalServerError {
		result.Evidence = fleet.Failed
	}
	digest := newDigest(e.Request.Method, e.response)
	copyResponseHeader(e.Writer.Header(), e.response.Header, digest != nil)
	e.Writer.Header().Set(api.HeaderOutcome, string(fleet.Answered))
	e.Writer.Header().Set(api.HeaderRequestID, e.RequestID)
	e.Writer.WriteHeader(e.response.StatusCode)
	if err := e.stream(ctx, digest, &result); err != nil {
		result.Outcome = fleet.Unknown
		result.Aborted = true
		result.Err = err
	}
	return result
}

// stream copies the body. It sets the evidence to Canceled if the caller, not the backend server, is at fault.
func (e *Exchange) stream(ctx context.Context, digest *digestCheck, result *table.Result) error {
	var reading, writing time.Duration
	buffer := make([]byte, copyBufferBytes)
	flusher := http.NewResponseController(e.Writer)
	for {
		begin := time.Now()
		n, readErr := e.response.Body.Read(buffer)
		reading += time.Since(begin)
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
			writing += time.Since(begin)
		}
		switch {
		case errors.Is(readErr, io.EOF) && digest.matches():
			return nil
		case errors.Is(readErr, io.EOF):
			result.Evidence = fleet.Failed
			return DigestError{Address: e.address}
		case readErr != nil:
			result.Evidence = brokenBody(ctx, reading, writing)
			return BodyError{Address: e.address, Err: readErr}
		}
	}
}

// brokenBody blames the backend server unless the caller left, or took most of the time by reading slowly.
func brokenBody(ctx context.Context, reading, writing time.Duration) fleet.Evidence {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fleet.Canceled
	}
	if ctx.Err() != nil && writing > reading {
		return fleet.Canceled
	}
	return fleet.Failed
}

// Discard drops the response. Closing an unread body closes its connection, so that it is not reused.
func (e *Exchange) Discard() {
	if e.response != nil {
		_ = e.response.Body.Close()
		e.response = nil
	}
}
