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
	// maxTargets bounds how many nodes one request is offered to, so that a partition does not use up its deadline.
	maxTargets = 3
)

// Contacts records whether a node could be reached.
type Contacts interface {
	ObserveContact(id string, succeeded bool, now time.Time)
}

// Hop is one request of a caller on its way to another node.
type Hop struct {
	Context context.Context
	Writer  http.ResponseWriter
	Request *http.Request
	// Targets lists the nodes to offer the request to. A further one is used only if the request did not reach the one
	// before it, or if it is idempotent and has no body.
	Targets    []fleet.Host
	RequestID  string
	Tenant     string
	Idempotent bool
	// Keyed says that the request has an idempotency key whose home is the only target.
	Keyed    bool
	Deadline time.Time
}

// job is a hop in the queue of the forward pool. Taken settles whether a worker or the waiting handler ends it.
type job struct {
	hop   Hop
	taken atomic.Bool
	done  chan table.Result
}

// Forwarder forwards requests to other nodes on a fixed pool of workers.
type Forwarder struct {
	// HostID is the ID of this host.
	HostID    string
	Transport http.RoundTripper
	Contacts  Contacts

	pool *pool.Pool[*job]
}

// NewForwarder returns a forwarder that forwards at most the given number of requests at the same time. As many more
// wait for a worker.
func NewForwarder(hostID string, t http.RoundTripper, c Contacts, workers int) *Forwarder {
	f := &Forwarder{HostID: hostID, Transport: t, Contacts: c}
	f.pool = pool.New("forward", workers, workers, f.work)
	return f
}

// Close waits until the requests that are being forwarded have ended.
func (f *Forwarder) Close() {
	f.pool.Close()
}

// Forward sends the request to a target and streams its response. Without a response it returns a result with the
// outcome that the caller is told.
func (f *Forwarder) Forward(h Hop) table.Result {
	j := &job{hop: h, done: make(chan table.Result, 1)}
	if err := f.pool.TrySubmit(j); err != nil {
		return table.Result{Outcome: once.ForwardOutcome(h.Keyed, false), Err: err}
	}
	select {
	case result := <-j.done:
		return result
	case <-h.Context.Done():
	}
	if j.taken.CompareAndSwap(false, true) {
		return table.Result{Outcome: once.ForwardOutcome(h.Keyed, false), Err: context.Cause(h.Context)}
	}
	// A worker uses the response writer until its exchange ends with the context.
	return <-j.done
}

func (f *Forwarder) work(j *job) {
	if j.taken.CompareAndSwap(false, true) {
		j.done <- f.run(j.hop)
	}
}

func (f *Forwarder) run(h Hop) table.Result {
	result := table.Result{Err: NoTargetError{Tried: len(h.Targets)}}
	body := &sharedBody{source: h.Request.Body}
	for _, target := range h.Targets[:min(len(h.Targets), maxTargets)] {
		sent := result.Sent
		result = f.attempt(h, target, body)
		result.Sent = result.Sent || sent
		if result.Response {
			return result
		}
		if !mayOffer(h, result) {
			break
		}
	}
	result.Outcome = once.ForwardOutcome(h.Keyed, result.Sent)
	return result
}

// mayOffer says whether the request may go to a further node.
func mayOffer(h Hop, r table.Result) bool {
	if h.Keyed || h.Context.Err() != nil {
		return false
	}
	return !r.Sent || (h.Idempotent && h.Request.ContentLength == 0)
}

func (f *Forwarder) attempt(h Hop, target fleet.Host, body *sharedBody) table.Result {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := f.Transport.RoundTrip(f.outgoing(httptrace.WithClientTrace(h.Context, trace), h, target, body))
	if err != nil {
		if h.Context.Err() == nil {
			f.Contacts.ObserveContact(target.ID, false, time.Now())
		}
		return table.Result{
			Sent: sent.Load(),
			Err:  UnreachableError{HostID: target.ID, Address: target.PeerAddress, Cause: err},
		}
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get(api.HeaderRequestID); got != h.RequestID {
		return table.Result{Sent: true, Err: MismatchError{HostID: target.ID, Want: h.RequestID, Got: got}}
	}
	f.Contacts.ObserveContact(target.ID, true, time.Now())
	return deliver(h, target, resp)
}

func (f *Forwarder) outgoing(ctx context.Context, h Hop, target fleet.Host, body *sharedBody) *http.Request {
	out := h.Request.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = target.PeerAddress
	out.URL.Path = api.PathForward + h.Request.URL.Path
	if h.Request.URL.RawPath != "" {
		out.URL.RawPath = api.PathForward + h.Request.URL.RawPath
	}
	if out.Header == nil {
		out.Header = http.Header{}
	}
	header.RemoveHop(out.Header)
	out.Header.Set(api.HeaderForwardedBy, f.HostID)
	out.Header.Set(api.HeaderTenant, h.Tenant)
	out.Header.Set(api.HeaderRequestID, h.RequestID)
	out.Header.Set(api.HeaderTimeout, strconv.FormatInt(max(1, time.Until(h.Deadline).Milliseconds()), 10))
	// The transport would replay a request without a body that has an Idempotency-Key when a reused connection breaks.
	out.GetBody = nil
	out.Body = body
	if h.Idempotent && h.Request.ContentLength == 0 {
		out.Body = http.NoBody
	}
	return out
}

// sharedBody is the caller's body. The transport closes it for one target, and it stays open for the next.
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

// deliver streams the response of the other node, which carries its outcome. A response that breaks off has Aborted set.
func deliver(h Hop, target fleet.Host, resp *http.Response) table.Result {
	result := table.Result{
		Outcome: fleet.Outcome(resp.Header.Get(api.HeaderOutcome)), Sent: true, Response: true, Status: resp.StatusCode,
	}
	copied := resp.Header.Clone()
	header.RemoveHop(copied)
	for name, values := range copied {
		h.Writer.Header()[name] = values
	}
	h.Writer.WriteHeader(resp.StatusCode)
	if err := stream(h.Writer, resp); err != nil {
		result.Outcome = fleet.Unknown
		result.Aborted = true
		result.Err = BodyError{HostID: target.ID, Cause: err}
	}
	return result
}

func stream(w http.ResponseWriter, resp *http.Response) error {
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
