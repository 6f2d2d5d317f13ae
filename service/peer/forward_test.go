package peer

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
	"egretline.example/egretline/test/rawserver"
)

// noopContacts is a ContactRecorder that records nothing.
type noopContacts struct{}

func (noopContacts) ObserveContact(string, bool, time.Time) {}

// startUnreliableNode starts a node that answers the first request of each connection, and reads the second one and
// closes the connection, like a node that is killed with a request in flight.
func startUnreliableNode(t *testing.T) (host fleet.Host, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, requests)
		}
	}()
	return fleet.Host{ID: "n", PeerAddress: l.Addr().String()}, requests
}

func answerOnce(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		if i == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + api.HeaderRequestID + ": " +
				r.Header.Get(api.HeaderRequestID) + "\r\n" + api.HeaderOutcome + ": answered\r\n\r\n"))
		}
	}
}

// startMarkingNode starts a node that answers each request and sends its HeaderRepeated to the channel.
func startMarkingNode(t *testing.T) (host fleet.Host, repeated chan string) {
	t.Helper()
	repeated = make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		repeated <- r.Header.Get(api.HeaderRepeated)
		w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
		w.Header().Set(api.HeaderOutcome, string(fleet.Answered))
	}))
	t.Cleanup(server.Close)
	return fleet.Host{ID: "m", PeerAddress: server.Listener.Addr().String()}, repeated
}

func forward(t *testing.T, f *Forwarder, h ForwardRequest) table.Result {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.Context, h.Writer, h.RequestID = ctx, httptest.NewRecorder(), "id"
	if h.Request == nil {
		h.Request = httptest.NewRequest(http.MethodPost, "/loans/1", http.NoBody)
	}
	h.Request.Header.Set(api.HeaderIdempotencyKey, "n.i.0.a")
	return f.Forward(h)
}

func newForwarder(t *testing.T) *Forwarder {
	t.Helper()
	transport := NewTransport(nil)
	f := NewForwarder("self", transport, noopContacts{}, 2)
	t.Cleanup(func() {
		f.Close()
		transport.CloseIdleConnections()
	})
	return f
}

func unreachableHost(t *testing.T) fleet.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(l.Close())
	return fleet.Host{ID: "gone", PeerAddress: l.Addr().String()}
}

// startRawNode starts a node that responds by the function.
func startRawNode(t *testing.T, respond func(*net.TCPConn)) fleet.Host {
	t.Helper()
	return fleet.Host{ID: "n", PeerAddress: rawserver.New(t, respond)}
}

// answerFields are the fields of a response to a request that was answered, and the end of its head.
const answerFields = api.HeaderRequestID + ": id\r\n" + api.HeaderOutcome + ": answered\r\n\r\n"

func assertOutcome(t *testing.T, r table.Result, want fleet.Outcome) {
	t.Helper()
	is.New(t).Equal(r.Outcome, want)
}

func TestForward(t *testing.T) {
	t.Run("a request with a key is sent once over a reused connection that breaks", func(t *testing.T) {
		f := newForwarder(t)
		target, requests := startUnreliableNode(t)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{target}, HasKey: true}), fleet.Answered)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{target}, HasKey: true}), fleet.Unknown)
		// If the body could be rewound, the transport would send the request again by itself.
		is.New(t).Equal(requests.Load(), int64(2))
	})
	t.Run("a request that may have arrived goes to no further node", func(t *testing.T) {
		f := newForwarder(t)
		first, requests := startUnreliableNode(t)
		second, others := startUnreliableNode(t)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{first}}), fleet.Answered)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{first, second}}), fleet.Unknown)
		is.New(t).Equal(requests.Load(), int64(2))
		is.New(t).Equal(others.Load(), int64(0))
	})
	t.Run("an idempotent request without a body goes to the next node", func(t *testing.T) {
		f := newForwarder(t)
		first, _ := startUnreliableNode(t)
		second, _ := startUnreliableNode(t)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{first}}), fleet.Answered)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{first, second}, Idempotent: true}), fleet.Answered)
	})
	// Guards against arrivals at backend servers that no retry budget is charged for.
	t.Run("an idempotent request is sent once over a reused connection that breaks", func(t *testing.T) {
		f := newForwarder(t)
		target, requests := startUnreliableNode(t)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{target}}), fleet.Answered)
		get := httptest.NewRequest(http.MethodGet, "/loans/1", http.NoBody)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{target}, Idempotent: true, Request: get}), fleet.Unknown)
		is.New(t).Equal(requests.Load(), int64(2))
	})
	t.Run("only a request that may have arrived is marked as repeated", func(t *testing.T) {
		first, _ := startUnreliableNode(t)
		for name, c := range map[string]struct {
			before fleet.Host
			want   string
		}{"arrived": {first, "true"}, "unreachable": {unreachableHost(t), ""}} {
			f := newForwarder(t)
			second, repeated := startMarkingNode(t)
			if name == "arrived" {
				assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{first}}), fleet.Answered)
			}
			r := httptest.NewRequest(http.MethodGet, "/loans/1", http.NoBody)
			r.Header.Set(api.HeaderRepeated, "set by the caller")
			assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{c.before, second}, Idempotent: true, Request: r}), fleet.Answered)
			select {
			case got := <-repeated:
				is.New(t).Equal(got, c.want)
			default:
				t.Errorf("%s: the second node got no request", name)
			}
		}
	})
	t.Run("an unreachable node is skipped", func(t *testing.T) {
		f := newForwarder(t)
		second, _ := startUnreliableNode(t)
		assertOutcome(t, forward(t, f, ForwardRequest{Targets: []fleet.Host{unreachableHost(t), second}}), fleet.Answered)
	})
	t.Run("a request that reached no node was not run", func(t *testing.T) {
		assertOutcome(t, forward(t, newForwarder(t), ForwardRequest{Targets: []fleet.Host{unreachableHost(t)}}), fleet.NotRun)
	})
	t.Run("a key whose owner is unreachable is unknown", func(t *testing.T) {
		assertOutcome(t, forward(t, newForwarder(t), ForwardRequest{Targets: []fleet.Host{unreachableHost(t)}, HasKey: true}), fleet.Unknown)
	})
	t.Run("a full pool refuses, and a key is unknown", func(t *testing.T) {
		f := newForwarder(t)
		f.Close()
		assertOutcome(t, forward(t, f, ForwardRequest{}), fleet.NotRun)
		assertOutcome(t, forward(t, f, ForwardRequest{HasKey: true}), fleet.Unknown)
	})
	t.Run("the response to another request is not relayed", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderRequestID, "other")
			w.Header().Set(api.HeaderOutcome, "answered")
		}))
		defer s.Close()
		target := fleet.Host{ID: "n", PeerAddress: strings.TrimPrefix(s.URL, "http://")}
		r := forward(t, newForwarder(t), ForwardRequest{Targets: []fleet.Host{target}})
		assertOutcome(t, r, fleet.Unknown)
		is.New(t).True(errors.As(r.Err, &MismatchError{}))
	})
	t.Run("a response that ends early is aborted", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("short"))
		}))
		defer s.Close()
		target := fleet.Host{ID: "n", PeerAddress: strings.TrimPrefix(s.URL, "http://")}
		r := forward(t, newForwarder(t), ForwardRequest{Targets: []fleet.Host{target}})
		assertOutcome(t, r, fleet.Unknown)
		is.New(t).True(r.Aborted)
	})
	t.Run("a response that is reset while the request is being sent is not complete", func(t *testing.T) {
		f, target := newForwarder(t), startRawNode(t, rawserver.SendAndReset("HTTP/1.1 200 OK\r\n"+answerFields+"part"))
		for range 100 {
			upload := httptest.NewRequest(http.MethodPost, "/loans/1", rawserver.EndlessBody{})
			assertOutcome(t, forward(t, f, ForwardRequest{Request: upload, Targets: []fleet.Host{target}}), fleet.Unknown)
		}
	})
	for name, head := range rawserver.MalformedHeads {
		t.Run("a response with "+name+" is not relayed", func(t *testing.T) {
			target := startRawNode(t, rawserver.Send(head+answerFields+"body and more"))
			r := forward(t, newForwarder(t), ForwardRequest{Targets: []fleet.Host{target}})
			assertOutcome(t, r, fleet.Unknown)
			is.New(t).True(!r.Response)
		})
	}
}
