package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/header"
)

const (
	// heldBody is the size up to which a response body is read before any of it is passed on. A body that breaks off
	// within it can be asked for again from another server.
	heldBody = 256 << 10
	// copyBytes is the size of the pieces of a longer body.
	copyBytes = 32 << 10
	// freshFor is how long a connection that carries a request which must not be repeated may have been idle. The peer of
	// such a connection was reachable a moment ago; of an older one, only a new handshake shows it.
	freshFor = 300 * time.Millisecond
	// maxStale bounds the responses to earlier requests that are skipped on one connection.
	maxStale = 3
)

// Exchange carries one request of a caller to backend servers and the response back. It implements table.Runner.
type Exchange struct {
	Pool    *Pool
	Headers dialect.Headers
	// Request is the caller's request, and Body its body; Rest is what follows Body if it is too long to hold.
	Request   *http.Request
	Body      []byte
	Rest      io.Reader
	Writer    http.ResponseWriter
	RequestID string
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Due is when the response headers are due. It bounds the work of the backend server.
	Due time.Time

	conn     *Conn
	response *http.Response
	// held is the part of the body that was read; whole says that it is all of it.
	held  []byte
	whole bool
	// upload receives the error of a request body that is still being sent.
	upload chan error
	stop   func() bool
}

// Duplicate returns another exchange of the same request, or nil if its body can be sent only once. It may be called
// while the exchange is sending, so that it reads only fields that stay as they are.
func (e *Exchange) Duplicate() table.Runner {
	if e.Rest != nil {
		return nil
	}
	return &Exchange{
		Pool: e.Pool, Headers: e.Headers, Request: e.Request, Body: e.Body, Writer: e.Writer, RequestID: e.RequestID,
		Idempotent: e.Idempotent, Due: e.Due,
	}
}

// Send sends the request to the backend server and waits for the response.
func (e *Exchange) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	started := time.Now()
	result := e.attempt(ctx, s, started)
	if result.Err != nil && e.Idempotent && e.conn != nil && e.conn.Reused && e.response == nil && ctx.Err() == nil &&
		e.Rest == nil && reset(result.Err) {
		// The server had closed the idle connection; that says nothing about the server.
		e.Discard()
		result = e.attempt(ctx, s, started)
	}
	result.Latency = time.Since(started)
	result.BodyLost = e.Rest != nil && result.Sent
	return result
}

// reset says that the connection ended before a byte of the response.
func reset(err error) bool {
	var broken ExchangeError
	return errors.As(err, &broken) && broken.Stage == stageHead
}

// Stages of an exchange, for errors.
const (
	stageWrite = "request"
	stageHead  = "response headers"
	stageBody  = "response body"
)

func (e *Exchange) attempt(ctx context.Context, s fleet.BackendServer, started time.Time) table.Result {
	e.response, e.held, e.whole = nil, nil, false
	c, err := e.connect(ctx, s.Address)
	if err != nil {
		return table.Result{Evidence: unreached(ctx), Err: err}
	}
	e.conn = c
	e.stop = context.AfterFunc(ctx, c.Abort)
	sent, err := e.write(s)
	if err != nil {
		return e.broken(ctx, s, stageWrite, sent, started, err)
	}
	if err := e.readHead(s); err != nil {
		return e.broken(ctx, s, stageHead, true, started, err)
	}
	result := e.judge(s)
	if !result.Response {
		return result
	}
	if err := e.hold(); err != nil {
		return e.broken(ctx, s, stageBody, true, started, err)
	}
	// The context of the attempt may end before the response is delivered, which has a context of its own.
	if !e.stop() {
		return e.broken(ctx, s, stageBody, true, started, context.Cause(ctx))
	}
	return result
}

func (e *Exchange) connect(ctx context.Context, address string) (*Conn, error) {
	within := maxIdle
	if !e.Idempotent {
		within = freshFor
	}
	if c := e.Pool.Take(address, within); c != nil {
		return c, nil
	}
	return e.Pool.Dial(ctx, address)
}

// unreached tells a caller that gave up from a server that could not be reached.
func unreached(ctx context.Context) fleet.Evidence {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fleet.Canceled
	}
	return fleet.Unreachable
}

// broken is the result of an attempt whose connection failed.
func (e *Exchange) broken(
	ctx context.Context, s fleet.BackendServer, stage string, sent bool, started time.Time, err error,
) table.Result {
	r := table.Result{Evidence: fleet.Failed, Sent: sent}
	if errors.Is(ctx.Err(), context.Canceled) {
		r.Evidence = fleet.Canceled
	}
	var mismatch MismatchError
	if errors.As(err, &mismatch) {
		r.Err = err
		return r
	}
	r.Err = ExchangeError{Address: s.Address, Stage: stage, After: time.Since(started), Err: err}
	return r
}

// write sends the request and says whether any byte of it may have left the host.
func (e *Exchange) write(s fleet.BackendServer) (bool, error) {
	out := e.outgoing(s)
	if e.Rest == nil {
		var b bytes.Buffer
		if err := out.Write(&b); err != nil {
			return false, err
		}
		n, err := e.conn.tcp.Write(b.Bytes())
		return n > 0, err
	}
	// A server may respond before it has read a long body, so that the body is sent beside the wait for the response.
	e.upload = make(chan error, 1)
	go func() { e.upload <- out.Write(e.conn.tcp) }()
	return true, nil
}

func (e *Exchange) outgoing(s fleet.BackendServer) *http.Request {
	in := e.Request
	path, query, asked := strings.Cut(in.RequestURI, "?")
	h := in.Header.Clone()
	header.RemoveHop(h)
	h.Set(e.Headers.RequestID, e.RequestID)
	h.Set(e.Headers.Deadline, strconv.FormatInt(max(time.Until(e.Due).Milliseconds(), 1), 10))
	if s.Instance != "" {
		h.Set(e.Headers.ExpectInstance, s.Instance)
	}
	if h.Get("User-Agent") == "" {
		h.Set("User-Agent", "") // keeps net/http from adding its own
	}
	out := &http.Request{
		Method: in.Method, Host: in.Host, Header: h, ContentLength: in.ContentLength,
		URL: &url.URL{Scheme: "http", Host: s.Address, Opaque: path, RawQuery: query, ForceQuery: asked},
	}
	if e.Rest != nil {
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(e.Body), e.Rest))
	} else if len(e.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(e.Body))
		out.ContentLength = int64(len(e.Body))
	}
	return out
}

// readHead reads the headers of the response to this request. It skips late responses to earlier requests.
func (e *Exchange) readHead(s fleet.BackendServer) error {
	for range maxStale {
		response, err := e.readFinal() //nolint:bodyclose // its connection belongs to the exchange
		if err != nil {
			return err
		}
		got := response.Header.Get(e.Headers.RequestID)
		if got == e.RequestID || got == "" && response.StatusCode >= http.StatusBadRequest {
			e.response = response
			return nil
		}
		if !e.conn.Reused || got == "" || response.Close {
			return MismatchError{Address: s.Address, Want: e.RequestID, Got: got}
		}
		if err := discardBody(response); err != nil {
			return err
		}
	}
	return MismatchError{Address: s.Address, Want: e.RequestID}
}

// readFinal reads response headers and passes over interim responses.
func (e *Exchange) readFinal() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.conn.reader, e.Request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, StatusError{Address: e.conn.Address, Status: response.StatusCode}
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func (e *Exchange) judge(s fleet.BackendServer) table.Result {
	r := table.Result{Status: e.response.StatusCode, Sent: true}
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		r.Evidence = fleet.Draining
		r.Err = RefusedError{Address: s.Address, Status: r.Status}
	case e.response.Header.Get(e.Headers.NotExecuted) != "":
		r.Evidence = fleet.Shed
		r.Err = RefusedError{Address: s.Address, Status: r.Status}
	case !e.Idempotent && promisesNotRun(r.Status):
		// Callers take these statuses as a promise that the server did not make.
		r.Evidence = fleet.Failed
		r.Err = FailedError{Address: s.Address, Status: r.Status}
	case r.Status >= http.StatusInternalServerError:
		r.Evidence = fleet.Failed
		r.Response = true
		r.Err = FailedError{Address: s.Address, Status: r.Status}
	case r.Status < http.StatusMultipleChoices && e.response.Header.Get(e.Headers.Signature) == "":
		r.Evidence = fleet.Failed
		r.Err = UnsignedError{Address: s.Address, Status: r.Status}
	default:
		r.Evidence = fleet.Succeeded
		r.Response = true
	}
	return r
}

// promisesNotRun says that callers take the status to mean that the request was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// hold reads the body up to the size that is held.
func (e *Exchange) hold() error {
	size := min(max(e.response.ContentLength, 0), heldBody)
	b := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	n, err := b.ReadFrom(io.LimitReader(e.response.Body, heldBody))
	if err != nil {
		return err
	}
	e.held = b.Bytes()
	e.whole = n < heldBody || n == e.response.ContentLength
	return nil
}

// Deliver passes the response on. A response that breaks off has Aborted set; the caller's connection must then be closed
// without completing the response.
func (e *Exchange) Deliver(ctx context.Context) table.Result {
	r := table.Result{Outcome: fleet.Answered, Evidence: fleet.Succeeded, Sent: true, Response: true, Status: e.response.StatusCode}
	if r.Status >= http.StatusInternalServerError {
		r.Evidence = fleet.Failed
	}
	e.stop = context.AfterFunc(ctx, e.conn.Abort)
	e.copyHeader()
	e.Writer.WriteHeader(r.Status)
	if err := e.deliverBody(ctx, &r); err != nil {
		r.Outcome, r.Aborted, r.Err = fleet.Unknown, true, err
		e.abandon()
		return r
	}
	e.finish()
	return r
}

func (e *Exchange) copyHeader() {
	h := e.response.Header.Clone()
	header.RemoveHop(h)
	if e.whole && h.Get("Content-Length") == "" && e.Request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(e.held)))
	}
	out := e.Writer.Header()
	for name, values := range h {
		out[name] = values
	}
}

func (e *Exchange) deliverBody(ctx context.Context, r *table.Result) error {
	if _, err := e.Writer.Write(e.held); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		r.Evidence = fleet.Canceled
		return ExchangeError{Address: e.conn.Address, Stage: "delivery", Err: err}
	}
	if e.whole {
		return nil
	}
	buffer := make([]byte, copyBytes)
	for {
		n, readErr := e.response.Body.Read(buffer)
		if n > 0 {
			if _, err := e.Writer.Write(buffer[:n]); err != nil {
				r.Evidence = fleet.Canceled
				return ExchangeError{Address: e.conn.Address, Stage: "delivery", Err: err}
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return nil
		case readErr != nil:
			r.Evidence = fleet.Failed
			if errors.Is(ctx.Err(), context.Canceled) {
				r.Evidence = fleet.Canceled
			}
			return ExchangeError{Address: e.conn.Address, Stage: stageBody, Err: readErr}
		}
	}
}

// finish parks the connection if both directions are complete, and else closes it.
func (e *Exchange) finish() {
	c := e.conn
	e.conn = nil
	e.stop()
	if e.response.Close || !e.uploaded() {
		c.Close()
		return
	}
	e.Pool.Park(c, e.response.Header)
}

// uploaded says that the request body was sent to its end.
func (e *Exchange) uploaded() bool {
	if e.upload == nil {
		return true
	}
	select {
	case err := <-e.upload:
		return err == nil
	default:
		return false
	}
}

// Discard drops the response. The connection is kept if the response is short and complete.
func (e *Exchange) Discard() {
	if e.conn == nil {
		return
	}
	if e.response != nil && e.Rest == nil && discardBody(e.response) == nil {
		e.finish()
		return
	}
	e.abandon()
}

// abandon resets the connection, so that the server stops its work.
func (e *Exchange) abandon() {
	c := e.conn
	e.conn = nil
	if c == nil {
		return
	}
	e.stop()
	c.Abort()
}
