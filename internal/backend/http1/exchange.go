package http1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"egretline.example/egretline/internal/decide/bytebudget"
	"egretline.example/egretline/internal/decide/pause"
	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/header"
)

const (
	// maxBufferedResponseBytes is how much of a response body is read before any of it is sent to the caller. If the body
	// is interrupted before that, the request can be retried on another server.
	maxBufferedResponseBytes = 256 << 10
	// minBufferedResponseBytes is the least that is worth buffering if the byte budget does not allow more.
	minBufferedResponseBytes = 4 << 10
	// copyBufferBytes is the buffer size for copying the rest of a longer body.
	copyBufferBytes = 32 << 10
	// maxIdleForNonIdempotent is how long a connection may have been idle before it carries a request that must not run
	// twice. After a longer idle time, only a new handshake proves that the server is still reachable.
	maxIdleForNonIdempotent = 300 * time.Millisecond
	// maxResponsesRead bounds how many responses are read on one connection to find the one to the current request.
	maxResponsesRead = 3
)

// Gate tells whether a backend server may still get a request that was assigned to it.
type Gate interface {
	// CheckSend returns an error if the server has asked for no more requests since, or is not registered any more.
	CheckSend(now time.Time, s fleet.BackendServer) error
}

// PauseObserver notices pauses of the node's process.
type PauseObserver interface {
	// AwaitRefresh returns at once, unless the process was paused and a refresh is in progress. It then waits for the refresh for
	// a bounded time.
	AwaitRefresh(ctx context.Context)
	// PausedSince reports whether a pause of the process has ended after the time.
	PausedSince(t time.Time) bool
}

// Exchange forwards one request of a caller to a backend server and sends the response back. It implements table.Runner.
type Exchange struct {
	Pool    *Pool
	Gate    Gate
	Headers dialect.Headers
	// Request is the caller's request. BufferedBody is its body, or the start of it if the body is too long to buffer;
	// RemainingBody is then the rest, which can be read only once.
	Request       *http.Request
	BufferedBody  []byte
	RemainingBody io.Reader
	// Delivery takes the response, also that of a duplicate.
	Delivery  *Delivery
	RequestID string
	// Customer is the name that is sent to the backend server; empty if the caller's key is not known or not needed.
	Customer string
	// DropCredentials reports whether the caller's key is left out, because it is meant for the node alone.
	DropCredentials bool
	// HasCallerLeft reports whether the caller has closed its connection. It is nil if the context of an attempt ends then.
	HasCallerLeft func() bool
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// ResponseDeadline is when the response headers are due. The backend server is sent the time that is left until then.
	ResponseDeadline time.Time
	// Pauses delays requests after a pause of the process; nil if pauses are not noticed.
	Pauses PauseObserver
	// RegistryAge returns the age of what the node knows of the backend servers, for the log. It may be nil.
	RegistryAge func() time.Duration

	conn     *Conn
	response *http.Response
	// buffered is the start of the response body; fullyBuffered reports whether it is the whole body.
	buffered      []*piece
	fullyBuffered bool
	// upload is the sending of a request body in a goroutine; nil if the body was sent synchronously.
	upload *upload
	// idleClosed reports whether an earlier attempt found that the server had closed an idle connection. Further attempts open
	// connections, because the others that are idle may be closed too.
	idleClosed bool
	// sentRegistryAge is the value of RegistryAge when the last Send sent the request; zero if it did not.
	sentRegistryAge time.Duration
	// notice is what the server asked for in the responses read by the last Send.
	notice serverNotice
	// startedAt is when the last Send started.
	startedAt time.Time
	// stopAbort cancels the reset of the connection that is due when the context of the attempt ends. It reports false if
	// the reset has already started. It is nil if no reset is due.
	stopAbort func() bool
}

// upload is the sending of a request body while the response is awaited and delivered.
type upload struct {
	// done is closed when the sending has ended, with err as its result.
	done chan struct{}
	err  error
}

// complete reports whether the whole body was sent.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// Duplicate returns another exchange for the same request, or nil if its body can be sent only once. It may be called
// while Send is running, and therefore reads only fields that do not change after construction.
func (e *Exchange) Duplicate() table.Runner {
	if e.RemainingBody != nil {
		return nil
	}
	return &Exchange{
		Pool: e.Pool, Gate: e.Gate, Headers: e.Headers, Request: e.Request, BufferedBody: e.BufferedBody, Delivery: e.Delivery,
		RequestID: e.RequestID, Customer: e.Customer, DropCredentials: e.DropCredentials, Idempotent: e.Idempotent,
		ResponseDeadline: e.ResponseDeadline, Pauses: e.Pauses, RegistryAge: e.RegistryAge,
	}
}

// Send sends the request to the backend server once, and reads the response headers and the start of the body. It never sends
// it again by itself: a server that resets a reused connection may have run the request, and each arrival counts against the
// retry budget.
func (e *Exchange) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	if e.HasCallerLeft != nil && e.HasCallerLeft() {
		return table.Result{Evidence: fleet.Canceled, Err: CallerLeftError{}}
	}
	started := time.Now()
	e.startedAt = started
	e.notice, e.sentRegistryAge = serverNotice{}, 0
	result := e.sendOnce(ctx, s, started)
	if ctx.Err() == nil && e.endedIdleConn(result.Err, started) {
		result.Evidence, e.idleClosed = fleet.IdleClosed, true
	}
	result.Latency = time.Since(started)
	result.RegistryAge = e.sentRegistryAge
	result.Bytes = e.exchangedBytes()
	result.BodyLost = e.RemainingBody != nil && result.Sent
	result.Leaving, result.PauseFor, result.PauseErr = e.notice.Leaving, e.notice.PauseFor, e.notice.PauseErr
	return result
}

// exchangedBytes returns the size of the bodies of request and response. A response of unknown length counts as far as it
// was buffered.
func (e *Exchange) exchangedBytes() int64 {
	n := max(int64(len(e.BufferedBody)), e.Request.ContentLength)
	if e.response != nil {
		n += max(e.bufferedBytes(), e.response.ContentLength)
	}
	return n
}

// bufferedBytes returns the length of the start of the response body.
func (e *Exchange) bufferedBytes() int64 {
	var n int64
	for _, p := range e.buffered {
		n += int64(len(p.data))
	}
	return n
}

// endedIdleConn reports whether the error of an idempotent request is that of an idle connection which the server had closed.
func (e *Exchange) endedIdleConn(err error, sent time.Time) bool {
	return err != nil && e.Idempotent && e.conn != nil && e.conn.Reused && e.response == nil && closedBeforeResponse(err) &&
		time.Since(sent) <= e.Pool.MaxIdleResetDelay
}

// closedBeforeResponse reports whether the server closed or reset the connection before the first byte of a response.
func closedBeforeResponse(err error) bool {
	var exchangeErr ExchangeError
	return errors.As(err, &exchangeErr) && exchangeErr.Stage == stageResponseHeaders &&
		(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// Values of ExchangeError.Stage.
const (
	stageRequest         = "request"
	stageResponseHeaders = "response headers"
	stageResponseBody    = "response body"
	stageDelivery        = "delivery"
)

func (e *Exchange) sendOnce(ctx context.Context, s fleet.BackendServer, started time.Time) table.Result {
	e.response, e.buffered, e.fullyBuffered = nil, nil, false
	c, err := e.connect(ctx, s.Address)
	if err != nil {
		return table.Result{Evidence: connectEvidence(ctx), Err: err}
	}
	if err := e.checkSend(ctx, s); err != nil {
		c.Close()
		return table.Result{Evidence: withheldEvidence(ctx), Err: err}
	}
	e.conn = c
	e.abortAtEnd(ctx)
	if e.RegistryAge != nil {
		e.sentRegistryAge = e.RegistryAge()
	}
	sent, err := e.writeRequest(s)
	if err != nil {
		return e.failedResult(ctx, s, stageRequest, sent, started, err)
	}
	if err := e.readResponseHeaders(s); err != nil {
		return e.failedResult(ctx, s, stageResponseHeaders, true, started, err)
	}
	result := e.classify(s)
	if !result.Response {
		return result
	}
	if err := e.bufferBody(); err != nil {
		return e.failedResult(ctx, s, stageResponseBody, true, started, err)
	}
	// The context of the attempt may end before Deliver runs, which is given another context.
	if !e.cancelAbort() {
		return e.failedResult(ctx, s, stageResponseBody, true, started, context.Cause(ctx))
	}
	return result
}

// checkSend returns an error if the request must not be sent to the server any more. It waits for the refresh after a pause.
func (e *Exchange) checkSend(ctx context.Context, s fleet.BackendServer) error {
	if e.Pauses != nil {
		e.Pauses.AwaitRefresh(ctx)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return e.Gate.CheckSend(time.Now(), s)
}

// withheldEvidence classifies a request that was not sent on an open connection.
func withheldEvidence(ctx context.Context) fleet.Evidence {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fleet.Canceled
	}
	return fleet.Withheld
}

// abortAtEnd resets the connection when the context ends. If the deadline passed and the process was paused during the attempt,
// the response may have arrived in the pause, and there is time to read it first.
func (e *Exchange) abortAtEnd(ctx context.Context) {
	var waiting atomic.Bool
	c, started, decided := e.conn, e.startedAt, make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		waits := errors.Is(ctx.Err(), context.DeadlineExceeded) && e.Pauses != nil && e.Pauses.PausedSince(started)
		waiting.Store(waits)
		close(decided)
		if waits {
			<-time.After(pause.UnreadResponseTimeout)
			if !waiting.CompareAndSwap(true, false) {
				return
			}
		}
		c.Abort()
	})
	e.stopAbort = func() bool {
		if stop() {
			return true
		}
		<-decided
		return waiting.CompareAndSwap(true, false)
	}
}

// cancelAbort makes the end of the attempt's context have no effect on the connection. It reports false if the context has
// ended before.
func (e *Exchange) cancelAbort() bool {
	if e.stopAbort == nil {
		return true
	}
	stopped := e.stopAbort()
	e.stopAbort = nil
	return stopped
}

func (e *Exchange) connect(ctx context.Context, address string) (*Conn, error) {
	if !e.idleClosed {
		if c := e.Pool.Take(address, e.RequestID, maxIdle(e.Idempotent)); c != nil {
			return c, nil
		}
	}
	return e.Pool.Dial(ctx, address)
}

// connectEvidence classifies a failure to connect: either the caller canceled the request, or the server is unreachable.
func connectEvidence(ctx context.Context) fleet.Evidence {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fleet.Canceled
	}
	return fleet.Unreachable
}

// failedResult returns the result of an attempt that failed on an open connection.
func (e *Exchange) failedResult(
	ctx context.Context, s fleet.BackendServer, stage string, sent bool, started time.Time, err error,
) table.Result {
	r := table.Result{Evidence: fleet.Failed, Sent: sent}
	if errors.Is(ctx.Err(), context.Canceled) {
		r.Evidence = fleet.Canceled
		if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
			err = cause
		}
	}
	var mismatch ResponseMismatchError
	if errors.As(err, &mismatch) {
		r.Err = err
		return r
	}
	r.Err = ExchangeError{Address: s.Address, Stage: stage, After: time.Since(started), Err: err}
	return r
}

// writeRequest sends the request and reports whether any byte of it may have left the host.
func (e *Exchange) writeRequest(s fleet.BackendServer) (bool, error) {
	head := e.requestHead(s)
	if e.RemainingBody == nil {
		n, err := e.conn.stream.Write(append(head, e.BufferedBody...))
		return n > 0, err
	}
	// The server may respond before it has read a long body, so the body is sent while the response is awaited.
	u, stream := &upload{done: make(chan struct{})}, e.conn.stream
	e.upload = u
	go func() {
		defer close(u.done)
		u.err = e.sendLongBody(stream, head)
	}()
	return true, nil
}

// readResponseHeaders reads the headers of the response to this request and skips late responses to earlier requests.
func (e *Exchange) readResponseHeaders(s fleet.BackendServer) error {
	for range maxResponsesRead {
		response, err := e.conn.readFinalResponse(e.Request) //nolint:bodyclose // the exchange closes the connection
		if err != nil {
			return err
		}
		e.notice.add(response, e.Headers)
		gotID := response.Header.Get(e.Headers.RequestID)
		if gotID == e.RequestID || gotID == "" && e.isOnlyRequest() && response.StatusCode >= http.StatusBadRequest {
			e.response = response
			return nil
		}
		if gotID == "" || e.isOnlyRequest() || response.Close {
			return ResponseMismatchError{Address: s.Address, Want: e.RequestID, Got: gotID}
		}
		if err := e.conn.discardBody(response); err != nil {
			return err
		}
	}
	return ResponseMismatchError{Address: s.Address, Want: e.RequestID}
}

// isOnlyRequest reports whether the connection has carried no other request. A response without a request ID can then
// belong to no other one.
func (e *Exchange) isOnlyRequest() bool { return !e.conn.Reused }

// classify returns the result that the status and the headers of the response imply.
func (e *Exchange) classify(s fleet.BackendServer) table.Result {
	r := table.Result{Status: e.response.StatusCode, Sent: true}
	refused := e.response.Header.Get(e.Headers.NotExecuted) != ""
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		r.Evidence = fleet.Draining
		r.Err = NotExecutedError{Address: s.Address, Status: r.Status}
	case refused && r.Status < http.StatusBadRequest:
		r.Evidence = fleet.Failed
		r.Err = UnexpectedStatusError{Address: s.Address, Status: r.Status}
	case refused:
		r.Evidence = fleet.Shed
		r.Err = NotExecutedError{Address: s.Address, Status: r.Status}
	case !e.Idempotent && impliesNotRun(r.Status):
		// Callers conclude from these statuses that the request did not run, which the server has not confirmed.
		r.Evidence = fleet.Failed
		r.Err = ServerError{Address: s.Address, Status: r.Status}
	case r.Status >= http.StatusInternalServerError:
		r.Evidence = fleet.Failed
		r.Response = true
		r.Err = ServerError{Address: s.Address, Status: r.Status}
	case r.Status < http.StatusMultipleChoices && e.response.Header.Get(e.Headers.Signature) == "":
		r.Evidence = fleet.Failed
		r.Err = MissingSignatureError{Address: s.Address, Status: r.Status}
	default:
		r.Evidence = fleet.Succeeded
		r.Response = true
	}
	if r.Evidence == fleet.Draining || r.Evidence == fleet.Shed {
		e.conn.refusedIDs = append(e.conn.refusedIDs, e.RequestID)
	}
	return r
}

// impliesNotRun reports whether callers conclude from the status that the request did not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// bufferBody reads up to maxBufferedResponseBytes of the response body, or as much as the byte budget allows.
func (e *Exchange) bufferBody() error {
	length := e.response.ContentLength
	if e.response.Body == http.NoBody || length == 0 {
		e.fullyBuffered = true
		return nil
	}
	if length > 0 {
		return e.bufferKnownLength(length)
	}
	for size := 0; size < maxBufferedResponseBytes && e.Delivery.Account.TryTake(bytebudget.Responses, copyBufferBytes); {
		p := newPiece()
		p.heldBytes = copyBufferBytes
		e.buffered = append(e.buffered, p)
		n, err := readFull(e.response.Body, p.buffer[:])
		p.data = p.buffer[:n]
		size += n
		switch {
		case errors.Is(err, io.EOF):
			e.fullyBuffered = true
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// readFull fills b. Unlike io.ReadFull, it returns the reader's own error, because only io.EOF means that a body is complete.
func readFull(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var read int
		read, err = r.Read(b[n:])
		n += read
	}
	return n, err
}

// bufferKnownLength reads a body of the given length, or its start.
func (e *Exchange) bufferKnownLength(length int64) error {
	size := min(length, maxBufferedResponseBytes)
	for !e.Delivery.Account.TryTake(bytebudget.Responses, size) {
		if size /= 2; size < minBufferedResponseBytes {
			return nil
		}
	}
	p := &piece{data: make([]byte, size), heldBytes: size}
	e.buffered = []*piece{p}
	if _, err := io.ReadFull(e.response.Body, p.data); err != nil {
		return err
	}
	e.fullyBuffered = size == length
	return nil
}

// Deliver passes the response to the Delivery. It returns when it has read the whole response, which the caller may still be
// reading then. If the response is interrupted, the result has Aborted set, and the caller's connection must be closed
// without completing the response.
func (e *Exchange) Deliver(ctx context.Context) table.Result {
	r := table.Result{Outcome: fleet.Answered, Evidence: fleet.Succeeded, Sent: true, Response: true, Status: e.response.StatusCode}
	if r.Status >= http.StatusInternalServerError {
		r.Evidence = fleet.Failed
	}
	e.abortAtEnd(ctx)
	h := e.responseHeader()
	e.Delivery.start(r.Status, h, e.buffered)
	e.buffered = nil
	if err := e.readRest(ctx, &r); err != nil {
		e.Delivery.end(err, false)
		r.Outcome, r.Aborted, r.Err = fleet.Unknown, true, err
		e.abortConn()
		return r
	}
	uploading := e.awaitsUpload(h)
	e.Delivery.end(nil, uploading)
	if uploading {
		select {
		case <-e.upload.done:
		case <-ctx.Done():
		}
	}
	e.releaseConn()
	return r
}

// awaitsUpload reports whether the rest of the request body follows the response, because the server may read on. It does not
// if the caller needs the end of the exchange to find the end of the response.
func (e *Exchange) awaitsUpload(h http.Header) bool {
	return e.upload != nil && !e.upload.complete() && !e.response.Close && h.Get("Content-Length") != ""
}

func (e *Exchange) responseHeader() http.Header {
	h := e.response.Header.Clone()
	header.RemoveHopByHop(h)
	if e.fullyBuffered && h.Get("Content-Length") == "" && e.Request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(e.bufferedBytes(), 10))
	}
	return h
}

// readRest reads the rest of a body that is not fully buffered.
func (e *Exchange) readRest(ctx context.Context, r *table.Result) error {
	for !e.fullyBuffered {
		p := newPiece()
		n, readErr := e.response.Body.Read(p.buffer[:])
		if p.data = p.buffer[:n]; n > 0 {
			if err := e.Delivery.add(ctx, p); err != nil {
				r.Evidence = fleet.Canceled
				return ExchangeError{Address: e.conn.Address, Stage: stageDelivery, Err: err}
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
			return ExchangeError{Address: e.conn.Address, Stage: stageResponseBody, Err: readErr}
		}
	}
	return nil
}

// dropBuffered gives back the bytes of a response that is not delivered.
func (e *Exchange) dropBuffered() {
	for _, p := range e.buffered {
		e.Delivery.Account.Release(bytebudget.Responses, p.heldBytes)
	}
	e.buffered = nil
}

// releaseConn returns the connection to the pool if the request and the response are complete, and closes it otherwise.
func (e *Exchange) releaseConn() {
	c := e.conn
	e.conn = nil
	if !e.cancelAbort() || e.response.Close || e.upload != nil && !e.upload.complete() {
		c.Close()
		return
	}
	e.Pool.Put(c, e.response.Header)
}

// Discard drops the response. The connection returns to the pool if the response is short and complete.
func (e *Exchange) Discard() {
	e.dropBuffered()
	if e.conn == nil {
		return
	}
	if e.response != nil && e.RemainingBody == nil && e.conn.discardBody(e.response) == nil {
		e.releaseConn()
		return
	}
	e.abortConn()
}

// abortConn resets the connection, which makes the server cancel the request.
func (e *Exchange) abortConn() {
	c := e.conn
	e.conn = nil
	if c == nil {
		return
	}
	e.cancelAbort()
	c.Abort()
}
