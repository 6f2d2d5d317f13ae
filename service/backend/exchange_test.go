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

const helloWorldDigest = "sha-256=:uU0nuZNNPgilLlLX2n2r+sSE7+N6U4DukIj3rOLvzek=:" // of "hello world"

// Guards against delivering a truncated, corrupt or mixed-up response that the caller takes for its own complete
// response.
func TestResponses(t *testing.T) {
	t.Run("whole response", func(t *testing.T) {
		got := sendToHandler(t, http.MethodGet, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderContentDigest, helloWorldDigest)
			_, _ = io.WriteString(w, "hello world")
		})
		assertDelivered(t, got, "hello world")
	})
	t.Run("body shorter than its Content-Length", func(t *testing.T) {
		got := sendToHandler(t, http.MethodGet, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "11")
			_, _ = io.WriteString(w, "hello")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		assertAborted(t, got, &BodyError{})
	})
	t.Run("body that does not match its digest", func(t *testing.T) {
		got := sendToHandler(t, http.MethodGet, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderContentDigest, helloWorldDigest)
			_, _ = io.WriteString(w, "hello w0rld")
		})
		assertAborted(t, got, &DigestError{})
		is.New(t).Equal(got.recorder.Header().Get("Content-Length"), "") // chunked, which lets the caller detect the abort
	})
	t.Run("response for another request", func(t *testing.T) {
		got := sendToHandler(t, http.MethodGet, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderRequestID, "other")
		})
		assertFailed(t, got, fleet.Failed, true, &MismatchError{})
	})
	t.Run("digest of a HEAD response is not checked", func(t *testing.T) {
		got := sendToHandler(t, http.MethodHead, "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderContentDigest, helloWorldDigest)
		})
		assertDelivered(t, got, "")
	})
}

// Guards against reporting a request as not run although it may have run, and against counting load shedding or
// draining as a failure of the backend server.
func TestRefusals(t *testing.T) {
	for reason, evidence := range map[string]fleet.Evidence{
		api.RefusedShed: fleet.Shed, api.RefusedDraining: fleet.Draining,
	} {
		t.Run(reason, func(t *testing.T) {
			got := sendToHandler(t, http.MethodPost, "x", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(api.HeaderRefused, reason)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			assertFailed(t, got, evidence, true, &RefusedError{})
		})
	}
	// Guards against callers that are told to repeat a request which a server runs.
	t.Run("refusal of an earlier request on the connection, sent once more", func(t *testing.T) {
		for _, repeatedID := range []string{"", "request"} {
			address := startRepeatingServer(t, repeatedID)
			transport := NewTransport()
			t.Cleanup(transport.CloseIdleConnections)
			e := NewExchange(transport, newRequest(http.MethodPost, "x"), httptest.NewRecorder())
			e.RequestID = "request"
			is := is.New(t)
			is.Equal(e.Send(context.Background(), fleet.BackendServer{Address: address}).Evidence, fleet.Shed)
			e.Discard()
			r := e.Send(context.Background(), fleet.BackendServer{Address: address})
			is.True(r.Evidence == fleet.Failed || r.Evidence == fleet.Canceled)
			is.True(!errors.As(r.Err, &RefusedError{}))
			is.True(r.Sent)
		}
	})
	t.Run("no connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		is.New(t).NoErr(listener.Close())
		got := send(t, context.Background(), newRequest(http.MethodPost, "x"), listener.Addr().String())
		assertFailed(t, got, fleet.Unreachable, false, &TransportError{})
	})
	t.Run("connection broken after the request", func(t *testing.T) {
		got := sendToHandler(t, http.MethodPost, "x", func(http.ResponseWriter, *http.Request) {
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

// Guards against a caller that poses as another tenant, and against passing hop-by-hop headers on to the backend
// server.
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

// Guards against a replay by net/http: when a reused connection breaks, it sends a request with an Idempotency-Key
// again, unless the request has a non-nil body.
func TestNoTransportReplay(t *testing.T) {
	var runs atomic.Int64
	address := startBreakingServer(t, &runs)
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)

	first := newRequest(http.MethodPost, "")
	assertStatus(t, sendOn(t, context.Background(), transport, first, address), http.StatusOK)

	second := newRequest(http.MethodPost, "")
	second.Header.Set(api.HeaderIdempotencyKey, "key")
	got := sendOn(t, context.Background(), transport, second, address)
	assertFailed(t, got, fleet.Failed, true, &TransportError{})
	is.New(t).Equal(runs.Load(), int64(2)) // each request was received once
}

// Guards against servers that reject a request in chunks, and against a body where there is none.
func TestEmptyBody(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			var got *http.Request
			address := newServer(t, func(_ http.ResponseWriter, r *http.Request) { got = r })
			transport := NewTransport()
			t.Cleanup(transport.CloseIdleConnections)
			e := NewExchange(transport, newRequest(method, ""), httptest.NewRecorder())
			e.RequestID, e.Idempotent = "request", true
			is := is.New(t)
			is.NoErr(e.Send(context.Background(), fleet.BackendServer{Address: address}).Err)
			e.Discard()
			is.Equal(got.ContentLength, int64(0))
			is.Equal(len(got.TransferEncoding), 0)
		})
	}
}

// Guards against arrivals at a backend server that the retry budget does not know of, and against evidence against a sound
// server that closed an idle connection.
func TestIdempotentRequestIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		want  fleet.Evidence
	}{
		"the end of an idle connection is no evidence":       {time.Hour, fleet.IdleClosed},
		"a server that ends the connection later has failed": {0, fleet.Failed},
	} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			t.Run(name+", "+method, func(t *testing.T) {
				var runs atomic.Int64
				address := startBreakingServer(t, &runs)
				transport := NewTransport()
				t.Cleanup(transport.CloseIdleConnections)
				assertStatus(t, sendOn(t, context.Background(), transport, newRequest(http.MethodPost, ""), address), http.StatusOK)
				e := NewExchange(transport, newRequest(method, ""), httptest.NewRecorder())
				e.RequestID, e.Idempotent, e.MaxIdleResetDelay = "request", true, c.delay
				r := e.Send(context.Background(), fleet.BackendServer{Address: address})
				is := is.New(t)
				is.Equal(r.Evidence, c.want)
				is.True(r.Sent)
				is.Equal(runs.Load(), int64(2)) // each request was received once
			})
		}
	}
}

// startRepeatingServer starts a server that refuses the first request, and repeats the refusal with the given request ID
// while it runs the next one.
func startRepeatingServer(t *testing.T, repeatedID string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	refusal := func(id string) string {
		header := ""
		if id != "" {
			header = api.HeaderRequestID + ": " + id + "\r\n"
		}
		return "HTTP/1.1 503 Service Unavailable\r\n" + header + api.HeaderRefused + ": " + api.RefusedShed + "\r\nContent-Length: 0\r\n\r\n"
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(conn)
			for _, response := range []string{refusal("request"), refusal(repeatedID)} {
				q, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(conn, response)
			}
		}
	}()
	return listener.Addr().String()
}

// startBreakingServer starts a server that answers only the first request. It reads each later request and closes the
// connection.
func startBreakingServer(t *testing.T, runs *atomic.Int64) string {
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

// Guards against lost or reordered bytes when a request body is sent a second time.
func TestReplayBody(t *testing.T) {
	t.Run("a short body is sent again from its start", func(t *testing.T) {
		b := &replayBody{source: strings.NewReader("hello world")}
		assertBody(t, b, "hello world")
		assertBody(t, b, "hello world")
		is.New(t).True(!b.isLost())
	})
	t.Run("a body over the limit cannot be sent again", func(t *testing.T) {
		long := strings.Repeat("x", MaxReplayBytes+1)
		b := &replayBody{source: strings.NewReader(long)}
		assertBody(t, b, long)
		is.New(t).True(b.isLost())
	})
}

func assertBody(t *testing.T, b *replayBody, want string) {
	t.Helper()
	got, err := io.ReadAll(&attemptBody{shared: b})
	is := is.New(t)
	is.NoErr(err)
	is.Equal(string(got), want)
}

type received struct {
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

func sendToHandler(t *testing.T, method, body string, fn http.HandlerFunc) received {
	t.Helper()
	return send(t, context.Background(), newRequest(method, body), newServer(t, fn))
}

func send(t *testing.T, ctx context.Context, r *http.Request, address string) received {
	t.Helper()
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	return sendOn(t, ctx, transport, r, address)
}

func sendOn(t *testing.T, ctx context.Context, transport http.RoundTripper, r *http.Request, address string) received {
	t.Helper()
	got := received{recorder: httptest.NewRecorder()}
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

func assertDelivered(t *testing.T, got received, body string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(got.result.Err)
	is.Equal(got.result.Outcome, fleet.Answered)
	is.Equal(got.recorder.Header().Get(api.HeaderOutcome), string(fleet.Answered))
	is.Equal(got.recorder.Body.String(), body)
}

func assertAborted(t *testing.T, got received, want any) {
	t.Helper()
	is := is.New(t)
	is.True(got.result.Aborted)
	is.Equal(got.result.Outcome, fleet.Unknown)
	is.Equal(got.result.Evidence, fleet.Failed)
	is.True(errors.As(got.result.Err, want))
}

func assertFailed(t *testing.T, got received, evidence fleet.Evidence, sent bool, want any) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.result.Evidence, evidence)
	is.Equal(got.result.Sent, sent)
	is.True(!got.result.Response)
	is.True(errors.As(got.result.Err, want))
}

func assertStatus(t *testing.T, got received, want int) {
	t.Helper()
	is.New(t).Equal(got.result.Status, want)
}
