package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/pool"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/header"
)

const (
	copyBufferBytes = 32 << 10
	// maxTargetsPerRequest bounds the nodes tried for one request, which keeps a network partition from using up its
	// deadline.
	maxTargetsPerRequest = 3
)

// ContactRecorder records whether a message to a node got a response.
type ContactRecorder interface {
	ObserveContact(id string, succeeded bool, now time.Time)
}

// ForwardRequest is a caller's request that is forwarded to another node.
type ForwardRequest struct {
	Context context.Context
	Writer  http.ResponseWriter
	Request *http.Request
	// Targets lists the nodes to try in order. The next one is tried only if the request did not reach the previous one,
	// or if it is idempotent and has no body. In the latter case it is marked as repeated, and the next node charges its retry
	// budget for it.
	Targets    []fleet.Host
	RequestID  string
	Tenant     string
	Idempotent bool
	// HasKey reports whether the request has an idempotency key. The only target is then the owner of the key.
	HasKey   bool
	Deadline time.Time
}

// forwardJob is a request in the queue of the forward pool. Whoever sets claimed, a worker or the handler whose context
// ended, produces the result.
type forwardJob struct {
	request ForwardRequest
	claimed atomic.Bool
	done    chan table.Result
}

// Forwarder forwards requests to other nodes on a fixed-size worker pool.
type Forwarder struct {
	// HostID identifies this host to the nodes that receive forwarded requests.
	HostID    string
	Transport http.RoundTripper
	Contacts  ContactRecorder

	pool *pool.Pool[*forwardJob]
}

// NewForwarder returns a forwarder that forwards up to workers requests concurrently and queues as many more.
func NewForwarder(hostID string, t http.RoundTripper, c ContactRecorder, workers int) *Forwarder {
	f := &Forwarder{HostID: hostID, Transport: t, Contacts: c}
	f.pool = pool.New("forward", workers, workers, f.process)
	return f
}

// Close stops the workers after the requests in progress have ended.
func (f *Forwarder) Close() {
	f.pool.Close()
}

// Forward sends the request to one of its targets and streams the response to the caller. Without a response, the result
// holds the outcome to report to the caller.
func (f *Forwarder) Forward(req ForwardRequest) table.Result {
	j := &forwardJob{request: req, done: make(chan table.Result, 1)}
	if err := f.pool.TrySubmit(j); err != nil {
		return table.Result{Outcome: once.ForwardOutcome(req.HasKey, false), Err: err}
	}
	select {
	case result := <-j.done:
		return result
	case <-req.Context.Done():
	}
	if j.claimed.CompareAndSwap(false, true) {
		return table.Result{Outcome: once.ForwardOutcome(req.HasKey, false), Err: context.Cause(req.Context)}
	}
	// A worker is still using the request and the response writer. Its exchange ends with the context.
	return <-j.done
}

func (f *Forwarder) process(j *forwardJob) {
	if j.claimed.CompareAndSwap(false, true) {
		j.done <- f.tryTargets(j.request)
	}
}

func (f *Forwarder) tryTargets(req ForwardRequest) table.Result {
	result := table.Result{Err: NoTargetError{Tried: len(req.Targets)}}
	body := &sharedBody{source: req.Request.Body}
	for _, target := range req.Targets[:min(len(req.Targets), maxTargetsPerRequest)] {
		sent := result.Sent
		result = f.tryTarget(req, target, body, sent)
		result.Sent = result.Sent || sent
		if result.Response {
			return result
		}
		if !mayTryNextTarget(req, result) {
			break
		}
	}
	result.Outcome = once.ForwardOutcome(req.HasKey, result.Sent)
	return result
}

// mayTryNextTarget reports whether the request may be sent to another node after the result r.
func mayTryNextTarget(req ForwardRequest, r table.Result) bool {
	if req.HasKey || req.Context.Err() != nil {
		return false
	}
	return !r.Sent || (req.Idempotent && req.Request.ContentLength == 0)
}

// tryTarget forwards the request to one node. repeated reports whether it may have reached another node before.
func (f *Forwarder) tryTarget(req ForwardRequest, target fleet.Host, body *sharedBody, repeated bool) table.Result {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	out := f.newOutgoingRequest(httptrace.WithClientTrace(req.Context, trace), req, target, body)
	if repeated {
		out.Header.Set(api.HeaderRepeated, "true")
	}
	resp, err := f.Transport.RoundTrip(out)
	if err != nil {
		if req.Context.Err() == nil {
			f.Contacts.ObserveContact(target.ID, false, time.Now())
		}
		return table.Result{
			Sent: sent.Load(),
			Err:  UnreachableError{HostID: target.ID, Address: target.PeerAddress, Cause: err},
		}
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get(api.HeaderRequestID); got != req.RequestID {
		return table.Result{Sent: true, Err: MismatchError{HostID: target.ID, Want: req.RequestID, Got: got}}
	}
	f.Contacts.ObserveContact(target.ID, true, time.Now())
	return relayResponse(req, target, resp)
}

func (f *Forwarder) newOutgoingRequest(ctx context.Context, req ForwardRequest, target fleet.Host, body *sharedBody) *http.Request {
	out := req.Request.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = target.PeerAddress
	out.URL.Path = api.PathForward + req.Request.URL.Path
	if req.Request.URL.RawPath != "" {
		out.URL.RawPath = api.PathForward + req.Request.URL.RawPath
	}
	if out.Header == nil {
		out.Header = http.Header{}
	}
	header.RemoveHopByHop(out.Header)
	out.Header.Del(api.HeaderRepeated) // the caller's
	out.Header.Set(api.HeaderForwardedBy, f.HostID)
	out.Header.Set(api.HeaderTenant, req.Tenant)
	out.Header.Set(api.HeaderRequestID, req.RequestID)
	out.Header.Set(api.HeaderTimeout, strconv.FormatInt(max(1, time.Until(req.Deadline).Milliseconds()), 10))
	// The other node may have sent a request to a backend server that the transport sends again.
	out.GetBody = nil
	out.Body = body
	if req.Idempotent && req.Request.ContentLength == 0 && !header.TransportReplays(out.Method, out.Header) {
		out.Body = http.NoBody // an empty body would be sent in chunks
	}
	return out
}

// sharedBody is the caller's request body. Close does nothing, because the transport closes the body after each target
// and the next target needs it.
type sharedBody struct {
	source io.Reader
}

func (b *sharedBody) Read(p []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	return b.source.Read(p)
}

func (*sharedBody) Close() error { return nil }

// relayResponse streams the response of the other node, which carries the outcome, to the caller. It sets Aborted in the
// result if the response ends early.
func relayResponse(req ForwardRequest, target fleet.Host, resp *http.Response) table.Result {
	result := table.Result{
		Outcome: fleet.Outcome(resp.Header.Get(api.HeaderOutcome)), Sent: true, Response: true, Status: resp.StatusCode,
	}
	relayed := resp.Header.Clone()
	header.RemoveHopByHop(relayed)
	for name, values := range relayed {
		req.Writer.Header()[name] = values
	}
	req.Writer.WriteHeader(resp.StatusCode)
	if err := copyBody(req.Writer, resp); err != nil {
		result.Outcome = fleet.Unknown
		result.Aborted = true
		result.Err = BodyError{HostID: target.ID, Cause: err}
	}
	return result
}

func copyBody(w http.ResponseWriter, resp *http.Response) error {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if resp.ContentLength < 0 {
				_ = flusher.Flush()
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
