package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

const wholeDigest = "sha-256=:uU0nuZNNPgilLlLX2n2r+sSE7+N6U4DukIj3rOLvzek=:" // of "hello world"

// Guards against broken or crossed responses that a caller could take for its own whole response.
func TestResponses(t *testing.T) {
	t.Run("whole response", func(t *testing.T) {
		got := exchange(t, http.MethodGet, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderContentDigest, wholeDigest)
			_, _ = io.WriteString(w, "hello world")
		})
		assertDelivered(t, got, "hello world")
	})
	t.Run("body shorter than its length", func(t *testing.T) {
		got := exchange(t, http.MethodGet, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "11")
			_, _ = io.WriteString(w, "hello")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		assertAborted(t, got, &BodyError{})
	})
	t.Run("body that does not match its digest", func(t *testing.T) {
		got := exchange(t, http.MethodGet, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderContentDigest, wholeDigest)
			_, _ = io.WriteString(w, "hello w0rld")
		})
		assertAborted(t, got, &DigestError{})
		is.New(t).Equal(got.recorder.Header().Get("Content-Length"), "") // chunked, so that the abort is visible
	})
	t.Run("response for another request", func(t *testing.T) {
		got := exchange(t, http.MethodGet, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderRequestID, "other")
		})
		assertFailed(t, got, fleet.Failed, true, &MismatchError{})
	})
	t.Run("digest of a HEAD response is not checked", func(t *testing.T) {
		got := exchange(t, http.MethodHead, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderContentDigest, wholeDigest)
		})
		assertDelivered(t, got, "")
	})
}

// Guards against "not run" without proof, and against load or leaving taken for a failure.
func TestRefusals(t *testing.T) {
	for reason, evidence := range map[string]fleet.Evidence{
		api.RefusedShed: fleet.Shed, api.RefusedDraining: fleet.Draining,
	} {
		t.Run(reason, func(t *testing.T) {
			got := exchange(t, http.MethodPost, "x", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(api.HeaderRefused, reason)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			assertFailed(t, got, evidence, true, &RefusedError{})
		})
	}
	t.Run("no connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		is.New(t).NoErr(listener.Close())
		got := send(t, context.Background(), newRequest(http.MethodPost, "x"), listener.Addr().String())
		assertFailed(t, got, fleet.Unreachable, false, &TransportError{})
	})
	t.Run("connection broken after the request", func(t *testing.T) {
		got := exchange(t, http.MethodPost, "x", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		})
		assertFailed(t, got, fleet.Failed, true, &TransportError{})
	})
	t.Run("caller gave up", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		server := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
			cancel()
			<-r.Context().Done()
		})
		got := send(t, ctx, newRequest(http.MethodGet, ""), server)
		assertFailed(t, got, fleet.Canceled, true, &TransportError{})
	})
}

// Guards against a caller that poses as another tenant, and against headers of one connection on the next.
func TestHeaders(t *testing.T) {
	var seen http.Header
	r := newRequest(http.MethodGet, "")
	r.Header.Set(api.HeaderTenant, "forged")
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("X-End", "1")
	send(t, context.Background(), r, newServer(t, func(_ http.ResponseWriter, r *http.Request) { seen = r.Header }))
	for name, want := range map[string]string{
		api.HeaderTenant: "tenant", "Authorization": "", "X-Hop": "", "X-End": "1", api.HeaderRequestID: "request",
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(seen.Get(name), want) })
	}
}

// Guards against net/http's own replay: a request without a body that carries an Idempotency-Key is sent again when a
// reused connection breaks, unless its body is non-nil.
func TestNoTransportReplay(t *testing.T) {
	var runs atomic.Int64
	address := breakingServer(t, &runs)
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)

	first := newRequest(http.MethodPost, "")
	assertStatus(t, sendOn(t, context.Background(), transport, first, address), http.StatusOK)

	second := newRequest(http.MethodPost, "")
	second.Header.Set(api.HeaderIdempotencyKey, "key")
	got := sendOn(t, context.Background(), transport, second, address)
	assertFailed(t, got, fleet.Failed, true, &TransportError{})
	is.New(t).Equal(runs.Load(), int64(2)) // one run for each request
}

// breakingServer answers the first request of its first connection, and closes every connection after it has read
// another request.
func breakingServer(t *testing.T, runs *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveBreaking(conn, runs)
		}
	}()
	return listener.Addr().String()
}

func serveBreaking(conn net.Conn, runs *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1) > 1 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against lost or mixed bytes when a request body is sent a second time.
func TestReplayBody(t *testing.T) {
	t.Run("a short body is sent again from its start", func(t *testing.T) {
		b := &replayBody{source: strings.NewReader("hello world")}
		assertBody(t, b, "hello world")
		assertBody(t, b, "hello world")
		is.New(t).True(!b.lost())
	})
	t.Run("a long body is lost after the first attempt", func(t *testing.T) {
		long := strings.Repeat("x", ReplayLimit+1)
		b := &replayBody{source: strings.NewReader(long)}
		assertBody(t, b, long)
		is.New(t).True(b.lost())
	})
}

func assertBody(t *testing.T, b *replayBody, want string) {
	t.Helper()
	got, err := io.ReadAll(&attemptBody{body: b})
	is := is.New(t)
	is.NoErr(err)
	is.Equal(string(got), want)
}

type exchanged struct {
	result   table.Result
	recorder *httptest.ResponseRecorder
}

func newServer(t *testing.T, fn http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(fn)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newRequest(method, body string) *http.Request {
	return httptest.NewRequest(method, "/loans/1", strings.NewReader(body))
}

func exchange(t *testing.T, method, body string, fn http.HandlerFunc) exchanged {
	t.Helper()
	return send(t, context.Background(), newRequest(method, body), newServer(t, fn))
}

func send(t *testing.T, ctx context.Context, r *http.Request, address string) exchanged {
	t.Helper()
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	return sendOn(t, ctx, transport, r, address)
}

func sendOn(t *testing.T, ctx context.Context, transport http.RoundTripper, r *http.Request, address string) exchanged {
	t.Helper()
	got := exchanged{recorder: httptest.NewRecorder()}
	e := NewExchange(transport, r, got.recorder)
	e.RequestID, e.Tenant, e.Deadline = "request", "tenant", time.Now().Add(time.Hour)
	e.Idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead
	got.result = e.Send(ctx, fleet.BackendServer{Address: address})
	if got.result.Response {
		got.result = e.Deliver(ctx)
	} else {
		e.Discard()
	}
	return got
}

func assertDelivered(t *testing.T, got exchanged, body string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(got.result.Err)
	is.Equal(got.result.Outcome, fleet.Answered)
	is.Equal(got.recorder.Header().Get(api.HeaderOutcome), string(fleet.Answered))
	is.Equal(got.recorder.Body.String(), body)
}

func assertAborted(t *testing.T, got exchanged, want any) {
	t.Helper()
	is := is.New(t)
	is.True(got.result.Aborted)
	is.Equal(got.result.Outcome, fleet.Unknown)
	is.Equal(got.result.Evidence, fleet.Failed)
	is.True(errors.As(got.result.Err, want))
}

func assertFailed(t *testing.T, got exchanged, evidence fleet.Evidence, sent bool, want any) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.result.Evidence, evidence)
	is.Equal(got.result.Sent, sent)
	is.True(!got.result.Response)
	is.True(errors.As(got.result.Err, want))
}

func assertStatus(t *testing.T, got exchanged, want int) {
	t.Helper()
	is.New(t).Equal(got.result.Status, want)
}
